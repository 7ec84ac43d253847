// Package experiment measures honeydyke against its stand-ins and against its
// own baselines: policies of choosing targets beside each other, and the cost of
// single parts at several sizes. docs/MEASUREMENTS.md and docs/CAPACITY.md name
// the command behind each figure. Everything runs on loopback with the stand-ins
// of package standin: the network, the platform and real engines are left out.
package experiment

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/internal/harness/load"
	"github.com/honeydyke/honeydyke/internal/harness/plot"
	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/internal/native/node"
	"github.com/honeydyke/honeydyke/internal/native/routing"
	"github.com/honeydyke/honeydyke/internal/wait"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// Policies that are compared. All but the first are baselines: they hold work
// until its deadline and never refuse it early.
const (
	PolicyProduct   = "honeydyke"
	PolicyRandom    = "random"
	PolicyRobin     = "round-robin"
	PolicyLeast     = "least-outstanding"
	PolicyTwoChoice = "two-choices"
)

// Policies lists them in the order of the tables.
var Policies = []string{PolicyProduct, PolicyRandom, PolicyRobin, PolicyLeast, PolicyTwoChoice}

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

const (
	policyNodes   = 3
	slowFactor    = 5
	lagOfReports  = 2 * time.Second
	burstFactor   = 3
	longInput     = 60_000
	failedCalls   = 100_000
	policySlots   = 4
	meanOfCeiling = 0.75
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

var policySpeeds = map[bundle.Kind]standin.Speed{
	bundle.KindEncoder:   {Base: 4 * time.Millisecond, PerKB: 200 * time.Microsecond},
	bundle.KindRetriever: {Base: 4 * time.Millisecond, PerKB: 100 * time.Microsecond},
	bundle.KindReranker:  {Base: 6 * time.Millisecond},
	bundle.KindService:   {Base: 4 * time.Millisecond},
	bundle.KindEngine:    {Base: 20 * time.Millisecond, PerKB: 500 * time.Microsecond, PerToken: 2 * time.Millisecond},
}

// PolicyOptions shape the comparison.
type PolicyOptions struct {
	User       string
	Conditions []string
	Policies   []string
	Loads      []float64
	Duration   time.Duration
	Seed       uint64
}

// PolicyCell is the outcome of one policy at one load under one condition.
type PolicyCell struct {
	Condition string  `json:"condition"`
	Policy    string  `json:"policy"`
	Load      float64 `json:"load"`
	Sent      int     `json:"sent"`
	// Attainment is the share of requests that were answered whole in time.
	Attainment float64 `json:"attainment"`
	// Bound is the largest attainment that the slots allow on these arrivals.
	Bound float64 `json:"bound"`
	// CostRatio is all that was spent over the cost of the whole answers with
	// each stage run once.
	CostRatio float64 `json:"costRatio"`
	// Wasted is the share of all cost that went to requests without a whole
	// answer, or to attempts that did not count.
	Wasted float64 `json:"wasted"`
	// ByPipeline is the attainment of each pipeline.
	ByPipeline map[string]float64 `json:"byPipeline"`
	// Reasons counts the refusals of each pipeline by reason.
	Reasons map[string]map[string]int `json:"reasons"`
}

// PolicyReport is the outcome of a comparison.
type PolicyReport struct {
	User  string       `json:"user"`
	Cells []PolicyCell `json:"cells"`
}

// ComparePolicies runs every cell on fresh stand-ins and nodes, with the same
// arrivals for all policies.
func ComparePolicies(ctx context.Context, opts PolicyOptions, progress func(PolicyCell)) (*PolicyReport, error) {
	w, ok := workloads[opts.User]
	if !ok {
		return nil, errors.Errorf("there is no user %q", opts.User)
	}
	rep := &PolicyReport{User: opts.User}
	for _, condition := range opts.Conditions {
		for _, factor := range opts.Loads {
			for _, policy := range opts.Policies {
				cell, err := w.measure(ctx, opts, condition, policy, factor)
				if err != nil {
					return nil, err
				}
				rep.Cells = append(rep.Cells, *cell)
				progress(*cell)
			}
		}
	}
	return rep, nil
}

func (w workload) measure(ctx context.Context, opts PolicyOptions, condition, policy string, factor float64) (*PolicyCell, error) {
	l, err := lab.Start(ctx, w.text, w.options(condition, policy)...)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	plan := w.plan(l, opts, condition, factor)
	w.disturb(ctx, l, condition, opts.Duration)
	rep, err := load.Run(ctx, plan)
	if err != nil {
		return nil, err
	}
	cell := &PolicyCell{
		Condition: condition, Policy: policy, Load: factor, Sent: rep.Sent, Attainment: rep.Attainment,
		Bound: w.bound(l.Plan, plan), ByPipeline: map[string]float64{}, Reasons: map[string]map[string]int{},
	}
	for name, p := range rep.Pipelines {
		cell.ByPipeline[name] = p.Attainment
		cell.Reasons[name] = p.Reasons
	}
	spent, once := costs(l, rep)
	cell.CostRatio = spent / once
	cell.Wasted = 1 - once/spent
	return cell, nil
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

func nodeOptions(policy string) []node.Option {
	baselines := map[string]routing.Policy{
		PolicyRandom: routing.Random{}, PolicyRobin: routing.RoundRobin{},
		PolicyLeast: routing.LeastOutstanding{}, PolicyTwoChoice: routing.TwoChoices{},
	}
	if p, ok := baselines[policy]; ok {
		return []node.Option{node.WithPolicy(p), node.WithoutRefusal()}
	}
	return nil
}

func (w workload) plan(l *lab.Lab, opts PolicyOptions, condition string, factor float64) load.Plan {
	p := load.Plan{Key: examples.Key, Duration: opts.Duration, Seed: opts.Seed, Mix: slices.Clone(w.mix)}
	for _, m := range l.Nodes {
		p.Nodes = append(p.Nodes, m.URL())
	}
	if condition == ConditionLong {
		long := p.Mix[0]
		long.InputBytes = longInput
		long.Weight /= 3
		p.Mix[0].Weight -= long.Weight
		p.Mix = append(p.Mix, long)
	}
	if condition == ConditionBurst {
		p.Burst = load.Burst{Every: opts.Duration / 3, Length: opts.Duration / 12, Factor: burstFactor}
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
				if i%10 == 0 && len(p.Targets) > 1 {
					t.SlowDown(slowFactor)
				}
			}
		}
	case ConditionFail:
		go w.failFor(ctx, l, d/3, d/6)
	}
}

