package matrix

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/client"
	"github.com/honeydyke/honeydyke/pkg/node"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// endWhole is the end of a request that was answered.
const endWhole = "whole"

// clock is the clock of a node that can be paused: it jumps when the node wakes.
type clock struct{ skipped atomic.Int64 }

func (c *clock) now() time.Time { return time.Now().Add(time.Duration(c.skipped.Load())) }

func (c *clock) skip(d time.Duration) { c.skipped.Add(int64(d)) }

// trial is one cell while it runs.
type trial struct {
	*runner
	cell  *Cell
	entry *lab.Member
	clock *clock
	// number is the bundle's when the cell began.
	number int
}

// run runs one cell and repairs the deployment after it.
func (r *runner) run(ctx context.Context, cell *Cell) error {
	ctx, cancel := context.WithTimeout(ctx, cellLimit)
	defer cancel()
	t := &trial{runner: r, cell: cell, entry: r.spare, clock: &clock{}, number: r.spare.Bundle()}
	if t.harmsEntry() {
		if err := t.addEntry(ctx); err != nil {
			return err
		}
		defer r.lab.Remove(t.entry)
	}
	if t.mustBeWhole() {
		// What earlier cells did to the targets must not stand in the way.
		if err := lab.Poll(ctx, r.healthy); err != nil {
			return err
		}
	}
	if err := t.signBundles(); err != nil {
		return err
	}
	t.place()
	t.request(ctx)
	t.checkNodes()
	return r.repair(ctx)
}

// harmsEntry says whether a fault of the cell needs a node of its own.
func (t *trial) harmsEntry() bool {
	for _, p := range t.cell.Faults {
		switch p.Fault {
		case KillEntry, DrainEntry, PauseEntry:
			return true
		}
	}
	return false
}

// addEntry starts the node that the cell may harm.
func (t *trial) addEntry(ctx context.Context) error {
	m, err := t.lab.AddNode(node.WithClock(t.clock.now))
	if err != nil {
		return err
	}
	t.entry = m
	return lab.WaitReady(ctx, m.AdminAddress())
}

// place sets the cell's faults.
func (t *trial) place() {
	for _, p := range t.cell.Faults {
		pool := t.lab.Plan.Pipeline(t.cell.form.pipeline).Stages[p.Stage].Pool
		script := t.lab.Scripts[pool]
		if p.Step == "" {
			script.Add(p.Fault, p.Times)
			continue
		}
		script.At(p.Step, func() { t.strike(p.Fault, pool) })
	}
}

// signBundles signs a bundle for each publication of the cell. A publication is a step of a
// target's call, and a target that signs meanwhile is silent for longer than a node waits for
// it when the machine is busy.
func (t *trial) signBundles() error {
	published := 0
	for _, p := range t.cell.Faults {
		if p.Fault == Publish {
			published++
		}
	}
	for len(t.signed) < published {
		plan := t.lab.Plan
		if n := len(t.signed); n > 0 {
			plan = t.signed[n-1].Plan
		}
		s, err := t.lab.SignNext(plan, func(b *bundle.Bundle) { b.Objective.CostWeight += costStep })
		if err != nil {
			return err
		}
		t.signed = append(t.signed, s)
	}
	return nil
}

// strike brings a fault of a node or of the platform about.
func (t *trial) strike(fault standin.Fault, pool string) {
	switch fault {
	case KillEntry:
		t.entry.Kill()
	case DrainEntry:
		t.entry.Stop()
	case PauseEntry:
		t.clock.skip(pauseLength)
	case Publish:
		t.lab.PublishSigned(t.signed[0])
		t.signed = t.signed[1:]
	case Leave:
		for _, target := range t.lab.Pool(pool)[1:] {
			target.Leave()
		}
	case ServiceDown:
		t.lab.Configuration.SetDown(true)
	}
}

func (t *trial) broken(format string, args ...any) {
	t.cell.Broken = append(t.cell.Broken, fmt.Sprintf(format, args...))
}

// request sends the request, and with a ticket sends it again elsewhere.
func (t *trial) request(ctx context.Context) {
	f := t.cell.form
	c := client.New(t.entry.URL(), examples.Key(f.organisation))
	req := client.Request{Pipeline: f.pipeline, Input: t.cell.input, Stream: f.stream}
	if f.ticket {
		ticket, err := c.TakeTicket(ctx, f.pipeline)
		if err != nil {
			t.broken("no ticket: %v", err)
			return
		}
		req.Ticket = ticket.Ticket
	}
	t.judge(c.Run(ctx, req, nil))
	if !f.ticket {
		return
	}
	for _, m := range []*lab.Member{t.spare, t.entry} {
		_, err := c.WithBase(m.URL()).Run(ctx, req, nil)
		t.judgeAgain(err)
	}
}

