// Package demo stands in for the two first users of the native interface: it starts
// both of their deployments in one process, sends their requests, causes faults
// and compares each answer with what the stand-ins saw. Left out: everything that
// package lab leaves out, and the gateway. A promise that does not hold is part of
// the report; only a deployment that does not start is an error.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/internal/harness/load"
	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/client"
	"github.com/honeydyke/honeydyke/pkg/node"
)

const (
	// nodesKowhai and nodesFloraria are the nodes of each user; the steps use three.
	nodesKowhai   = 3
	nodesFloraria = 3
	// stall is how long a node waits for a silent engine; short, so that it shows
	// within the demonstration.
	stall = 400 * time.Millisecond
	// engineBase is the time before an engine's first token, engineToken that between
	// tokens.
	engineBase  = 5 * time.Millisecond
	engineToken = time.Millisecond
	// mixRate in requests a second, mixTime and seed give each user's mix of requests.
	mixRate = 60
	mixTime = 2 * time.Second
	seed    = 1
)

// Result is the outcome of one step.
type Result struct {
	// Step names what was tried.
	Step string `json:"step"`
	// Held is true when every promise of the step held.
	Held bool `json:"held"`
	// Account says what happened.
	Account string `json:"account"`
}

// Report is the outcome of the demonstration.
type Report struct {
	Seconds  float64      `json:"seconds"`
	Held     bool         `json:"held"`
	Steps    []Result     `json:"steps"`
	Kowhai   *load.Report `json:"kowhai"`
	Floraria *load.Report `json:"floraria"`
}

// Options shape a run.
type Options struct {
	// Progress gets a line for each step.
	Progress io.Writer
	// Log is the nodes' log.
	Log zerolog.Logger
}

// show is one run of the demonstration.
type show struct {
	opts     Options
	report   Report
	kowhai   *lab.Lab
	floraria *lab.Lab
}

// Run runs the demonstration. An error means that it could not be run; whether
// the promises held is in the report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	start := time.Now()
	s := &show{opts: opts, report: Report{Held: true}}
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	defer s.close()
	for _, st := range s.steps() {
		account, err := st.try(ctx)
		s.note(st.name, account, err)
	}
	s.report.Seconds = time.Since(start).Seconds()
	return &s.report, ctx.Err()
}

type step struct {
	name string
	try  func(context.Context) (string, error)
}

func (s *show) steps() []step {
	return []step{
		{"requests of every kind, both users", s.mixes},
		{"a long reply, streamed", s.stream},
		{"an engine dies in mid-stream", s.killEngine},
		{"an engine falls silent", s.stallEngine},
		{"a key locker opens once at most", s.locker},
		{"the entry instance dies; the caller asks elsewhere", s.entryDies},
		{"a new bundle comes into force", s.publish},
		{"a target leaves", s.leave},
		{"a node stops as planned under load", s.drain},
		{"a request that cannot be in time is refused", s.refuse},
	}
}

func (s *show) start(ctx context.Context) error {
	var err error
	s.progress("starting stand-ins and %d nodes", nodesKowhai+nodesFloraria)
	common := []lab.Option{
		lab.WithLogger(s.opts.Log), lab.WithNodeOptions(node.WithStall(stall)),
		lab.WithSpeed(bundle.KindEngine, standin.Speed{Base: engineBase, PerToken: engineToken}),
	}
	if s.kowhai, err = lab.Start(ctx, examples.Kowhai(), append(common, lab.WithNodes(nodesKowhai))...); err != nil {
		return err
	}
	if s.floraria, err = lab.Start(ctx, examples.Floraria(), append(common, lab.WithNodes(nodesFloraria))...); err != nil {
		s.kowhai.Close()
	}
	return err
}

func (s *show) close() {
	s.kowhai.Close()
	s.floraria.Close()
}

func (s *show) progress(format string, args ...any) {
	// A line of progress that cannot be printed does not end the demonstration.
	_, _ = fmt.Fprintf(s.opts.Progress, format+"\n", args...)
}

func (s *show) note(name, account string, err error) {
	r := Result{Step: name, Held: err == nil, Account: account}
	mark := "held  "
	if err != nil {
		r.Account = err.Error()
		s.report.Held = false
		mark = "BROKEN"
	}
	s.report.Steps = append(s.report.Steps, r)
	s.progress("%s  %s: %s", mark, name, r.Account)
}

// Print writes the account for people.
func (r *Report) Print(w io.Writer) error {
	for _, u := range []struct {
		name string
		rep  *load.Report
	}{{"Kōwhai Co-op", r.Kowhai}, {"Floraria Norte", r.Floraria}} {
		if u.rep == nil {
			continue
		}
		if _, err := fmt.Fprintf(w, "\n%s\n", u.name); err != nil {
			return err
		}
		if err := u.rep.Print(w); err != nil {
			return err
		}
	}
	held := "every promise held"
	if !r.Held {
		held = "a promise was broken"
	}
	_, err := fmt.Fprintf(w, "\n%s, in %.1f s\n", held, r.Seconds)
	return err
}

// caller returns a client of a node for an organisation.
func caller(m *lab.Member, organisation string) *client.Client {
	return client.New(m.URL(), examples.Key(organisation))
}
