package retrybudget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
)

// TestSumOverNodes lets nodes that know nothing of each other send and repeat at
// will, come and go, and holds the sum against the bound in every window.
func TestSumOverNodes(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		nodes := make([]*retrybudget.Budget, rapid.SampledFrom([]int{16, 80}).Draw(t, "nodes"))
		policy := retrybudget.Policy{Ratio: 0.2, Window: window, Extra: 32, MaxNodes: 16, Nodes: func() int { return len(nodes) }}
		for i := range nodes {
			nodes[i] = retrybudget.New(policy)
		}
		var firsts, repeats []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "first") {
				n.First(now)
				firsts = append(firsts, now)
			} else if n.Spend(now) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			spent, sent := count(repeats, end, window), count(firsts, end, 2*window)
			if allowed := policy.Ratio*float64(sent) + policy.Extra; float64(spent) > allowed {
				t.Fatalf("%d repeats in a window, %.1f are allowed", spent, allowed)
			}
		}
	})
}

func count(events []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, e := range events {
		if !e.After(end) && e.After(end.Add(-window)) {
			n++
		}
	}
	return n
}

func TestUnknownNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	b := retrybudget.New(retrybudget.Policy{
		Ratio: 0.5, Window: time.Second, Extra: 1000, MaxNodes: 1, Nodes: func() int { return retrybudget.UnknownNodes },
	})
	if b.Spend(now) {
		t.Error("a node that knows nobody has a part of the extra")
	}
	b.First(now)
	b.First(now)
	if !b.Spend(now) {
		t.Error("the ratio of its own requests is refused")
	}
}
