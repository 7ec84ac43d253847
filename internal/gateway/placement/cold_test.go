package placement_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
)

// coldBound limits a cold engine, which sustains 10 requests a second, to 20 requests a second,
// summed over all nodes.
var coldBound = warmup.Margin{Overshoot: 1.5, Tolerance: 5}.Bound(catalog.WarmUp{Duration: 3 * time.Second, RequestsPerSecond: 10})

// coldEngines returns n engines. Those for which cold returns true are cold for a minute.
func coldEngines(n int, cold func(i int) bool) []directory.Target {
	list := engines(n)
	for i := range list {
		if cold(i) {
			list[i].ColdUntil = now.Add(time.Minute)
		}
	}
	return list
}

// placeForOneSecond places perSecond prompts of one session within a second. It returns the
// number of prompts by engine, and the number of prompts without an engine.
func placeForOneSecond(p *placement.EngineChooser, list []directory.Target, perSecond int, mayAssign bool) (got map[string]int, refused int) {
	got = map[string]int{}
	for i := range perSecond {
		at := now.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		q := prompt(string(rune('a'+i)), 7)
		q.MayAssign = func() bool { return mayAssign }
		placed, found := p.Place(at, list, q)
		if !found {
			refused++
			continue
		}
		p.RecordPrefill(at, q.Request, true)
		got[placed.ID]++
	}
	return got, refused
}

// TestHotSessionAtAColdEngine verifies that a cold engine is not overloaded by 30 prompts a
// second of one session. This happens if a third of the requests of a route share a prompt
// prefix, and the engine to which they go has just come back.
func TestHotSessionAtAColdEngine(t *testing.T) {
	chooser := func() *placement.EngineChooser {
		p := placement.NewEngineChooser()
		p.SetWarmUp(coldBound)
		return p
	}
	unlimited, _ := placeForOneSecond(chooser(), engines(4), 30, true)
	convey.Convey("If no engine is cold, one engine gets all prompts", t, func() {
		convey.So(unlimited, convey.ShouldHaveLength, 1)
	})
	first := ""
	for id := range unlimited {
		first = id
	}
	firstIsCold := coldEngines(4, func(i int) bool { return engines(4)[i].ID == first })
	convey.Convey("If that engine is cold, it gets its share, and warm engines get the rest", t, func() {
		got, refused := placeForOneSecond(chooser(), firstIsCold, 30, true)
		convey.So(refused, convey.ShouldEqual, 0)
		convey.So(got[first], convey.ShouldBeBetweenOrEqual, 1, 4)
	})
	convey.Convey("If that engine is cold, it gets none from a member that assigns no requests of cold engines", t, func() {
		got, refused := placeForOneSecond(chooser(), firstIsCold, 30, false)
		convey.So(refused, convey.ShouldEqual, 0)
		convey.So(got[first], convey.ShouldEqual, 0)
	})
	convey.Convey("If all engines are cold, each gets its share, and the remaining prompts get no engine", t, func() {
		got, refused := placeForOneSecond(chooser(), coldEngines(4, func(int) bool { return true }), 30, true)
		convey.So(got, convey.ShouldHaveLength, 4)
		convey.So(refused, convey.ShouldBeGreaterThan, 0)
		for _, n := range got {
			convey.So(n, convey.ShouldBeLessThanOrEqualTo, 4)
		}
	})
}

// TestColdTargetsWithoutCoordinator verifies that a node that selects targets on its own
// only sends to a cold target if it assigns the requests of that target.
func TestColdTargetsWithoutCoordinator(t *testing.T) {
	newLimiter := func() *warmup.Limiter {
		l := warmup.NewLimiter()
		l.SetBound(coldBound)
		return l
	}
	mayAssign := func(yes bool) func(string) bool { return func(string) bool { return yes } }
	list := coldEngines(2, func(i int) bool { return i == 0 })
	allCold := coldEngines(2, func(int) bool { return true })
	selectors := map[string]func(*placement.TargetTable, []directory.Target, placement.Query) (directory.Target, bool){
		"an engine": func(table *placement.TargetTable, list []directory.Target, q placement.Query) (directory.Target, bool) {
			return table.ByPrefix(now, list, q)
		},
		"a target of a plain call": func(table *placement.TargetTable, list []directory.Target, q placement.Query) (directory.Target, bool) {
			return table.LeastLoaded(now, list, q)
		},
	}
	for name, choose := range selectors {
		convey.Convey("If a node selects "+name+" on its own", t, func() {
			table := placement.NewTargetTable()
			convey.Convey("it skips cold targets whose requests another member assigns", func() {
				q := placement.Query{Key: 7, Limiter: newLimiter(), MayAssign: mayAssign(false)}
				for range 20 {
					got, found := choose(table, list, q)
					convey.So(found, convey.ShouldBeTrue)
					convey.So(got.ID, convey.ShouldEqual, list[1].ID)
				}
				_, found := choose(table, allCold, q)
				convey.So(found, convey.ShouldBeFalse)
			})
			convey.Convey("it limits cold targets whose requests it assigns to its share", func() {
				q := placement.Query{Key: 7, Limiter: newLimiter(), MayAssign: mayAssign(true)}
				n := 0
				for range 20 {
					if _, found := choose(table, allCold[:1], q); found {
						n++
					}
				}
				convey.So(n, convey.ShouldEqual, 1)
			})
		})
	}
}
