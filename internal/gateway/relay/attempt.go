package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// noPriority is the priority of a call to a target that knows none.
const noPriority = -1

// errTimeout ends the context of an attempt that was silent for too long.
var errTimeout = errors.New("the target took too long")

// attempt sends the request to one target and passes its answer back.
func (d *delivery) attempt(ctx context.Context, target directory.Target) *verdict.Error {
	start := d.now()
	d.targets.sent(target.ID)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := d.startTimer(cancel)
	defer timer.stop()
	tried := Attempt{Target: target.ID}
	answered := time.Duration(0)
	reply, err := d.upstream.Send(ctx, d.call(target))
	if err == nil {
		answered = d.now().Sub(start)
		tried.Status = reply.Status
		d.answer.began = func(reply *Reply) { d.answerBegan(reply, start) }
		err = d.passBack(ctx, reply, timer)
	}
	if err != nil && !d.answer.begun.Load() {
		d.prefilled(false)
	}
	if err != nil && errors.Is(context.Cause(ctx), errTimeout) {
		err = err.WithReason(verdict.ReasonStalled)
	}
	tried.Took = d.now().Sub(start)
	tried.Err = err
	d.outcome.Attempts = append(d.outcome.Attempts, tried)
	if answered == 0 {
		answered = tried.Took
	}
	d.noteEnd(target, reply, err, answered)
	return err
}

// attemptTimer ends an attempt that was silent for too long. The zero value never
// does.
type attemptTimer struct {
	timer *time.Timer
	limit time.Duration
}

func (t attemptTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// reset begins the time of silence anew.
func (t attemptTimer) reset() {
	if t.timer != nil {
		t.timer.Reset(t.limit)
	}
}

func (d *delivery) startTimer(cancel context.CancelCauseFunc) attemptTimer {
	decision := rules.AttemptTimeout(rules.Attempt{
		Stream: d.route.Kind == catalog.Stream, Retryable: d.route.MayRepeat(), Sends: d.sends, MaxAttempts: d.route.MaxAttempts,
		Objective: d.route.Objective, PauseLimit: d.route.PauseLimit,
	})
	timeout, limited := decision.(rules.Timeout)
	if !limited {
		return attemptTimer{}
	}
	return attemptTimer{limit: timeout.Limit, timer: time.AfterFunc(timeout.Limit, func() { cancel(errTimeout) })}
}

func (d *delivery) call(target directory.Target) Call {
	c := Call{
		Target: target, ID: d.req.ID, Payload: d.req.Payload, Until: d.times.Answer,
		Organisation: d.organisation(), Priority: noPriority, LastEvent: d.answer.lastEvent,
		Permit: func() error { return d.permit(target.ID) },
	}
	if d.service.Engine != nil {
		c.Priority = d.priority()
		c.Inputs = d.stages.results.inputs()
	}
	return c
}

// permit is asked just before the first byte is written: the target may have
// begun to leave, and a process that was paused may be too late.
func (d *delivery) permit(id string) error {
	now := d.now()
	if !now.Before(d.times.Answer) {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the time is over")
	}
	if !d.view().Directory.Usable(id, now) {
		return verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the target leaves")
	}
	return nil
}

// answerBegan notes the first bytes of an answer to an attempt that was sent at
// the given time: the engine has read the prompt and the inputs.
func (d *delivery) answerBegan(reply *Reply, sent time.Time) {
	d.prefilled(true)
	if d.service.Engine != nil && reply.Succeeded {
		d.prefills.note(d.service.Name, d.req.Tokens, d.now().Sub(sent))
	}
	d.stages.results.consumed()
}

// prefilled reports to the placer that the prompt no longer loads its engine:
// whole says whether it was read.
func (d *delivery) prefilled(whole bool) {
	if d.service.Engine != nil {
		d.placer.Prefilled(d.service.Name, d.req.ID, whole)
	}
}

// noteEnd takes in how a target answered.
func (d *delivery) noteEnd(target directory.Target, reply *Reply, err *verdict.Error, took time.Duration) {
	e := attemptEnd{target: target.ID, took: took}
	if reply != nil {
		e.load = reply.Load
	}
	if err != nil {
		e.fault = rules.TargetFault(err.Reason())
		e.unreachable = err.Reason() == verdict.ReasonDial
	}
	d.targets.ended(e)
}
