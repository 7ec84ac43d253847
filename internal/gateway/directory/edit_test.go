package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// manyTargets returns as many targets as a large deployment has.
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
		convey.Convey("an edit without changes returns the base", func() {
			e := d.Edit()
			e.Remove("unknown")
			e.Lapse("unknown", time.Now())
			convey.So(e.Directory(), convey.ShouldEqual, d)
		})
		convey.Convey("all changes are applied, and the base is not modified", func() {
			e := d.Edit()
			e.Put(directory.Target{ID: "b", Service: "s"})
			e.Remove("a")
			convey.So(e.All(), convey.ShouldHaveLength, 1)
			convey.So(e.Directory().Service("s"), convey.ShouldResemble, []directory.Target{{ID: "b", Service: "s"}})
			convey.So(d.Service("s"), convey.ShouldResemble, []directory.Target{{ID: "a", Service: "s"}})
			convey.So(d.All(), convey.ShouldResemble, map[string]directory.Target{"a": {ID: "a", Service: "s"}})
		})
		convey.Convey("a target can be added and lapse in one edit", func() {
			until := time.Now()
			e := d.Edit()
			e.Put(directory.Target{ID: "b", Service: "s"})
			e.Lapse("b", until)
			b, _ := e.Directory().Target("b")
			convey.So(b.State, convey.ShouldEqual, directory.Lapsed)
			convey.So(b.StateUntil, convey.ShouldEqual, until)
		})
	})
	convey.Convey("A large list is copied and sorted once", t, func() {
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

// BenchmarkEdit compares adding many targets in one Edit with adding each by With.
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
