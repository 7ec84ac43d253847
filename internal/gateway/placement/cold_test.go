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

// coldBound is of engines that bear 10 requests a second while they are cold, and 20 at
// most from all nodes.
var coldBound = warmup.Margin{Overshoot: 1.5, Tolerance: 5}.Bound(catalog.WarmUp{Duration: 3 * time.Second, RequestsPerSecond: 10})

// coldEngines returns engines of which some are cold for a minute.
func coldEngines(n int, cold func(i int) bool) []directory.Target {
	list := engines(n)
	for i := range list {
		if cold(i) {
			list[i].ColdUntil = now.Add(time.Minute)
		}
	}
	return list
}

// rush places a second's prompts of one session and counts them by engine; refused are
// those without one.
func rush(p *placement.EngineChooser, list []directory.Target, perSecond int, givesOut bool) (got map[string]int, refused int) {
	got = map[string]int{}
	for i := range perSecond {
		at := now.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		q := prompt(string(rune('a'+i)), 7)
		q.MayAssign = func() bool { return givesOut }
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

// TestHotSessionAtAColdEngine holds what happens to 30 prompts a second of one session
// when its engine is cold, as one prompt part that a third of a route's requests share is
// at an engine that has just come back.
func TestHotSessionAtAColdEngine(t *testing.T) {
	chooser := func() *placement.EngineChooser {
		p := placement.NewEngineChooser()
		p.SetWarmUp(coldBound)
		return p
	}
	usual, _ := rush(chooser(), engines(4), 30, true)
	convey.Convey("Without the bound one engine would get all of them", t, func() {
		convey.So(usual, convey.ShouldHaveLength, 1)
	})
	first := ""
	for id := range usual {
		first = id
	}
	firstIsCold := coldEngines(4, func(i int) bool { return engines(4)[i].ID == first })
	convey.Convey("It gets its part, and warm ones the rest", t, func() {
		got, refused := rush(chooser(), firstIsCold, 30, true)
		convey.So(refused, convey.ShouldEqual, 0)
		convey.So(got[first], convey.ShouldBeBetweenOrEqual, 1, 4)
	})
	convey.Convey("It gets none from a member that gives out none", t, func() {
		got, refused := rush(chooser(), firstIsCold, 30, false)
		convey.So(refused, convey.ShouldEqual, 0)
		convey.So(got[first], convey.ShouldEqual, 0)
	})
	convey.Convey("When all are cold each gets its part, and what is left has no engine", t, func() {
		got, refused := rush(chooser(), coldEngines(4, func(int) bool { return true }), 30, true)
		convey.So(got, convey.ShouldHaveLength, 4)
		convey.So(refused, convey.ShouldBeGreaterThan, 0)
		for _, n := range got {
			convey.So(n, convey.ShouldBeLessThanOrEqualTo, 4)
		}
	})
}

// TestColdTargetsOfNodesAlone holds that a node which chooses on its own sends to a cold
// target only when it gives out its requests.
func TestColdTargetsOfNodesAlone(t *testing.T) {
	limits := func() *warmup.Limiter {
		l := warmup.NewLimiter()
		l.SetBound(coldBound)
		return l
	}
	gives := func(yes bool) func(string) bool { return func(string) bool { return yes } }
	list := coldEngines(2, func(i int) bool { return i == 0 })
	allCold := coldEngines(2, func(int) bool { return true })
	rules := map[string]func(*placement.TargetTable, []directory.Target, placement.Query) (directory.Target, bool){
		"an engine": func(table *placement.TargetTable, list []directory.Target, q placement.Query) (directory.Target, bool) {
			return table.ByPrefix(now, list, q)
		},
		"a target of a plain call": func(table *placement.TargetTable, list []directory.Target, q placement.Query) (directory.Target, bool) {
			return table.LeastLoaded(now, list, q)
		},
	}
	for name, choose := range rules {
		convey.Convey("When a node chooses "+name+" on its own", t, func() {
			table := placement.NewTargetTable()
			convey.Convey("it passes over a cold one that others give out", func() {
				q := placement.Query{Key: 7, Limiter: limits(), MayAssign: gives(false)}
				for range 20 {
					got, found := choose(table, list, q)
					convey.So(found, convey.ShouldBeTrue)
					convey.So(got.ID, convey.ShouldEqual, list[1].ID)
				}
				_, found := choose(table, allCold, q)
				convey.So(found, convey.ShouldBeFalse)
			})
			convey.Convey("it sends a cold one that it gives out no more than its part", func() {
				q := placement.Query{Key: 7, Limiter: limits(), MayAssign: gives(true)}
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
