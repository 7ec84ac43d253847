package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/internal/harness/load"
	"github.com/honeydyke/honeydyke/internal/wait"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// FleetOptions shape a run of many node processes.
type FleetOptions struct {
	Nodes int
	// Settle is how long the nodes get to know each other first.
	Settle time.Duration
	// Calm is how long the idle fleet is watched.
	Calm time.Duration
	// Storm is how long load runs while nodes are killed, paused and stopped.
	Storm time.Duration
	Rate  float64
	Seed  uint64
	// Command runs honeydyke; the nodes' arguments are added to it.
	Command []string
	Env     []string
}

// FleetReport is the outcome.
type FleetReport struct {
	Nodes int `json:"nodes"`
	// ServiceCallsPerSecond counts calls of the configuration service in calm.
	ServiceCallsPerSecond float64 `json:"serviceCallsPerSecond"`
	// ControlBytesPerSecond and CPUPercent are means over the idle nodes.
	ControlBytesPerSecond float64 `json:"controlBytesPerSecond"`
	CPUPercent            float64 `json:"cpuPercent"`
	MemoryMB              float64 `json:"memoryMB"`
	// InForceCalm and InForcePaused are the times until a published bundle was
	// in force: on half of the nodes, and on the last.
	InForceCalm   InForce `json:"inForceCalm"`
	InForcePaused InForce `json:"inForcePaused"`
	// Load is what callers met in the storm.
	Load *load.Report `json:"load"`
	// Broken lists the promises that did not hold.
	Broken []string `json:"broken"`
}

// InForce is how long a bundle took, in milliseconds.
type InForce struct {
	Median float64 `json:"medianMs"`
	Worst  float64 `json:"worstMs"`
}

// Print writes the result for people.
func (r *FleetReport) Print(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%d nodes: %.2f service calls/s, %.0f control bytes/s a node, %.2f%% of a core, %.0f MB a node\n"+
		"in force, calm: median %.0f ms, worst %.0f ms; a third paused and woken: median %.0f ms, worst %.0f ms\n",
		r.Nodes, r.ServiceCallsPerSecond, r.ControlBytesPerSecond, r.CPUPercent, r.MemoryMB,
		r.InForceCalm.Median, r.InForceCalm.Worst, r.InForcePaused.Median, r.InForcePaused.Worst); err != nil {
		return err
	}
	if r.Load != nil {
		if err := r.Load.Print(w); err != nil {
			return err
		}
	}
	for _, b := range r.Broken {
		if _, err := fmt.Fprintln(w, "BROKEN", b); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d promises broken\n", len(r.Broken))
	return err
}

// fleet is a running fleet of processes.
type fleet struct {
	opts  FleetOptions
	lab   *lab.Lab
	nodes []*lab.Process
	rep   *FleetReport
}

const (
	// knownPeers is how many earlier nodes a new one is told of.
	knownPeers = 5
	// inForceLimit bounds the wait for a bundle.
	inForceLimit = 30 * time.Second
	inForcePoll  = 10 * time.Millisecond
	// ticksPerSecond is the unit of processor times in /proc, fixed on Linux.
	ticksPerSecond = 100
	pauseOfNodes   = 4 * time.Second
)

// RunFleet starts the nodes, watches them in calm, publishes bundles, then sends
// load while nodes are killed, paused and stopped.
func RunFleet(ctx context.Context, opts FleetOptions) (*FleetReport, error) {
	text, err := changed(examples.Kowhai(), func(b *bundle.Bundle) { b.Rollout = nil })
	if err != nil {
		return nil, err
	}
	l, err := lab.Start(ctx, text, lab.WithNodes(0))
	if err != nil {
		return nil, err
	}
	defer l.Close()
	f := &fleet{opts: opts, lab: l, rep: &FleetReport{Nodes: opts.Nodes}}
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	if err := f.calm(ctx); err != nil {
		return nil, err
	}
	if err := f.publishes(ctx); err != nil {
		return nil, err
	}
	if opts.Storm > 0 {
		if err := f.storm(ctx); err != nil {
			return nil, err
		}
	}
	return f.rep, nil
}

func (f *fleet) start(ctx context.Context) error {
	for i := range f.opts.Nodes {
		var peers []string
		for _, p := range f.nodes[max(0, len(f.nodes)-knownPeers):] {
			peers = append(peers, p.Peers)
		}
		p, err := f.lab.StartProcess(ctx, i, peers, f.opts.Command, f.opts.Env...)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, p)
	}
	for _, p := range f.nodes {
		if err := lab.WaitReady(ctx, p.Admin); err != nil {
			return errors.Wrap(err, "a node does not serve")
		}
	}
	return wait.For(ctx, f.opts.Settle)
}

