package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/placement"
)

// sizes are the numbers of targets that each choice is measured with.
var sizes = []int{12, 60}

// loaded returns a table that has learnt something of every engine.
func loaded(n int) *placement.TargetTable {
	table := placement.NewTargetTable()
	for i, e := range engines(n) {
		for range i % 5 {
			table.RecordStart(e.Incarnation())
		}
		table.RecordStart(e.Incarnation())
		table.RecordEnd(now, e.Incarnation(), time.Duration(50+i)*time.Millisecond, i%7 == 0)
		table.RecordLoad(now, e.Incarnation(), placement.Load{Running: i % 4, Waiting: i % 3, Slots: 8})
	}
	return table
}

func BenchmarkLeastLoaded(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, list := loaded(n), engines(n)
			for b.Loop() {
				table.LeastLoaded(now, list, placement.Query{DataCentre: "d0", Exclude: []string{"t3"}})
			}
		})
	}
}

func BenchmarkByPrefix(b *testing.B) {
	q := placement.Query{Key: 7, SharedTokens: 5000, Exclude: []string{"t3"}, InputBytes: map[string]int64{"d0": 2e6, "d1": 1e6}}
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table, list := loaded(n), engines(n)
			for b.Loop() {
				table.ByPrefix(now, list, q)
			}
		})
	}
}

// BenchmarkPlace places prompts of 50 sessions; two prompts an engine are prefilled
// at a time.
func BenchmarkPlace(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			chooser, list := placement.NewEngineChooser(), engines(n)
			requests := make([]string, 2*n)
			for i := range requests {
				requests[i] = fmt.Sprint("r", i)
			}
			i := 0
			for b.Loop() {
				q := prompt(requests[i%len(requests)], uint64(i%50+1))
				q.InputBytes = map[string]int64{"d0": 2e6, "d1": 1e6}
				chooser.Place(now, list, q)
				i++
			}
		})
	}
}

// A large service: 240 engines and 500 prompts a second of 4,600 sessions.
const (
	largeEngines  = 240
	largeSessions = 4600
	largeInterval = time.Second / 500
	// largeFirstParts is the number of first parts that the sessions share.
	largeFirstParts = 80
)

// BenchmarkPlaceLarge places a prompt at the member that does so for all nodes of a
// large service, when it has done that for 30 s. Each prompt is prefilled 200 ms later.
func BenchmarkPlaceLarge(b *testing.B) {
	chooser, list := placement.NewEngineChooser(), engines(largeEngines)
	at := now
	n := 0
	place := func() {
		at = at.Add(largeInterval)
		n++
		session := n * 7919 % largeSessions
		chooser.Place(at, list, placement.Prompt{
			Request: fmt.Sprint("r", n), Tokens: 3000, Slack: time.Second,
			Shared: []placement.SharedPart{{Key: uint64(session%largeFirstParts + 1), Tokens: 300}, {Key: uint64(session + 1000), Tokens: 700}},
		})
		chooser.RecordPrefill(at, fmt.Sprint("r", n-100), true)
	}
	for range 15_000 {
		place()
	}
	for b.Loop() {
		place()
	}
}
