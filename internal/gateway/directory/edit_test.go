package directory_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// manyTargets are those of a large deployment.
func manyTargets() []directory.Target {
	targets := make([]directory.Target, 365)
	for i := range targets {
		targets[i] = directory.Target{ID: fmt.Sprint("t", i), Service: fmt.Sprint("s", i%5)}
	}
	return targets
}

func TestEdit(t *testing.T) {
	convey.Convey("Given a directory with a target", t, func() {
		d := directory.New(directory.Target{ID: "a", Service: "s"})
		convey.Convey("an edit without changes gives the same", func() {
			e := d.Edit()
			e.Remove("unknown")
			e.Lapse("unknown", time.Now())
			convey.So(e.Directory(), convey.ShouldEqual, d)
		})
		convey.Convey("changes count together, and the directory stays as it is", func() {
			e := d.Edit()
			e.Put(directory.Target{ID: "b", Service: "s"})
			e.Remove("a")
			convey.So(e.Targets(), convey.ShouldHaveLength, 1)
			convey.So(e.Directory().Service("s"), convey.ShouldResemble, []directory.Target{{ID: "b", Service: "s"}})
			convey.So(d.Service("s"), convey.ShouldResemble, []directory.Target{{ID: "a", Service: "s"}})
			convey.So(maps.Collect(d.All()), convey.ShouldResemble, map[string]directory.Target{"a": {ID: "a", Service: "s"}})
		})
		convey.Convey("a target that is put and lapses has lapsed", func() {
			until := time.Now()
			e := d.Edit()
			e.Put(directory.Target{ID: "b", Service: "s"})
			e.Lapse("b", until)
			b, _ := e.Directory().Target("b")
			convey.So(b.State, convey.ShouldEqual, directory.Lapsed)
			convey.So(b.LapsesAt, convey.ShouldEqual, until)
		})
	})
	convey.Convey("A large list copies and sorts the targets once", t, func() {
		targets := manyTargets()
		allocations := testing.AllocsPerRun(10, func() {
			e := directory.New().Edit()
			for _, target := range targets {
				e.Put(target)
			}
			e.Directory()
		})
		convey.So(allocations, convey.ShouldBeLessThan, len(targets))
	})
}

// TestChangeCopiesOneService holds that a change costs nothing for the services that it
// does not touch.
func TestChangeCopiesOneService(t *testing.T) {
	convey.Convey("Given the targets of five services", t, func() {
		d := directory.New(manyTargets()...)
		next := d.With(directory.Target{ID: "t0", Service: "s0", State: directory.Draining})
		convey.Convey("a change of one copies its list", func() {
			convey.So(&next.Service("s0")[0], convey.ShouldNotEqual, &d.Service("s0")[0])
			convey.So(d.Service("s0")[0].State, convey.ShouldEqual, directory.Ready)
		})
		convey.Convey("and no other", func() {
			for _, other := range []string{"s1", "s2", "s3", "s4"} {
				convey.So(&next.Service(other)[0], convey.ShouldEqual, &d.Service(other)[0])
			}
		})
		convey.Convey("A target that changes its service is listed once", func() {
			moved := d.With(directory.Target{ID: "t0", Service: "s1"})
			convey.So(moved.Size(), convey.ShouldEqual, d.Size())
			convey.So(len(moved.Service("s0")), convey.ShouldEqual, len(d.Service("s0"))-1)
			convey.So(len(moved.Service("s1")), convey.ShouldEqual, len(d.Service("s1"))+1)
		})
		convey.Convey("Nothing changes with time while nothing has lapsed", func() {
			convey.So(d.WithTime(time.Now()), convey.ShouldEqual, d)
		})
	})
}

// BenchmarkChange takes in the change of one target of a fleet, of which two thirds are of
// one service, and of twice that.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{10_000, 20_000} {
		targets := make([]directory.Target, n)
		for i := range targets {
			targets[i] = directory.Target{ID: fmt.Sprint("t", i), Service: fmt.Sprint("s", max(i%12-7, 0)), DataCentre: fmt.Sprint("d", i%6)}
		}
		d := directory.New(targets...)
		for _, c := range []struct {
			name   string
			target directory.Target
		}{{"large service", targets[0]}, {"small service", targets[8]}} {
			b.Run(fmt.Sprint(n, " targets, ", c.name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					d.WithTime(time.Now()).With(c.target)
				}
			})
		}
	}
}

// BenchmarkEdit takes in a list of all targets: together, and one by one as it was
// done before Edit.
func BenchmarkEdit(b *testing.B) {
	targets := manyTargets()
	b.Run("together", func(b *testing.B) {
		for b.Loop() {
			e := directory.New().Edit()
			for _, t := range targets {
				e.Put(t)
			}
			e.Directory()
		}
	})
	b.Run("one by one", func(b *testing.B) {
		for b.Loop() {
			d := directory.New()
			for _, t := range targets {
				d = d.With(t)
			}
		}
	})
}
