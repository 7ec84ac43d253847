package gateway

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

// linkMbpsPerCore is the bandwidth that work for other nodes needs beside a core, in
// Mbit/s. It is the ratio of instances with 200 Mbit/s and 0.8 of a core, which carry
// that work; what the work itself needs was not measured.
const linkMbpsPerCore = 250.0

// machineCapacity decides what a machine can carry of the work that one node does for all,
// in thousandths of a core; 0 for unknown. Inputs, from the settings: its processor in
// cores, and its link in Mbit/s, where that is known; the scarcer of both counts.
// Members with less than half of the strongest one's coordinate nothing and do not
// read the source. Too high a value has a weak machine fall behind with the work of
// all; too low a one leaves the work to fewer. Where machines differ by ten times the
// rule is worth a seventh of a day and more (docs/decisions/0012-batches.md, "Who
// coordinates").
func machineCapacity(cfg *settings.Gateway) int {
	cores := cfg.Cores
	if cfg.LinkMbps > 0 {
		cores = min(cores, cfg.LinkMbps/linkMbpsPerCore)
	}
	return int(1000 * cores)
}

const (
	// defaultRetryRatio is how many retries a request may cause, over all, when the
	// settings do not say: one in ten adds little to an overload.
	defaultRetryRatio = 0.1
	// defaultRetryWindow is the time over which that holds: longer than a burst of
	// failures, so that one does not use up what the next needs.
	defaultRetryWindow = 10 * time.Second
	// defaultRetryExtra is how many retries more are allowed in a window, over all nodes:
	// one for each of defaultMaxNodes, for services with few requests.
	defaultRetryExtra = 16
	// defaultMaxNodes is the least number of nodes that are assumed to share the extra:
	// more than the smallest fleets have, whose nodes may not know each other yet.
	defaultMaxNodes = 16
	// membershipSettleTime is how long after its start a node is assumed to know all members: four
	// rounds of gossip.
	membershipSettleTime = 2 * time.Second
	// sharersFactor is how many nodes may share the extra for each that was known to live
	// at once: for those that come and go meanwhile. Without it 33 retries were seen where
	// 32 were allowed.
	sharersFactor = 1.5
)

// retryPolicy is this node's part in the bound on retries. sharers returns how many
// nodes may share the extra.
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

// warmUpMargin is by how much the requests that a cold target gets may exceed what the
// configuration says it bears; not at all where the settings do not say.
func warmUpMargin(cfg *settings.Gateway) warmup.Margin {
	margin := warmup.Margin{Overshoot: 1}
	if w := cfg.WarmUp; w != nil {
		margin.Tolerance = w.Tolerance
		margin.Overshoot = max(w.Overshoot, 1)
	}
	return margin
}

// retrySharers decides how many nodes may share the extra of the retry budget.
// Inputs: how long the node has run, and the most members that it ever knew to live
// at once. A node that cannot know all members yet has no part. Too few let the nodes
// together exceed the bound, for instance when a partition hides members; too many
// refuse retries that were allowed. See docs/decisions/0011-the-gateway.md, "The
// retry budget".
func retrySharers(age time.Duration, peak int) int {
	if age < membershipSettleTime {
		return retrybudget.UnknownNodes
	}
	return int(sharersFactor * float64(peak))
}
