package placement_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
)

// ejectedAfter says whether t0 is ejected some time after now.
func ejectedAfter(table *placement.TargetTable, after time.Duration) bool {
	return len(table.Ejected(now.Add(after), directory.New(directory.Target{ID: "t0"}))) == 1
}

// TestEjection shows when failures eject a target.
func TestEjection(t *testing.T) {
	cases := []struct {
		why      string
		failedAt []time.Duration
		want     bool
	}{
		{"one failure does not", []time.Duration{0}, false},
		{"two in a row do", []time.Duration{0, 0}, true},
		{"two 0.78 s apart do", []time.Duration{0, 780 * time.Millisecond}, true},
		{"two 0.8 s apart do not", []time.Duration{0, 800 * time.Millisecond}, false},
		{"three a second apart do", []time.Duration{0, time.Second, 2 * time.Second}, true},
	}
	convey.Convey("Of failures of a target that did not fail before", t, func() {
		for _, c := range cases {
			convey.Convey(c.why+" eject it", func() {
				table := placement.NewTargetTable()
				last := time.Duration(0)
				for _, at := range c.failedAt {
					answered(table, now.Add(at), "t0", time.Millisecond, true)
					last = at
				}
				convey.So(ejectedAfter(table, last), convey.ShouldEqual, c.want)
			})
		}
		convey.Convey("two with a success between do not eject it", func() {
			table := placement.NewTargetTable()
			for _, failed := range []bool{true, false, true} {
				answered(table, now, "t0", time.Millisecond, failed)
			}
			convey.So(ejectedAfter(table, 0), convey.ShouldBeFalse)
		})
	})
}

// TestProbe shows how an ejection ends.
func TestProbe(t *testing.T) {
	convey.Convey("Given a target that is ejected", t, func() {
		table := placement.NewTargetTable()
		table.Eject(now, life("t0"))
		probe := func(after time.Duration, failed bool) {
			answered(table, now.Add(after), "t0", time.Millisecond, failed)
		}
		convey.Convey("it is left unused for 1 s", func() {
			convey.So(ejectedAfter(table, 999*time.Millisecond), convey.ShouldBeTrue)
			convey.So(ejectedAfter(table, time.Second), convey.ShouldBeFalse)
		})
		convey.Convey("then for all but one call, the probe", func() {
			table.RecordStart(life("t0"))
			convey.So(ejectedAfter(table, time.Second), convey.ShouldBeTrue)
		})
		convey.Convey("a probe that succeeds ends the ejection, whatever failed before", func() {
			probe(time.Second, false)
			convey.So(ejectedAfter(table, time.Second), convey.ShouldBeFalse)
			table.RecordStart(life("t0"))
			convey.So(ejectedAfter(table, time.Second), convey.ShouldBeFalse)
		})
		convey.Convey("probes that fail eject it again, for 2 s and then 4 s each", func() {
			probe(time.Second, true)
			convey.So(ejectedAfter(table, 2999*time.Millisecond), convey.ShouldBeTrue)
			convey.So(ejectedAfter(table, 3*time.Second), convey.ShouldBeFalse)
			for _, at := range []time.Duration{3 * time.Second, 7 * time.Second} {
				probe(at, true)
				convey.So(ejectedAfter(table, at+3999*time.Millisecond), convey.ShouldBeTrue)
				convey.So(ejectedAfter(table, at+4*time.Second), convey.ShouldBeFalse)
			}
		})
		convey.Convey("calls that were sent before and fail double the time too", func() {
			table := placement.NewTargetTable()
			for range 3 {
				table.RecordStart(life("t0"))
			}
			for range 3 {
				table.RecordEnd(now, life("t0"), time.Millisecond, true)
			}
			convey.So(ejectedAfter(table, 1999*time.Millisecond), convey.ShouldBeTrue)
			convey.So(ejectedAfter(table, 2*time.Second), convey.ShouldBeFalse)
		})
		convey.Convey("a target that has left is forgotten", func() {
			table.Prune(directory.New())
			convey.So(ejectedAfter(table, 0), convey.ShouldBeFalse)
		})
	})
}
