package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
)

// A service with 6,576 engines in six data centres, and 313 prompts a second from 7,000
// sessions. Engines and prompts scale with the size of the fleet.
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

// fleetSimulation simulates the member that places the prompts of all nodes.
type fleetSimulation struct {
	chooser *placement.EngineChooser
	engines []directory.Target
	at      time.Time
	step    time.Duration
	n       int
}

func newFleetSimulation(scale int) *fleetSimulation {
	return &fleetSimulation{
		chooser: placement.NewEngineChooser(), engines: fleetEnginesOf(fleetEngines * scale), at: now, step: time.Second / time.Duration(fleetPrompts*scale),
	}
}

// place places the next prompt, whose inputs are in one data centre. Each prompt is prefilled
// 200 ms after it is placed.
func (f *fleetSimulation) place() placement.Placement {
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

// BenchmarkPlaceFleet places prompts on the engines of a fleet, and of one twice as large.
func BenchmarkPlaceFleet(b *testing.B) {
	for _, scale := range []int{1, 2} {
		b.Run(fmt.Sprint(fleetEngines*scale, " engines"), func(b *testing.B) {
			f := newFleetSimulation(scale)
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

// TestPlaceAmongManyEngines verifies that scoring only a few of thousands of engines for a
// prompt is sufficient: sessions stay on their engines, prompts go to the data centre of their
// inputs, and a session with many prompts spreads over engines.
func TestPlaceAmongManyEngines(t *testing.T) {
	convey.Convey("Given the prompts of a fleet for some seconds", t, func() {
		f := newFleetSimulation(1)
		engineOf := map[int]string{}
		moved, remote := 0, 0
		const prompts = 3 * fleetSessions
		for range prompts {
			placed := f.place()
			session := f.n * 7919 % fleetSessions
			if engine, known := engineOf[session]; known && engine != placed.ID {
				moved++
			}
			engineOf[session] = placed.ID
			if placed.DataCentre != fmt.Sprint("d", session%6) {
				remote++
			}
		}
		convey.Convey("few sessions move to another engine", func() { convey.So(moved, convey.ShouldBeLessThan, prompts/50) })
		convey.Convey("few prompts go to a data centre other than that of their inputs", func() { convey.So(remote, convey.ShouldBeLessThan, prompts/50) })
	})
	convey.Convey("A prompt that would be late on all engines of its shortlist goes to another engine", t, func() {
		f := newFleetSimulation(1)
		hot := placement.Prompt{Tokens: 12_000, Slack: 300 * time.Millisecond, Shared: []placement.SharedPart{{Key: 7, Tokens: 5000}}}
		used := map[string]int{}
		// An engine can prefill one prompt in time. A shortlist has 48 engines.
		for i := range 90 {
			hot.Request = fmt.Sprint("hot", i)
			placed, _ := f.chooser.Place(now, f.engines, hot)
			used[placed.ID]++
		}
		convey.So(len(used), convey.ShouldEqual, 90)
	})
	convey.Convey("If no engine of the shortlists can be used, another engine is", t, func() {
		f := newFleetSimulation(1)
		for i := range f.engines {
			f.engines[i].State = directory.Draining
		}
		f.engines[77].State = directory.Ready
		placed, ok := f.chooser.Place(now, f.engines, prompt("a", 7))
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(placed.ID, convey.ShouldEqual, "t00077")
		byPrefix, ok := placement.NewTargetTable().ByPrefix(now, f.engines, placement.Query{Key: 7, SharedTokens: 100, MayAssign: func(string) bool { return true }})
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(byPrefix.ID, convey.ShouldEqual, "t00077")
	})
}
