package experiment

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/internal/harness/load"
	"github.com/honeydyke/honeydyke/internal/wait"
)

// stormMix holds repeatable requests and ones that may not be repeated.
var stormMix = []load.Share{
	{Pipeline: "summarise-claim", Organisation: "assessors", Weight: 2, InputBytes: 500, Stream: true},
	{Pipeline: "availability", Organisation: "depots", Weight: 5, InputBytes: 80},
	{Pipeline: "release-locker", Organisation: "depots", Weight: 3, InputBytes: 60, Once: true},
	{Pipeline: "charge-member", Organisation: "members-app", Weight: 2, InputBytes: 60, Once: true},
}

// storm sends load while a tenth of the nodes is killed, a tenth paused and
// woken, a tenth stopped as planned, targets leave and a bundle is rolled out.
func (f *fleet) storm(ctx context.Context) error {
	// The bundle published during the storm changes no answer.
	governing := f.lab.Plan
	plan := load.Plan{
		Key: examples.Key, Rate: f.opts.Rate, Duration: f.opts.Storm, Seed: f.opts.Seed, Mix: stormMix,
		Check: func(s load.Share, input, output string) bool {
			return output == lab.Expected(governing, s.Organisation, s.Pipeline, input)
		},
	}
	for _, p := range f.nodes {
		plan.Nodes = append(plan.Nodes, p.URL())
	}
	struck := make(chan error, 1)
	go func() { struck <- f.strike(ctx) }()
	rep, err := load.Run(ctx, plan)
	if err != nil {
		return err
	}
	if err := <-struck; err != nil {
		return err
	}
	f.rep.Load = rep
	f.judge(rep)
	return nil
}

// strike brings the faults about, spread over the storm.
func (f *fleet) strike(ctx context.Context) error {
	tenth := max(1, len(f.nodes)/10)
	killed, paused, stopped := f.nodes[:tenth], f.nodes[tenth:2*tenth], f.nodes[2*tenth:3*tenth]
	rest := f.nodes[3*tenth:]
	step := f.opts.Storm / 8
	acts := []func(){
		func() { signal(killed, syscall.SIGKILL) },
		func() { signal(paused, syscall.SIGSTOP) },
		func() { f.lab.Pool("encoders")[0].Leave() },
		func() { signal(stopped, syscall.SIGTERM) },
		func() { f.lab.Configuration.SetDown(true) },
		func() { signal(paused, syscall.SIGCONT); f.lab.Configuration.SetDown(false) },
	}
	for _, act := range acts {
		if err := wait.For(ctx, step); err != nil {
			return err
		}
		act()
	}
	if _, err := f.publish(ctx, slices.Concat(paused, rest), time.Now); err != nil {
		return err
	}
	for _, p := range stopped {
		if err := p.Wait(); err != nil {
			f.broken("a planned stop ended with: %v", err)
		}
	}
	return nil
}

// judge holds what callers were told against what the stand-ins saw.
func (f *fleet) judge(rep *load.Report) {
	if rep.Wrong > 0 {
		f.broken("%d answers were to other requests", rep.Wrong)
	}
	runs := f.runsByInput()
	for _, input := range rep.NotRun {
		if runs[input].total > 0 {
			f.broken("%q was called not run; it ran", input)
		}
	}
	for input, n := range runs {
		if n.once > 1 {
			f.broken("%q ran %d times at a stage that may not be repeated", input, n.once)
		}
	}
}

type runCount struct{ total, once int }

// runsByInput counts the runs of each input, and those at stages that may not
// be repeated.
func (f *fleet) runsByInput() map[string]runCount {
	once := map[string]bool{}
	for _, p := range f.lab.Plan.Bundle().Pipelines {
		for _, s := range p.Stages {
			if !s.Repeatable {
				once[s.Name] = true
			}
		}
	}
	counts := map[string]runCount{}
	for _, t := range f.lab.Targets {
		for _, r := range t.Runs() {
			c := counts[r.Input]
			c.total++
			if once[r.Stage] {
				c.once++
			}
			counts[r.Input] = c
		}
	}
	return counts
}