// failFor lets every call of the failing pool break for a while.
func (w workload) failFor(ctx context.Context, l *lab.Lab, after, length time.Duration) {
	_ = wait.For(ctx, after)
	for _, t := range l.Pool(w.failing) {
		t.Fail(standin.ResetAfter, failedCalls)
	}
	_ = wait.For(ctx, length)
	for _, t := range l.Pool(w.failing) {
		t.ClearFaults()
	}
}

// costs returns what the stand-ins spent, and what the whole answers would have
// cost with each stage run once.
func costs(l *lab.Lab, rep *load.Report) (spent, once float64) {
	type place struct{ pool, stage string }
	prices := map[place]bundle.Cost{}
	for _, p := range l.Plan.Bundle().Pipelines {
		for _, s := range p.Stages {
			prices[place{s.Pool, s.Name}] = s.Cost
			if l.Plan.Pool(s.Pool).Kind == bundle.KindEngine {
				prices[place{s.Pool, ""}] = s.Cost // engines are not told the stage
			}
		}
		if r := rep.Pipelines[p.Name]; r != nil {
			once += float64(r.Whole) * costOnce(l.Plan, p, r)
		}
	}
	for _, p := range l.Plan.Bundle().Pools {
		for _, t := range l.Pool(p.Name) {
			for _, r := range t.Runs() {
				price := prices[place{p.Name, r.Stage}]
				spent += price.PerCall + price.PerToken*float64(r.Tokens)
			}
		}
	}
	return spent, once
}

// costOnce is the mean cost of one whole answer of a pipeline with one call for
// each stage.
func costOnce(plan *bundle.Plan, p bundle.Pipeline, r *load.PipelineReport) float64 {
	sum := 0.0
	for _, s := range p.Stages {
		mean := r.CostByStage[s.Name]
		if plan.Pool(s.Pool).Kind != bundle.KindEngine {
			mean = min(mean, s.Cost.PerCall)
		}
		sum += mean
	}
	return sum
}

// work returns the slot time that a request of a share takes at each pool.
func work(plan *bundle.Plan, s load.Share) map[string]time.Duration {
	at := make(map[string]time.Duration)
	for _, stage := range plan.Pipeline(s.Pipeline).Stages {
		pool := plan.Pool(stage.Pool)
		speed := policySpeeds[pool.Kind]
		d := speed.Base + time.Duration(s.InputBytes/1024)*speed.PerKB
		if pool.Kind == bundle.KindEngine {
			d += time.Duration(meanOfCeiling * float64(stage.MaxTokens) * float64(speed.PerToken))
		}
		at[stage.Pool] += d
	}
	return at
}

