package retrybudget_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
)

// TestSumOverNodes lets nodes that know nothing of each other send and retry at
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
		var firsts, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "first") {
				n.RecordRequest(now)
				firsts = append(firsts, now)
			} else if n.Spend(now) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			spent, sent := count(retries, end, window), count(firsts, end, 2*window)
			if allowed := policy.Ratio*float64(sent) + policy.Extra; float64(spent) > allowed {
				t.Fatalf("%d retries in a window, %.1f are allowed", spent, allowed)
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
		t.Error("a node that knows nobody has a share of the extra")
	}
	b.RecordRequest(now)
	b.RecordRequest(now)
	if !b.Spend(now) {
		t.Error("the ratio of its own requests is refused")
	}
}

// TestSpendTable counts the retries that a node may spend at once.
func TestSpendTable(t *testing.T) {
	now := time.Unix(1000, 0)
	policy := retrybudget.Policy{Ratio: 0.1, Window: 10 * time.Second, Extra: 32, MaxNodes: 16}
	known := func(nodes int) retrybudget.Policy {
		p := policy
		p.Nodes = func() int { return nodes }
		return p
	}
	cases := []struct {
		why    string
		policy retrybudget.Policy
		firsts int
		after  time.Duration
		want   int
	}{
		{"its share of the extra without any request", policy, 0, 0, 2},
		{"one more for ten requests", policy, 10, 0, 3},
		{"none more for nine", policy, 9, 0, 2},
		{"the same at the end of the window", policy, 10, 10 * time.Second, 3},
		{"none more for requests before the window", policy, 10, 10*time.Second + 1, 2},
		{"no more where fewer nodes are known than the least", known(4), 0, 0, 2},
		{"less where more are known", known(32), 0, 0, 1},
		{"only the ratio where any number may be", known(retrybudget.UnknownNodes), 20, 0, 2},
		{"no part of one", known(64), 5, 0, 1},
		{"nothing where neither is enough", known(64), 0, 0, 0},
	}
	convey.Convey("A node may retry", t, func() {
		for _, c := range cases {
			convey.Convey(c.why, func() {
				b := retrybudget.New(c.policy)
				for range c.firsts {
					b.RecordRequest(now)
				}
				spent := 0
				for b.Spend(now.Add(c.after)) {
					spent++
				}
				convey.So(spent, convey.ShouldEqual, c.want)
			})
		}
	})
	convey.Convey("A retry may be spent again when it has left the window", t, func() {
		b := retrybudget.New(known(32))
		convey.So(b.Spend(now), convey.ShouldBeTrue)
		convey.So(b.Spend(now.Add(10*time.Second)), convey.ShouldBeFalse)
		convey.So(b.Spend(now.Add(10*time.Second+1)), convey.ShouldBeTrue)
	})
	convey.Convey("More nodes than before leave less, down to a debt", t, func() {
		nodes := 16
		p := policy
		p.Nodes = func() int { return nodes }
		b := retrybudget.New(p)
		b.Spend(now)
		b.Spend(now)
		nodes = 32
		convey.So(b.Remaining(now), convey.ShouldEqual, -1)
	})
}
