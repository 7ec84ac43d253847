// Package matrix stands in for the accidents of a native deployment: it causes every
// fault at every step of a request, alone and in pairs, on real nodes and
// stand-ins, and compares what callers were answered with what the stand-ins saw.
// Left out: faults of the network between machines, of clocks that run apart and of
// disks. It relies on the package lab; a cell that cannot be run is an error, a
// promise that does not hold is part of the report.
package matrix

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/node"
)

// Faults of nodes and of the platform, beside the stand-ins' own.
const (
	// KillEntry kills the node that the caller reached.
	KillEntry standin.Fault = "kill-entry"
	// DrainEntry starts a planned stop of that node.
	DrainEntry standin.Fault = "drain-entry"
	// PauseEntry lets that node wake up later than the deadline.
	PauseEntry standin.Fault = "pause-entry"
	// Publish puts a new bundle in force.
	Publish standin.Fault = "publish"
	// Leave lets every target of the stage's pool but one leave.
	Leave standin.Fault = "leave"
	// ServiceDown takes the configuration service away.
	ServiceDown standin.Fault = "service-down"
)

// nodeFaults lists the faults of nodes and of the platform.
var nodeFaults = []standin.Fault{KillEntry, DrainEntry, PauseEntry, Publish, Leave, ServiceDown}

const (
	// stall is how long a node waits for a silent target, and lateBy the delay of a
	// late answer; both are short, so that the matrix is quick.
	stall  = 150 * time.Millisecond
	lateBy = 20 * time.Millisecond
	// perToken is the time between an engine's tokens, short for the same reason.
	perToken = 50 * time.Microsecond
	// everyAttempt is more calls than any request makes.
	everyAttempt = 8
	// pauseLength is longer than every deadline of the matrix.
	pauseLength = time.Hour
	// deadlineMs is the deadline of every pipeline, in milliseconds; short, since calls to
	// silent targets may wait for it.
	deadlineMs = 900
	// cellLimit bounds one cell.
	cellLimit = 20 * time.Second
	// Limits of an organisation that the cells, one at a time, never reach.
	manyCalls    = 1000
	manyRequests = 10_000     // a second
	manyTokens   = 10_000_000 // a second
	// costStep is a change of a bundle that decides nothing.
	costStep = 0.001
)

// Placement is one fault at one point.
type Placement struct {
	Fault standin.Fault `json:"fault"`
	// Stage is the index of the stage whose call meets it.
	Stage int `json:"stage"`
	// Step is where in the call a fault of a node comes; empty for a target's.
	Step standin.Step `json:"step,omitempty"`
	// Times is how many calls meet a target's fault.
	Times int `json:"times,omitempty"`
}

// String names the placement without its stage.
func (p Placement) String() string {
	if p.Step != "" {
		return fmt.Sprintf("%s, %s", p.Fault, p.Step)
	}
	if p.Times > 1 {
		return string(p.Fault) + ", every attempt"
	}
	return string(p.Fault) + ", once"
}

// form is one kind of request.
type form struct {
	name         string
	pipeline     string
	organisation string
	stream       bool
	ticket       bool
	// once is the index of the stage that may not be repeated, or -1.
	once int
}

var forms = []form{
	{name: "claim, streamed", pipeline: "summarise-claim", organisation: "assessors", stream: true, once: -1},
	{name: "claim, plain", pipeline: "summarise-claim", organisation: "assessors", once: -1},
	{name: "locker, ticket", pipeline: "release-locker", organisation: "depots", ticket: true, once: 1},
	{name: "locker, bare", pipeline: "release-locker", organisation: "depots", once: 1},
}

// Cell is one request that meets faults.
type Cell struct {
	Form   string      `json:"form"`
	Faults []Placement `json:"faults"`
	// End is the first end that the caller got: whole, ran, not-run, may-have-run.
	End string `json:"end"`
	// Broken lists the promises that did not hold.
	Broken []string `json:"broken,omitempty"`

	form  form
	input string
}

