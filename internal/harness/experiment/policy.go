// Package experiment measures honeydyke against its stand-ins and against its
// own baselines: policies of choosing targets beside each other, and the cost of
// single parts at several sizes. docs/MEASUREMENTS.md and docs/CAPACITY.md name
// the command behind each figure. Everything runs on loopback with the stand-ins
// of package standin: the network, the platform and real engines are left out.
package experiment

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/internal/harness/load"
	"github.com/honeydyke/honeydyke/internal/native/node"
	"github.com/honeydyke/honeydyke/internal/native/routing"
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

// PolicyOptions shape the comparison.
type PolicyOptions struct {
	// User names a workload: kowhai or floraria.
	User       string
	Conditions []string
	Policies   []string
	// Loads are multiples of the rate that fills the busiest pool.
	Loads []float64
	// Duration is how long requests arrive in each cell.
	Duration time.Duration
	// Seed makes the arrivals repeatable; all policies get the same ones.
	Seed uint64
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

// measure runs one cell.
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

// nodeOptions sets the policy of a baseline; the product needs none.
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

// costs returns what the stand-ins spent, and what the whole answers would have
// cost with each stage run once.
func costs(l *lab.Lab, rep *load.Report) (spent, once float64) {
	type service struct{ pool, stage string }
	prices := map[service]bundle.Cost{}
	for _, p := range l.Plan.Bundle().Pipelines {
		for _, s := range p.Stages {
			prices[service{s.Pool, s.Name}] = s.Cost
			if l.Plan.Pool(s.Pool).Kind == bundle.KindEngine {
				prices[service{s.Pool, ""}] = s.Cost // an engine's runs do not name the stage
			}
		}
		if r := rep.Pipelines[p.Name]; r != nil {
			once += float64(r.Whole) * costOnce(l.Plan, p, r)
		}
	}
	for _, p := range l.Plan.Bundle().Pools {
		for _, r := range l.Runs(p.Name) {
			price := prices[service{p.Name, r.Stage}]
			spent += price.PerCall + price.PerToken*float64(r.Tokens)
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
