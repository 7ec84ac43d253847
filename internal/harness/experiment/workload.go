package experiment

import (
	"context"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/internal/harness/load"
	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/internal/wait"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// Conditions under which they are compared.
const (
	ConditionCalm  = "calm"
	ConditionBurst = "burst"
	ConditionSlow  = "slow-target"
	ConditionFail  = "failing-pool"
	ConditionLag   = "lag"
	ConditionLong  = "long-inputs"
)

// Conditions lists them in the order of the tables.
var Conditions = []string{ConditionCalm, ConditionBurst, ConditionSlow, ConditionFail, ConditionLag, ConditionLong}

// The figures of the comparison, as docs/MEASUREMENTS.md describes its conditions.
const (
	policyNodes = 3
	// policySlots is how many calls each stand-in works on at once.
	policySlots = 4
	// slowFactor multiplies the times of one target in slowEvery.
	slowFactor = 5
	slowEvery  = 10
	// lagOfReports is the age of what load reports describe.
	lagOfReports = 2 * time.Second
	// burstFactor multiplies the rate for one part in burstPart of a run,
	// burstsPerRun times.
	burstFactor  = 3
	burstsPerRun = 3
	burstPart    = 12
	// longInput is the size in bytes of one input in longEvery of the first share.
	longInput = 60_000
	longEvery = 3
	// failedCalls is more calls than a pool gets while it fails.
	failedCalls = 100_000
	// failAfter and failLength are parts of a run: a pool fails after a third of it
	// for a sixth of it.
	failAfter  = 3
	failLength = 6
)

// workload is a user's mix with deadlines that make overload show in seconds.
type workload struct {
	text      []byte
	deadlines map[string]int
	mix       []load.Share
	// failing is the pool that fails under ConditionFail.
	failing string
}

// One organisation sends a whole mix: between organisations the bundle's weights
// decide, and the bound knows no weights.
var workloads = map[string]workload{
	"kowhai": {
		text:      examples.Kowhai(),
		deadlines: map[string]int{"summarise-claim": 700, "chat-reply": 2500, "annotate-licence": 400, "availability": 200},
		mix: []load.Share{
			{Pipeline: "summarise-claim", Organisation: "depots", Weight: 3, InputBytes: 2000},
			{Pipeline: "chat-reply", Organisation: "depots", Weight: 1, InputBytes: 300},
			{Pipeline: "annotate-licence", Organisation: "depots", Weight: 4, InputBytes: 400},
			{Pipeline: "availability", Organisation: "depots", Weight: 6, InputBytes: 80},
		},
		failing: "rerankers",
	},
	"floraria": {
		text:      examples.Floraria(),
		deadlines: map[string]int{"florist-brief": 900, "card-message": 400, "tag-order": 200},
		mix: []load.Share{
			{Pipeline: "florist-brief", Organisation: "shops", Weight: 3, InputBytes: 4000},
			{Pipeline: "card-message", Organisation: "shops", Weight: 4, InputBytes: 200},
			{Pipeline: "tag-order", Organisation: "shops", Weight: 6, InputBytes: 300},
		},
		failing: "rerankers",
	},
}

// policySpeeds are the times of the stand-ins, by kind of their pool.
var policySpeeds = map[bundle.Kind]standin.Speed{
	bundle.KindEncoder:   {Base: 4 * time.Millisecond, PerKB: 200 * time.Microsecond},
	bundle.KindRetriever: {Base: 4 * time.Millisecond, PerKB: 100 * time.Microsecond},
	bundle.KindReranker:  {Base: 6 * time.Millisecond},
	bundle.KindService:   {Base: 4 * time.Millisecond},
	bundle.KindEngine:    {Base: 20 * time.Millisecond, PerKB: 500 * time.Microsecond, PerToken: 2 * time.Millisecond},
}

// tighten sets the deadlines and the slots of the experiment.
func (w workload) tighten(b *bundle.Bundle) {
	for i := range b.Pipelines {
		p := &b.Pipelines[i]
		if ms, ok := w.deadlines[p.Name]; ok {
			p.DeadlineMs = ms
		}
		for j := range p.Stages {
			p.Stages[j].MinimumMs = 0
		}
	}
}

// options returns the deployment of a cell.
func (w workload) options(condition, policy string) []lab.Option {
	opts := []lab.Option{lab.WithNodes(policyNodes), lab.WithSlots(policySlots), lab.WithoutLimits(), lab.WithBundle(w.tighten)}
	for kind, speed := range policySpeeds {
		opts = append(opts, lab.WithSpeed(kind, speed))
	}
	if condition == ConditionLag {
		opts = append(opts, lab.WithReportLag(lagOfReports))
	}
	return append(opts, lab.WithNodeOptions(nodeOptions(policy)...))
}

// plan returns the load of a cell; factor 1 fills the busiest pool.
func (w workload) plan(l *lab.Lab, opts PolicyOptions, condition string, factor float64) load.Plan {
	p := load.Plan{Key: examples.Key, Duration: opts.Duration, Seed: opts.Seed, Mix: slices.Clone(w.mix)}
	for _, m := range l.Nodes {
		p.Nodes = append(p.Nodes, m.URL())
	}
	if condition == ConditionLong {
		long := p.Mix[0]
		long.InputBytes = longInput
		long.Weight /= longEvery
		p.Mix[0].Weight -= long.Weight
		p.Mix = append(p.Mix, long)
	}
	if condition == ConditionBurst {
		p.Burst = load.Burst{Every: opts.Duration / burstsPerRun, Length: opts.Duration / burstPart, Factor: burstFactor}
	}
	p.Rate = factor * capacity(l.Plan, p.Mix)
	return p
}

// disturb starts the fault of a condition.
func (w workload) disturb(ctx context.Context, l *lab.Lab, condition string, d time.Duration) {
	switch condition {
	case ConditionSlow:
		for _, p := range l.Plan.Bundle().Pools {
			for i, t := range l.Pool(p.Name) {
				if i%slowEvery == 0 && len(p.Targets) > 1 {
					t.SlowDown(slowFactor)
				}
			}
		}
	case ConditionFail:
		go w.failFor(ctx, l, d/failAfter, d/failLength)
	}
}

// failFor makes every call of the failing pool break for a while.
func (w workload) failFor(ctx context.Context, l *lab.Lab, after, length time.Duration) {
	if wait.For(ctx, after) != nil {
		return
	}
	for _, t := range l.Pool(w.failing) {
		t.Fail(standin.ResetAfter, failedCalls)
	}
	_ = wait.For(ctx, length) // the faults are taken back also when the run was ended
	for _, t := range l.Pool(w.failing) {
		t.ClearFaults()
	}
}
