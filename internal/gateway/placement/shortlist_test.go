package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
)

// A service of a whole fleet: 6,576 engines in six data centres and 313 prompts a second
// of 7,000 sessions; twice the fleet has twice of all.
const (
	fleetEngines  = 6576
	fleetPrompts  = 313
	fleetSessions = 7000
)

// fleetEnginesOf returns n engines in six data centres.
func fleetEnginesOf(n int) []directory.Target {
	list := make([]directory.Target, n)
	for i := range list {
		list[i] = directory.Target{ID: fmt.Sprintf("t%05d", i), Address: fmt.Sprint("a", i), Service: "s", DataCentre: fmt.Sprint("d", i%6), Slots: 16}
	}
	return list
}

// fleetPlacing places prompts at the member that does so for all nodes.
type fleetPlacing struct {
	chooser *placement.EngineChooser
	engines []directory.Target
	at      time.Time
	step    time.Duration
	n       int
}

func newFleetPlacing(x int) *fleetPlacing {
	return &fleetPlacing{
		chooser: placement.NewEngineChooser(), engines: fleetEnginesOf(fleetEngines * x), at: now, step: time.Second / time.Duration(fleetPrompts*x),
	}
}

// place places the next prompt, whose inputs lie in one data centre; each is prefilled
// 200 ms later.
func (f *fleetPlacing) place() placement.Placement {
	f.at = f.at.Add(f.step)
	f.n++
	session := f.n * 7919 % fleetSessions
	placed, _ := f.chooser.Place(f.at, f.engines, placement.Prompt{
		Request: fmt.Sprint("r", f.n), Tokens: 6600, Slack: time.Second,
		Shared:     []placement.SharedPart{{Key: uint64(session%3 + 1), Tokens: 500}, {Key: uint64(session + 1000), Tokens: 4800}},
		InputBytes: map[string]int64{fmt.Sprint("d", session%6): 2e6},
	})
	f.chooser.RecordPrefill(f.at, fmt.Sprint("r", f.n-fleetPrompts/5), true)
	return placed
}

// BenchmarkPlaceFleet places a prompt among the engines of a fleet, and of twice that.
func BenchmarkPlaceFleet(b *testing.B) {
	for _, x := range []int{1, 2} {
		b.Run(fmt.Sprint(fleetEngines*x, " engines"), func(b *testing.B) {
			f := newFleetPlacing(x)
			for range 2000 {
				f.place()
			}
			b.ReportAllocs()
			for b.Loop() {
				f.place()
			}
		})
	}
}

// TestPlacingAmongManyEngines holds that the engines that are assessed for a prompt, a few
// of thousands, are good enough: sessions keep their engines, prompts go to where their
// inputs lie, and a session that is asked for by many spreads.
func TestPlacingAmongManyEngines(t *testing.T) {
	convey.Convey("Given a fleet's prompts for some seconds", t, func() {
		f := newFleetPlacing(1)
		engineOf := map[int]string{}
		moved, far := 0, 0
		const prompts = 3 * fleetSessions
		for range prompts {
			placed := f.place()
			session := f.n * 7919 % fleetSessions
			if engine, known := engineOf[session]; known && engine != placed.ID {
				moved++
			}
			engineOf[session] = placed.ID
			if placed.DataCentre != fmt.Sprint("d", session%6) {
				far++
			}
		}
		convey.Convey("few sessions change their engine", func() { convey.So(moved, convey.ShouldBeLessThan, prompts/50) })
		convey.Convey("few prompts go to another data centre than their inputs'", func() { convey.So(far, convey.ShouldBeLessThan, prompts/50) })
	})
	convey.Convey("A prompt that would be late at all of its first engines goes to another", t, func() {
		f := newFleetPlacing(1)
		hot := placement.Prompt{Tokens: 12_000, Slack: 300 * time.Millisecond, Shared: []placement.SharedPart{{Key: 7, Tokens: 5000}}}
		used := map[string]int{}
		// Each engine prefills one in its time; a shortlist has 48 engines.
		for i := range 90 {
			hot.Request = fmt.Sprint("hot", i)
			placed, _ := f.chooser.Place(now, f.engines, hot)
			used[placed.ID]++
		}
		convey.So(len(used), convey.ShouldEqual, 90)
	})
	convey.Convey("Where no engine of the shortlists may be used, any other is", t, func() {
		f := newFleetPlacing(1)
		for i := range f.engines {
			f.engines[i].State = directory.Draining
		}
		f.engines[77].State = directory.Ready
		placed, ok := f.chooser.Place(now, f.engines, prompt("a", 7))
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(placed.ID, convey.ShouldEqual, "t00077")
		alone, ok := placement.NewTargetTable().ByPrefix(now, f.engines, placement.Query{Key: 7, SharedTokens: 100, MayAssign: func(string) bool { return true }})
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(alone.ID, convey.ShouldEqual, "t00077")
	})
}
