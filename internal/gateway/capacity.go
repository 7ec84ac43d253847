package gateway

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
	"github.com/honeydyke/honeydyke/internal/saturate"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

// linkMbpsPerCore is the bandwidth in Mbit/s that the work for other nodes takes per core. It
// is the ratio of instances with 200 Mbit/s and 0.8 of a core, which can carry that work.
const linkMbpsPerCore = 250.0

// machineCapacity decides how much of the work that one node does for all a machine can
// carry, in thousandths of a core; 0 if unknown. Inputs, from the settings: its processor in
// cores and, if known, its link in Mbit/s; the scarcer of the two counts. Members with less
// than half the capacity of the strongest one coordinate nothing and do not read the source.
// If the value is too high, a weak machine falls behind with the work for all; if it is too
// low, fewer members share that work. The rule matters most where machines differ by a factor
// of ten. See docs/decisions/0012-batches.md, "Who coordinates".
func machineCapacity(cfg *settings.Gateway) int {
	cores := cfg.Cores
	if cfg.LinkMbps > 0 {
		cores = min(cores, cfg.LinkMbps/linkMbpsPerCore)
	}
	return saturate.Int(1000 * cores)
}

const (
	// defaultRetryRatio is how many retries are allowed per request, over all nodes. One in
	// ten adds little to an overload.
	defaultRetryRatio = 0.1
	// defaultRetryWindow is the sliding window of the retry budget. It is longer than a burst
	// of failures, so that one burst does not use up the budget of the next.
	defaultRetryWindow = 10 * time.Second
	// defaultRetryExtra is how many retries are allowed beyond the ratio in a window, over
	// all nodes: one for each of defaultMaxNodes, for services with few requests.
	defaultRetryExtra = 16
	// defaultMaxNodes is the minimum number of nodes assumed to share the extra retries. It
	// is larger than the smallest deployments, whose nodes may not know each other yet.
	defaultMaxNodes = 16
	// membershipSettleTime is how long after its start a node is assumed to know all members:
	// four gossip rounds.
	membershipSettleTime = 2 * time.Second
	// sharersFactor is how many nodes may share the extra retries for each one that was known
	// to be live at once, to allow for those that come and go. Without it, 33 retries were
	// made where 32 were allowed.
	sharersFactor = 1.5
)

// retryPolicy returns the bound on retries. sharers returns how many nodes may share the
// extra retries.
func retryPolicy(cfg *settings.Gateway, sharers func() int) retrybudget.Policy {
	p := retrybudget.Policy{
		Ratio: defaultRetryRatio, Window: defaultRetryWindow, Extra: defaultRetryExtra,
		MaxNodes: defaultMaxNodes, Nodes: sharers,
	}
	if r := cfg.Retries; r != nil {
		p.Ratio = r.Ratio
		p.Window = millis(r.WindowMs)
		p.Extra = r.Extra
		if r.MaxNodes > 0 {
			p.MaxNodes = r.MaxNodes
		}
	}
	return p
}

// itemRetryPolicy returns the bound on retries of items at this node as a coordinator. Members report
// what a node spent as a relay, not as a coordinator, so that a process which is not the first of its
// node takes the node's share of the extra retries for spent.
func itemRetryPolicy(p retrybudget.Policy, started time.Time, restarted bool) retrybudget.Policy {
	if !restarted {
		return p
	}
	return p.WithExtraSpent(started)
}

// restarted reports whether an earlier process of this node may have spent retries.
func restarted(cfg *settings.Gateway) bool { return cfg.Retries != nil && cfg.Retries.Restarted }

// warmUpMargin returns by how much the requests to a cold target may exceed the rate that the
// configuration allows; not at all if the settings do not specify it.
func warmUpMargin(cfg *settings.Gateway) warmup.Margin {
	margin := warmup.Margin{Overshoot: 1}
	if w := cfg.WarmUp; w != nil {
		margin.Tolerance = w.Tolerance
		margin.Overshoot = max(w.Overshoot, 1)
	}
	return margin
}

// retrySharers decides how many nodes may share the extra retries of the retry budget.
// Inputs: how long the node has run, the most members that it ever knew to be live at
// once, and whether there are others according to its settings. A node that cannot know all
// members yet, or has never heard of one, gets no share. If the number is too low, the
// nodes together exceed the bound, for instance when a partition hides members; if it is too
// high, allowed retries are refused. See docs/decisions/0011-the-gateway.md, "The retry
// budget".
func retrySharers(age time.Duration, peak int, hasSeeds bool) int {
	if age < membershipSettleTime || peak <= 1 && hasSeeds {
		return retrybudget.UnknownNodes
	}
	return saturate.Int(sharersFactor * float64(peak))
}

// targetSample returns how many of the targets that report their speed a node compares for a
// plain call; 0 for all. A sample keeps nodes that know the same of the targets from choosing
// the same one at once. Nodes that know only their own calls differ already, and choose better
// among all (docs/design/hard-load.md).
func targetSample(cfg *settings.TargetSpeed) int {
	if cfg == nil || !cfg.Sample {
		return 0
	}
	return placement.SampleSize
}
