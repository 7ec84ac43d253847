package root

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/internal/harness/load"
	"github.com/honeydyke/honeydyke/internal/wait"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

const (
	fleetNodes = 6
	// fleetPeers is how many earlier nodes a new one is given as peers.
	fleetPeers = 5
	// fleetSettle is how long the nodes exchange what they know before the first
	// bundle is published.
	fleetSettle = time.Second
	// inForceLimit is how long a published bundle may take to be in force.
	inForceLimit = 30 * time.Second
	// pauseLength is how long a third of the nodes is stopped by SIGSTOP after a
	// bundle was published.
	pauseLength = 4 * time.Second
	// pauseLead passes between SIGSTOP and the publication.
	pauseLead = time.Second

	stormLength = 8 * time.Second
	stormRate   = 40 // requests a second
	stormSeed   = 1
)

// stormMix holds repeatable requests and ones that may not be repeated.
var stormMix = []load.Share{
	{Pipeline: "summarise-claim", Organisation: "assessors", Weight: 2, InputBytes: 500, Stream: true},
	{Pipeline: "availability", Organisation: "depots", Weight: 5, InputBytes: 80},
	{Pipeline: "release-locker", Organisation: "depots", Weight: 3, InputBytes: 60, Once: true},
	{Pipeline: "charge-member", Organisation: "members-app", Weight: 2, InputBytes: 60, Once: true},
}

func TestFleetUnderStorm(t *testing.T) {
	convey.Convey("Six node processes under load, killed, paused, woken and stopped, break no promise", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		l, err := lab.Start(ctx, examples.Kowhai(), lab.WithNodes(0), lab.WithoutLimits(),
			lab.WithBundle(func(b *bundle.Bundle) { b.Rollout = nil }))
		convey.So(err, convey.ShouldBeNil)
		defer l.Close()
		f := &fleet{lab: l}
		defer f.kill()
		convey.So(f.start(ctx), convey.ShouldBeNil)
		convey.So(f.publish(ctx, f.nodes), convey.ShouldBeNil)
		convey.So(f.publishPaused(ctx), convey.ShouldBeNil)
		report, err := f.storm(ctx)
		convey.So(err, convey.ShouldBeNil)
		convey.So(f.broken(report), convey.ShouldBeEmpty)
		convey.So(report.Whole, convey.ShouldBeGreaterThan, 0)
	})
}

// fleet is a running fleet of node processes.
type fleet struct {
	lab   *lab.Lab
	nodes []*process
}

func (f *fleet) start(ctx context.Context) error {
	for i := range fleetNodes {
		var peers []string
		for _, p := range f.nodes[max(0, len(f.nodes)-fleetPeers):] {
			peers = append(peers, p.peers)
		}
		p, err := startProcess(ctx, f.lab, i, peers)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, p)
	}
	for _, p := range f.nodes {
		if err := lab.WaitReady(ctx, p.admin); err != nil {
			return errors.Wrap(err, "a node does not serve")
		}
	}
	return wait.For(ctx, fleetSettle)
}

// kill ends the processes that still run.
func (f *fleet) kill() {
	for _, p := range f.nodes {
		p.kill()
	}
}

// publishPaused publishes a bundle while a third of the nodes is stopped by
// SIGSTOP; the limit counts from SIGCONT.
func (f *fleet) publishPaused(ctx context.Context) error {
	third := f.nodes[:len(f.nodes)/3]
	sendSignal(third, syscall.SIGSTOP)
	if err := wait.For(ctx, pauseLead); err != nil {
		return err
	}
	if err := f.putBundle(); err != nil {
		return err
	}
	if err := wait.For(ctx, pauseLength); err != nil {
		return err
	}
	sendSignal(third, syscall.SIGCONT)
	return f.waitInForce(ctx, f.nodes)
}

// publish puts the next bundle into the configuration service and waits until
// it is in force at the nodes.
func (f *fleet) publish(ctx context.Context, nodes []*process) error {
	if err := f.putBundle(); err != nil {
		return err
	}
	return f.waitInForce(ctx, nodes)
}

// putBundle publishes a bundle that changes no answer.
func (f *fleet) putBundle() error {
	return f.lab.Publish(func(b *bundle.Bundle) { b.Objective.CostWeight += 0.001 })
}

func (f *fleet) waitInForce(ctx context.Context, nodes []*process) error {
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	number := f.lab.Plan.Number()
	for _, p := range nodes {
		inForce := func() bool {
			s, err := p.state(ctx)
			return err == nil && s.Bundle >= number
		}
		if err := lab.Poll(ctx, inForce); err != nil {
			return errors.Wrapf(err, "bundle %d was not in force everywhere within %s", number, inForceLimit)
		}
	}
	return nil
}

// storm sends load while strike brings the faults about.
func (f *fleet) storm(ctx context.Context) (*load.Report, error) {
	governing := f.lab.Plan
	plan := load.Plan{
		Key: examples.Key, Rate: stormRate, Duration: stormLength, Seed: stormSeed, Mix: stormMix,
		Check: func(s load.Share, input, output string) bool {
			return output == lab.Expected(governing, s.Organisation, s.Pipeline, input)
		},
	}
	for _, p := range f.nodes {
		plan.Nodes = append(plan.Nodes, p.url())
	}
	struck := make(chan error, 1)
	go func() { struck <- f.strike(ctx) }()
	report, err := load.Run(ctx, plan)
	if err != nil {
		return nil, err
	}
	return report, <-struck
}

// strike kills a tenth of the nodes, pauses and wakes a tenth, stops a tenth as
// planned, lets a target leave, takes the configuration service down and
// publishes a bundle, spread over the storm.
func (f *fleet) strike(ctx context.Context) error {
	tenth := max(1, len(f.nodes)/10)
	killed, paused, stopped := f.nodes[:tenth], f.nodes[tenth:2*tenth], f.nodes[2*tenth:3*tenth]
	rest := f.nodes[3*tenth:]
	acts := []func(){
		func() { sendSignal(killed, syscall.SIGKILL) },
		func() { sendSignal(paused, syscall.SIGSTOP) },
		func() { f.lab.Pool("encoders")[0].Leave() },
		func() { sendSignal(stopped, syscall.SIGTERM) },
		func() { f.lab.Configuration.SetDown(true) },
		func() { sendSignal(paused, syscall.SIGCONT); f.lab.Configuration.SetDown(false) },
	}
	for _, act := range acts {
		if err := wait.For(ctx, stormLength/8); err != nil {
			return err
		}
		act()
	}
	if err := f.publish(ctx, slices.Concat(paused, rest)); err != nil {
		return err
	}
	for _, p := range stopped {
		if err := p.wait(); err != nil {
			return errors.Wrap(err, "a planned stop")
		}
	}
	return nil
}

func sendSignal(nodes []*process, s syscall.Signal) {
	for _, p := range nodes {
		_ = p.signal(s) // fails only for a process that has ended
	}
}

// broken lists the promises that do not hold between what callers were answered and
// what the stand-ins saw.
func (f *fleet) broken(report *load.Report) []string {
	var list []string
	if report.Wrong > 0 {
		list = append(list, fmt.Sprintf("%d answers were to other requests", report.Wrong))
	}
	runs := f.runsByInput()
	for _, input := range report.NotRun {
		if runs[input].total > 0 {
			list = append(list, fmt.Sprintf("%q was called not run; it ran", input))
		}
	}
	for input, n := range runs {
		if n.once > 1 {
			list = append(list, fmt.Sprintf("%q ran %d times at a stage that may not be repeated", input, n.once))
		}
	}
	return list
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