// calm watches the idle fleet.
func (f *fleet) calm(ctx context.Context) error {
	before, err := f.usage(ctx)
	if err != nil {
		return err
	}
	calls := f.lab.Configuration.Calls()
	start := time.Now()
	if err := wait.For(ctx, f.opts.Calm); err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	after, err := f.usage(ctx)
	if err != nil {
		return err
	}
	n := float64(f.opts.Nodes)
	f.rep.ServiceCallsPerSecond = float64(f.lab.Configuration.Calls()-calls) / seconds
	f.rep.ControlBytesPerSecond = (after.bytes - before.bytes) / seconds / n
	f.rep.CPUPercent = 100 * (after.cpu - before.cpu) / seconds / n
	f.rep.MemoryMB = after.memory / n
	return nil
}

// usage is what all nodes together have used.
type usage struct {
	bytes  float64
	cpu    float64 // seconds
	memory float64 // MB
}

func (f *fleet) usage(ctx context.Context) (usage, error) {
	var u usage
	for _, p := range f.nodes {
		s, err := p.State(ctx)
		if err != nil {
			return u, err
		}
		u.bytes += float64(s.ControlBytes)
		cpu, memory, err := processUsage(p.PID())
		if err != nil {
			return u, err
		}
		u.cpu += cpu
		u.memory += memory
	}
	return u, nil
}

// processUsage reads the processor time in seconds and the resident memory in MB
// of a process from /proc (see proc(5)).
func processUsage(pid int) (cpu, memory float64, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	const (
		userField   = 11 // counted after the command's closing bracket
		systemField = 12
		pagesField  = 21
	)
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= pagesField {
		return 0, 0, errors.Errorf("/proc/%d/stat is short", pid)
	}
	number := func(i int) float64 {
		x, _ := strconv.ParseFloat(fields[i], 64)
		return x
	}
	cpu = (number(userField) + number(systemField)) / ticksPerSecond
	return cpu, number(pagesField) * float64(os.Getpagesize()) / (1 << 20), nil
}

// publishes measures how long bundles take to be in force, in calm and with a
// third of the nodes paused and woken.
func (f *fleet) publishes(ctx context.Context) error {
	var err error
	if f.rep.InForceCalm, err = f.publish(ctx, f.nodes, time.Now); err != nil {
		return err
	}
	third := f.nodes[:len(f.nodes)/3]
	signal(third, syscall.SIGSTOP)
	if err := wait.For(ctx, time.Second); err != nil {
		return err
	}
	woken := func() time.Time {
		_ = wait.For(ctx, pauseOfNodes)
		signal(third, syscall.SIGCONT)
		return time.Now()
	}
	f.rep.InForcePaused, err = f.publish(ctx, third, woken)
	return err
}

func signal(nodes []*lab.Process, s syscall.Signal) {
	for _, p := range nodes {
		_ = p.Signal(s)
	}
}

// publish puts the next bundle into the service and waits until it is in force
// at the nodes; the time counts from what since returns.
func (f *fleet) publish(ctx context.Context, nodes []*lab.Process, since func() time.Time) (InForce, error) {
	if err := f.lab.Publish(func(b *bundle.Bundle) { b.Objective.CostWeight += 0.001 }); err != nil {
		return InForce{}, err
	}
	start := since()
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	times := make(chan time.Duration, len(nodes))
	for _, p := range nodes {
		go func() { times <- f.waitFor(ctx, p, start) }()
	}
	var list []time.Duration
	for range nodes {
		list = append(list, <-times)
	}
	slices.Sort(list)
	worst := list[len(list)-1]
	if worst >= inForceLimit {
		f.broken("a bundle was not in force everywhere within %s", inForceLimit)
	}
	return InForce{Median: float64(list[len(list)/2].Milliseconds()), Worst: float64(worst.Milliseconds())}, nil
}

func (f *fleet) waitFor(ctx context.Context, p *lab.Process, start time.Time) time.Duration {
	number := f.lab.Plan.Number()
	for ctx.Err() == nil {
		if s, err := p.State(ctx); err == nil && s.Bundle >= number {
			return time.Since(start)
		}
		_ = wait.For(ctx, inForcePoll)
	}
	return inForceLimit
}

func (f *fleet) broken(format string, args ...any) {
	f.rep.Broken = append(f.rep.Broken, fmt.Sprintf(format, args...))
}