// Options shape a run of the matrix.
type Options struct {
	// Pairs is the number of cells with two faults, drawn at random.
	Pairs int
	Seed  uint64
	// Progress is called after each cell; nil for none.
	Progress func(c Cell, took time.Duration)
}

// Run runs the whole matrix and returns its cells.
func Run(ctx context.Context, opts Options) (*Report, error) {
	r, err := newRunner(ctx)
	if err != nil {
		return nil, err
	}
	defer r.lab.Close()
	cells := append(singles(r.lab.Plan), pairs(r.lab.Plan, opts)...)
	for i := range cells {
		cells[i].input = fmt.Sprintf("cell %d", i)
		start := time.Now()
		if err := r.run(ctx, &cells[i]); err != nil {
			return nil, errors.Wrapf(err, "cell %d, %s, %v", i, cells[i].Form, cells[i].Faults)
		}
		if opts.Progress != nil {
			opts.Progress(cells[i], time.Since(start))
		}
	}
	r.sweep(cells)
	return &Report{Cells: cells}, nil
}

// singles lists every fault at every stage and step, for every form.
func singles(plan *bundle.Plan) []Cell {
	var cells []Cell
	for _, f := range forms {
		for stage := range plan.Pipeline(f.pipeline).Stages {
			for _, p := range placements(stage) {
				cells = append(cells, Cell{Form: f.name, Faults: []Placement{p}, form: f})
			}
		}
	}
	return cells
}

// placements lists every fault at one stage.
func placements(stage int) []Placement {
	var list []Placement
	for _, fault := range standin.Faults {
		list = append(list, Placement{Fault: fault, Stage: stage, Times: 1}, Placement{Fault: fault, Stage: stage, Times: everyAttempt})
	}
	for _, fault := range nodeFaults {
		list = append(list, Placement{Fault: fault, Stage: stage, Step: standin.Arrived}, Placement{Fault: fault, Stage: stage, Step: standin.Worked})
	}
	return list
}

// pairs draws cells with two faults at stages of their own.
func pairs(plan *bundle.Plan, opts Options) []Cell {
	rng := rand.New(rand.NewPCG(opts.Seed, opts.Seed))
	var cells []Cell
	for range opts.Pairs {
		f := forms[rng.IntN(len(forms))]
		stages := len(plan.Pipeline(f.pipeline).Stages)
		first := rng.IntN(stages)
		second := (first + 1 + rng.IntN(stages-1)) % stages
		one, two := placements(first), placements(second)
		cells = append(cells, Cell{
			Form: f.name, form: f,
			Faults: []Placement{one[rng.IntN(len(one))], two[rng.IntN(len(two))]},
		})
	}
	return cells
}

// runner runs cells one after another on one deployment.
type runner struct {
	lab *lab.Lab
	// spare is a node that no cell harms.
	spare *lab.Member
	// signed holds the bundles that the next publications publish, in this order.
	signed []*lab.SignedBundle
}

func newRunner(ctx context.Context) (*runner, error) {
	l, err := lab.Start(ctx, examples.Kowhai(), lab.WithNodes(1), lab.WithLateBy(lateBy),
		lab.WithNodeOptions(node.WithStall(stall)),
		lab.WithSpeed(bundle.KindEngine, standin.Speed{PerToken: perToken}))
	if err != nil {
		return nil, err
	}
	if err := l.Publish(quiet); err != nil {
		return nil, err
	}
	return &runner{lab: l, spare: l.Nodes[0]}, nil
}

// quiet takes the waves and the limits out of the way and shortens the deadlines,
// which calls that fall silent wait for.
func quiet(b *bundle.Bundle) {
	b.Rollout = nil
	for i := range b.Pipelines {
		b.Pipelines[i].DeadlineMs = deadlineMs
	}
	for i := range b.Organisations {
		b.Organisations[i].Limits = bundle.Limits{Concurrency: manyCalls, RequestsPerSecond: manyRequests, TokensPerSecond: manyTokens}
	}
}