// judge holds the first end against what the stand-ins saw.
func (t *trial) judge(answer *client.Answer, err error) {
	f := t.cell.form
	if err == nil {
		t.cell.End = endWhole
		if answer.Output != lab.Expected(t.lab.Plan, f.organisation, f.pipeline, t.cell.input) {
			t.broken("the answer is not the one of this request")
		}
		t.checkOnce()
		return
	}
	e := verdict.From(err)
	t.cell.End = e.Verdict().String()
	if e.Verdict() == verdict.NotRun && t.runsOfAll() > 0 {
		t.broken("answered not run; %d stages ran", t.runsOfAll())
	}
	if e.SafeToRetry() && e.Verdict() != verdict.MayHaveRun && t.onceRuns() > 0 {
		t.broken("answered safe to retry; the stage that may not be repeated ran")
	}
	if t.mustBeWhole() {
		t.broken("refused although nothing stood in the way: %v", e)
	}
	t.checkOnce()
}

// mustBeWhole says whether the cell's faults leave a way to the whole answer.
func (t *trial) mustBeWhole() bool {
	for _, p := range t.cell.Faults {
		switch p.Fault {
		case DrainEntry, Publish, Leave, ServiceDown, standin.Twice, standin.Late:
		case standin.Refuse:
			if p.Times > 1 {
				return false
			}
		default:
			return false
		}
	}
	return true
}

// judgeAgain holds a later use of a ticket against the first.
func (t *trial) judgeAgain(err error) {
	t.checkOnce()
	if err == nil || t.onceRuns() == 0 {
		return
	}
	if verdict.From(err).Verdict() == verdict.NotRun {
		t.broken("a later use was answered not run; the stage ran")
	}
}

func (t *trial) checkOnce() {
	if n := t.onceRuns(); n > 1 {
		t.broken("the stage that may not be repeated ran %d times", n)
	}
}

// onceRuns counts the runs of the stage that may not be repeated.
func (t *trial) onceRuns() int {
	f := t.cell.form
	if f.once < 0 {
		return 0
	}
	stage := t.lab.Plan.Pipeline(f.pipeline).Stages[f.once]
	return t.runs(stage.Pool, stage.Name)
}

// runsOfAll counts the runs of all stages.
func (t *trial) runsOfAll() int {
	n := 0
	for _, s := range t.lab.Plan.Pipeline(t.cell.form.pipeline).Stages {
		n += t.runs(s.Pool, s.Name)
	}
	return n
}

// runsAt counts the runs of an input at a stage; an engine's runs name no stage.
func (r *runner) runsAt(pool, stage, input string) int {
	n := 0
	for _, run := range r.lab.Runs(pool) {
		if run.Input == input && (run.Stage == stage || run.Stage == "") {
			n++
		}
	}
	return n
}

func (t *trial) runs(pool, stage string) int { return t.runsAt(pool, stage, t.cell.input) }

// checkNodes looks at what must hold of the nodes after the cell.
func (t *trial) checkNodes() {
	if t.spare.Bundle() < t.number {
		t.broken("the bundle went back from %d to %d", t.number, t.spare.Bundle())
	}
	if t.entry == t.spare || t.entry.Phase() != node.Leaving {
		return
	}
	if len(t.cell.Faults) == 1 {
		if err := t.entry.Wait(); err != nil {
			t.broken("the planned stop: %v", err)
		}
	}
}

// repair undoes what the cell did to the platform and the targets.
func (r *runner) repair(ctx context.Context) error {
	r.lab.Configuration.SetDown(false)
	for _, s := range r.lab.Scripts {
		s.Clear()
	}
	renewed := false
	for _, t := range r.lab.Targets {
		if !t.Stopped() && !t.Leaving() {
			continue
		}
		t.Crash()
		if err := t.Start(t.Address()); err != nil {
			return err
		}
		renewed = true
	}
	if !renewed {
		return nil
	}
	return lab.Poll(ctx, r.healthy)
}

// healthy says whether the spare node takes every target for good.
func (r *runner) healthy() bool {
	for _, s := range r.spare.State().Targets {
		if s.Leaving || s.Ejected {
			return false
		}
	}
	return true
}

// sweep checks at the end that no request ran after its end, nor a stage that may
// not be repeated a second time.
func (r *runner) sweep(cells []Cell) {
	for i := range cells {
		t := &trial{runner: r, cell: &cells[i]}
		if cells[i].End == verdict.NotRun.String() && t.runsOfAll() > 0 {
			t.broken("answered not run, and it ran later")
		}
		t.checkOnce()
	}
}
