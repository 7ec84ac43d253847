package node

import (
	"context"
	"net/http"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/admission"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// reportDone says to loadActor that a report was read or could not be. The actor
// also takes timePassed.
type reportDone struct{}

// loadActor reads the load reports of the targets, one at a time.
type loadActor struct {
	reports *reportReader
	self    *actorRef

	reading bool
}

// Receive implements actor.Actor.
func (a *loadActor) Receive(c actor.Context) {
	switch c.Message().(type) {
	case timePassed:
		a.read()
	case reportDone:
		a.reading = false
	}
}

// read reads the report that is worth most, unless one is being read.
func (a *loadActor) read() {
	target, ok := a.reports.gate.nextReport()
	if a.reading || !ok {
		return
	}
	a.reading = true
	go func() {
		a.reports.read(target)
		a.self.send(reportDone{})
	}()
}

// reportTimeout bounds the read of a load report.
const reportTimeout = time.Second

// reportReader reads load reports of targets and passes them to admission.
type reportReader struct {
	// calls ends when the node cuts its calls.
	calls   context.Context
	client  *http.Client
	scheme  string
	gate    *gate
	members *members
	log     zerolog.Logger
}

// read reads one target's load report. A target that says that it is leaving is
// marked at all nodes.
func (r *reportReader) read(t bundle.Target) {
	ctx, cancel := context.WithTimeout(r.calls, reportTimeout)
	defer cancel()
	report, err := r.fetch(ctx, t)
	if err != nil {
		r.log.Debug().Err(err).Str("target", t.Name).Msg("loads: no report")
		return
	}
	if report.Target != t.Name {
		r.log.Warn().Str("target", t.Name).Str("answered", report.Target).Msg("loads: another target answered")
		return
	}
	r.gate.apply(admission.Report{
		Target: t.Name, Incarnation: report.Incarnation, Running: report.Running, Waiting: report.Waiting, Leaving: report.Leaving,
	})
	if report.Leaving {
		r.members.send(marked{[]message.LeavingMark{{Target: t.Name, Incarnation: report.Incarnation}}})
	}
}

func (r *reportReader) fetch(ctx context.Context, t bundle.Target) (message.LoadReport, error) {
	var report message.LoadReport
	req, err := http.NewRequest(http.MethodGet, r.scheme+"://"+t.Address+wire.PathLoad, nil)
	if err != nil {
		return report, err
	}
	_, err = readAnswer(ctx, r.client, req, wire.MaxHeaderBytes, &report)
	return report, err
}