func slotsOf(plan *bundle.Plan, pool string) float64 {
	n := 0
	for _, t := range plan.Pool(pool).Targets {
		n += t.Slots
	}
	return float64(n)
}

// capacity returns the rate of the mix at which the busiest pool is full.
func capacity(plan *bundle.Plan, mix []load.Share) float64 {
	weights := 0.0
	need := make(map[string]float64)
	for _, s := range mix {
		weights += s.Weight
		for pool, d := range work(plan, s) {
			need[pool] += s.Weight * d.Seconds()
		}
	}
	most := 0.0
	for pool, seconds := range need {
		most = max(most, seconds/weights/slotsOf(plan, pool))
	}
	return 1 / most
}

// bound returns the largest share of the arrivals that anybody could answer. Each
// pool is taken as one machine as fast as all its slots together, which has all
// arrivals from the start; the rule of Moore and Hodgson then loses the fewest
// possible. Both make it easier than the real task, so no scheduler can beat it.
func (w workload) bound(plan *bundle.Plan, p load.Plan) float64 {
	byPool := make(map[string][]task)
	arrivals := p.Arrivals()
	for _, a := range arrivals {
		due := a.At + plan.Pipeline(a.Share.Pipeline).Deadline()
		for pool, d := range work(plan, a.Share) {
			byPool[pool] = append(byPool[pool], task{work: d.Seconds(), due: due.Seconds()})
		}
	}
	lost := 0
	for pool, tasks := range byPool {
		lost = max(lost, fewestLost(tasks, slotsOf(plan, pool)))
	}
	return 1 - float64(lost)/float64(max(1, len(arrivals)))
}

// task is one request at one pool, in seconds.
type task struct{ work, due float64 }

// fewestLost returns how many tasks must be late at a machine of the speed.
func fewestLost(tasks []task, speed float64) int {
	slices.SortFunc(tasks, func(a, b task) int { return cmp.Compare(a.due, b.due) })
	var kept workHeap
	total := 0.0
	lost := 0
	for _, t := range tasks {
		heap.Push(&kept, t.work)
		total += t.work
		if total > speed*t.due {
			total -= heap.Pop(&kept).(float64)
			lost++
		}
	}
	return lost
}

// workHeap gives the largest work first.
type workHeap []float64

func (h workHeap) Len() int           { return len(h) }
func (h workHeap) Less(i, j int) bool { return h[i] > h[j] }
func (h workHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *workHeap) Push(x any) { *h = append(*h, x.(float64)) }

// Pop implements heap.Interface.
func (h *workHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// Print writes the table for people.
func (r *PolicyReport) Print(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%-13s %-18s %5s %6s %8s %7s %7s %7s\n",
		"condition", "policy", "load", "sent", "attain", "bound", "cost", "wasted"); err != nil {
		return err
	}
	for _, c := range r.Cells {
		if _, err := fmt.Fprintln(w, c.Line()); err != nil {
			return err
		}
	}
	return nil
}

// Line is the cell as a line of the table.
func (c PolicyCell) Line() string {
	line := fmt.Sprintf("%-13s %-18s %5.1f %6d %7.1f%% %6.1f%% %7.2f %6.1f%% ",
		c.Condition, c.Policy, c.Load, c.Sent, 100*c.Attainment, 100*c.Bound, c.CostRatio, 100*c.Wasted)
	names := make([]string, 0, len(c.ByPipeline))
	for name := range c.ByPipeline {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		line += fmt.Sprintf(" %s %.0f", name, 100*c.ByPipeline[name])
	}
	return line
}

// Chart draws attainment over load for one condition.
func (r *PolicyReport) Chart(condition string) plot.Chart {
	c := plot.Chart{
		Title: fmt.Sprintf("%s, %s: requests answered whole in time", r.User, condition),
		X:     "load (1 is the capacity of the busiest pool)", Y: "attainment", Marked: true,
	}
	bound := plot.Line{Name: "bound"}
	for _, name := range Policies {
		line := plot.Line{Name: name}
		for _, cell := range r.Cells {
			if cell.Condition != condition || cell.Policy != name {
				continue
			}
			line.Points = append(line.Points, plot.Point{X: cell.Load, Y: cell.Attainment})
			if name == PolicyProduct {
				bound.Points = append(bound.Points, plot.Point{X: cell.Load, Y: cell.Bound})
			}
		}
		if len(line.Points) > 0 {
			c.Lines = append(c.Lines, line)
		}
	}
	c.Lines = append(c.Lines, bound)
	return c
}
