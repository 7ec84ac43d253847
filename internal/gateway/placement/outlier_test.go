package placement_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
)

// ejectedAfter reports whether t0 is ejected some time after now.
func ejectedAfter(table *placement.TargetTable, after time.Duration) bool {
	return len(table.Ejected(now.Add(after), directory.New(directory.Target{ID: "t0"}))) == 1
}

// TestEjection verifies when failures eject a target.
func TestEjection(t *testing.T) {
	cases := []struct {
		name     string
		failedAt []time.Duration
		want     bool
	}{
		{"one failure does not", []time.Duration{0}, false},
		{"two consecutive failures do", []time.Duration{0, 0}, true},
		{"two failures 0.78 s apart do", []time.Duration{0, 780 * time.Millisecond}, true},
		{"two failures 0.8 s apart do not", []time.Duration{0, 800 * time.Millisecond}, false},
		{"three failures a second apart do", []time.Duration{0, time.Second, 2 * time.Second}, true},
	}
	convey.Convey("For a target without earlier failures", t, func() {
		for _, c := range cases {
			convey.Convey(c.name+" eject it", func() {
				table := placement.NewTargetTable()
				last := time.Duration(0)
				for _, at := range c.failedAt {
					recordCall(table, now.Add(at), "t0", time.Millisecond, true)
					last = at
				}
				convey.So(ejectedAfter(table, last), convey.ShouldEqual, c.want)
			})
		}
		convey.Convey("two failures with a success in between do not eject it", func() {
			table := placement.NewTargetTable()
			for _, failed := range []bool{true, false, true} {
				recordCall(table, now, "t0", time.Millisecond, failed)
			}
			convey.So(ejectedAfter(table, 0), convey.ShouldBeFalse)
		})
	})
}

// TestProbe verifies how an ejection ends.
func TestProbe(t *testing.T) {
	convey.Convey("Given an ejected target", t, func() {
		table := placement.NewTargetTable()
		table.Eject(now, incarnation("t0"))
		probe := func(after time.Duration, failed bool) {
			recordCall(table, now.Add(after), "t0", time.Millisecond, failed)
		}
		convey.Convey("it is ejected for 1 s", func() {
			convey.So(ejectedAfter(table, 999*time.Millisecond), convey.ShouldBeTrue)
			convey.So(ejectedAfter(table, time.Second), convey.ShouldBeFalse)
		})
		convey.Convey("it stays ejected while one call probes it", func() {
			table.RecordStart(incarnation("t0"))
			convey.So(ejectedAfter(table, time.Second), convey.ShouldBeTrue)
		})
		convey.Convey("a successful probe ends the ejection, regardless of earlier failures", func() {
			probe(time.Second, false)
			convey.So(ejectedAfter(table, time.Second), convey.ShouldBeFalse)
			table.RecordStart(incarnation("t0"))
			convey.So(ejectedAfter(table, time.Second), convey.ShouldBeFalse)
		})
		convey.Convey("failed probes eject it again, for 2 s and then for 4 s each", func() {
			probe(time.Second, true)
			convey.So(ejectedAfter(table, 2999*time.Millisecond), convey.ShouldBeTrue)
			convey.So(ejectedAfter(table, 3*time.Second), convey.ShouldBeFalse)
			for _, at := range []time.Duration{3 * time.Second, 7 * time.Second} {
				probe(at, true)
				convey.So(ejectedAfter(table, at+3999*time.Millisecond), convey.ShouldBeTrue)
				convey.So(ejectedAfter(table, at+4*time.Second), convey.ShouldBeFalse)
			}
		})
		convey.Convey("failures of calls sent before the ejection double its duration too", func() {
			table := placement.NewTargetTable()
			for range 3 {
				table.RecordStart(incarnation("t0"))
			}
			for range 3 {
				table.RecordEnd(now, incarnation("t0"), time.Millisecond, true)
			}
			convey.So(ejectedAfter(table, 1999*time.Millisecond), convey.ShouldBeTrue)
			convey.So(ejectedAfter(table, 2*time.Second), convey.ShouldBeFalse)
		})
		convey.Convey("its state is removed when it is no longer listed", func() {
			table.Prune(directory.New())
			convey.So(ejectedAfter(table, 0), convey.ShouldBeFalse)
		})
	})
}
