package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/honeydyke/honeydyke/internal/message"
)

// isReaderBefore is the rule before it was parted, for TestSameReaders alone.
func (r *Roster) isReaderBefore(now time.Time) bool {
	serving := r.Serving(now)
	if len(serving) <= 9 {
		return true
	}
	readers := 4 + len(serving)/40
	strong := r.eligibleBefore(now)
	if !slices.Contains(strong, r.self.Address) {
		if len(strong) >= readers {
			return false
		}
		readers -= len(strong)
		strong = slices.DeleteFunc(serving, func(a string) bool { return slices.Contains(strong, a) })
	}
	ahead := 0
	own := readerWeight(r.self.Address)
	for _, a := range strong {
		if readerWeight(a) > own {
			ahead++
		}
	}
	return ahead < readers
}

// eligibleBefore is the rule before it was parted, for TestSameReaders alone.
func (r *Roster) eligibleBefore(now time.Time) []string {
	serving := r.Serving(now)
	strongest := 0
	for _, a := range serving {
		strongest = max(strongest, r.capacity(a))
	}
	least := int(0.5 * float64(strongest))
	return slices.DeleteFunc(serving, func(a string) bool { return r.capacity(a) < least })
}

// TestSameReaders compares who reads and who is eligible, before and after.
func TestSameReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		r := NewRoster("self", 1, nil)
		r.SetStatus(Status{Serving: rapid.Bool().Draw(t, "serving"), Leaving: rapid.Bool().Draw(t, "leaving")})
		r.SetCapacity(rapid.SampledFrom([]int{0, 1, 40, 401, 500, 800}).Draw(t, "own"))
		count := rapid.SampledFrom([]int{0, 5, 8, 9, 10, 30, 90}).Draw(t, "members")
		strong := rapid.IntRange(0, count).Draw(t, "strong")
		for i := range count {
			m := message.GossipMember{
				Address: fmt.Sprint("m", rapid.IntRange(0, 999).Draw(t, "address")), Incarnation: 1, Beat: 1,
				Serving: i%11 != 3, Leaving: i%13 == 5, Hears: true, Capacity: rapid.SampledFrom([]int{0, 1, 40, 399}).Draw(t, "weak"),
			}
			if i < strong {
				m.Capacity = rapid.SampledFrom([]int{400, 401, 500, 800, 801}).Draw(t, "capacity")
			}
			r.Merge(now, message.Gossip{Members: []message.GossipMember{m}})
			if i%7 == 0 {
				r.Suspect(now, m.Address)
			}
		}
		later := now.Add(time.Duration(rapid.SampledFrom([]int{0, 1500, 2500, 2501}).Draw(t, "ms")) * time.Millisecond)
		if a, b := r.isReaderBefore(later), r.IsReader(later); a != b {
			t.Fatalf("IsReader: %v, before %v", b, a)
		}
		if a, b := r.eligibleBefore(later), r.Eligible(later); !slices.Equal(a, b) {
			t.Fatalf("Eligible: %v, before %v", b, a)
		}
	})
}
