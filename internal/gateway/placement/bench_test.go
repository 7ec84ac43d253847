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
			table.Sent(e.ID)
		}
		table.Sent(e.ID)
		table.Ended(now, e.ID, time.Duration(50+i)*time.Millisecond, i%7 == 0)
		table.Report(now, e.ID, placement.Load{Running: i % 4, Waiting: i % 3, Slots: 8})
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
