package retrybudget_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
)

// TestSumOverNodes verifies that the retries of all nodes together stay within the limit
// in every window, while the nodes send and retry independently of each other. The ratio
// applies to the requests of two windows, because a retry at the start of one window may be
// allowed on account of requests in the window before.
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
				t.Fatalf("got %d retries in one window, want at most %.1f", spent, allowed)
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

// TestUnknownNodes verifies that a node that does not know the number of nodes may only
// retry a ratio of its own requests.
func TestUnknownNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	b := retrybudget.New(retrybudget.Policy{
		Ratio: 0.5, Window: time.Second, Extra: 1000, MaxNodes: 1, Nodes: func() int { return retrybudget.UnknownNodes },
	})
	if b.Spend(now) {
		t.Error("node with an unknown number of peers has a share of the extra retries")
	}
	b.RecordRequest(now)
	b.RecordRequest(now)
	if !b.Spend(now) {
		t.Error("retry within the ratio of the node's own requests was rejected")
	}
}

// TestSpendTable verifies how many retries a node may spend at once.
func TestSpendTable(t *testing.T) {
	now := time.Unix(1000, 0)
	policy := retrybudget.Policy{Ratio: 0.1, Window: 10 * time.Second, Extra: 32, MaxNodes: 16}
	known := func(nodes int) retrybudget.Policy {
		p := policy
		p.Nodes = func() int { return nodes }
		return p
	}
	cases := []struct {
		name     string
		policy   retrybudget.Policy
		requests int
		after    time.Duration
		want     int
	}{
		{"its share of the extra retries if it sent no requests", policy, 0, 0, 2},
		{"one more after ten requests", policy, 10, 0, 3},
		{"no more after nine requests", policy, 9, 0, 2},
		{"one more until the requests leave the window", policy, 10, 10 * time.Second, 3},
		{"no more once the requests have left the window", policy, 10, 10*time.Second + 1, 2},
		{"no more if fewer nodes than MaxNodes are known", known(4), 0, 0, 2},
		{"fewer if more nodes than MaxNodes are known", known(32), 0, 0, 1},
		{"only the ratio if the number of nodes is unknown", known(retrybudget.UnknownNodes), 20, 0, 2},
		{"no fraction of a retry", known(64), 5, 0, 1},
		{"nothing if neither ratio nor share amounts to a retry", known(64), 0, 0, 0},
	}
	convey.Convey("A node may retry", t, func() {
		for _, c := range cases {
			convey.Convey(c.name, func() {
				b := retrybudget.New(c.policy)
				for range c.requests {
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
	convey.Convey("A retry may be spent again after the previous one has left the window", t, func() {
		b := retrybudget.New(known(32))
		convey.So(b.Spend(now), convey.ShouldBeTrue)
		convey.So(b.Spend(now.Add(10*time.Second)), convey.ShouldBeFalse)
		convey.So(b.Spend(now.Add(10*time.Second+1)), convey.ShouldBeTrue)
	})
	convey.Convey("The remaining budget becomes negative if the number of nodes grows", t, func() {
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

// TestEarlierProcesses guards against a process that spends again what an earlier one of its node
// spent within the window.
func TestEarlierProcesses(t *testing.T) {
	now := time.Unix(1000, 0)
	policy := retrybudget.Policy{Ratio: 0.1, Window: 10 * time.Second, Extra: 32, MaxNodes: 16}.WithService("s")
	last := retrybudget.New(policy)
	for range 40 {
		last.RecordRequest(now)
	}
	for range 3 {
		last.Spend(now)
	}
	convey.Convey("Given a process after one that had 40 first attempts and 3 retries", t, func() {
		spent, known := last.Spent(now), true
		earlier := func() (retrybudget.Spent, bool) { return spent, known }
		remaining := func(age time.Duration, service string) float64 {
			return retrybudget.New(policy.WithService(service).WithEarlier(now, earlier)).Remaining(now.Add(age))
		}
		convey.Convey("it may spend what is left of its share and of those", func() {
			convey.So(remaining(0, "s"), convey.ShouldAlmostEqual, 3)
		})
		convey.Convey("the first attempts leave the window little by little, the retries at its end", func() {
			convey.So(remaining(5*time.Second, "s"), convey.ShouldAlmostEqual, 1)
			convey.So(remaining(10*time.Second, "s"), convey.ShouldAlmostEqual, 2)
		})
		convey.Convey("first attempts of another service do not count", func() {
			convey.So(remaining(0, "other"), convey.ShouldAlmostEqual, -1)
		})
		convey.Convey("it spends nothing until that is known, or the window is over", func() {
			known = false
			convey.So(remaining(5*time.Second, "s"), convey.ShouldEqual, 0)
			convey.So(remaining(10*time.Second, "s"), convey.ShouldAlmostEqual, 2)
		})
	})
}
