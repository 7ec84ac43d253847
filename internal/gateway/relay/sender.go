package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// noPriority is the priority of a call to a target that knows none.
const noPriority = -1

// errTimeout ends the context of an attempt that was silent for too long.
var errTimeout = errors.New("the target took too long")

// sender sends one request to one target at a time and passes the answer back.
type sender struct {
	*resolved
	upstream Upstream
	placer   Placer
	view     func() *view.View
	now      func() time.Time
	targets  *targets
	budgets  *retryBudgets
	prefills *prefillRates
	// inputsGone is that of the server.
	inputsGone *inputsGone
	work       *stageWork
	answer     *answer
	outcome    *Outcome
	// stopping ends when the server stops.
	stopping   context.Context
	decided    func(Decision)
	quarantine Quarantine
	gate       Gate
	// tried says that the request's trial has been sent.
	tried bool
}

// send is one attempt. sends counts those before it that may have run.
func (s *sender) send(ctx context.Context, target destination, sends int) *verdict.Error {
	start := s.now()
	s.targets.sent(target.Incarnation())
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := s.startTimer(cancel, sends)
	defer timer.stop()
	tried := Attempt{Target: target.ID}
	events := s.outcome.Events
	answered := time.Duration(0)
	call := s.call(target)
	defer s.releaseInputs()()
	reply, err := s.upstream.Send(ctx, call)
	if err == nil {
		answered = s.now().Sub(start)
		tried.Status = reply.Status
		s.answer.began = func(reply *Reply) { s.answerBegan(reply, start) }
		err = s.passBack(ctx, reply, timer, sends)
	}
	if err != nil && !s.answer.begun.Load() {
		s.prefilled(false)
	}
	if err != nil && errors.Is(context.Cause(ctx), errTimeout) {
		err = err.WithReason(verdict.ReasonStalled)
	}
	tried.Took = s.now().Sub(start)
	tried.Err = err
	s.outcome.Attempts = append(s.outcome.Attempts, tried)
	if answered == 0 {
		answered = tried.Took
	}
	s.noteEnd(target.Target, reply, err, answered)
	s.noteInputsGone(err)
	s.noteSurvival(target.Target, start, tried, s.outcome.Events-events)
	return err
}

// noteSurvival takes in whether the target of an attempt that began at some time outlived
// it. events is how many events came from this target.
func (s *sender) noteSurvival(target directory.Target, began time.Time, tried Attempt, events int) {
	if rules.TargetSurvived(tried.Err) {
		s.quarantine.Answered(s.digest)
	}
	if !rules.ConnectionBroke(tried.Err) {
		return
	}
	ended := TargetEnded{Target: target.ID, Digest: s.digest, Events: events, Took: tried.Took}
	if !s.route.Retryable() {
		go s.checkEnded(target, began, ended)
		return
	}
	// The next attempt depends on it.
	s.checkEnded(target, began, ended)
}

// endedTimeout bounds the question whether a target has ended: its instance refuses a
// connection within a round trip, some milliseconds. A request that may be repeated waits
// for it.
const endedTimeout = 200 * time.Millisecond

// checkEnded asks whether the target of a request whose connection broke has ended, and
// reports that. began is when the request was sent there.
func (s *sender) checkEnded(target directory.Target, began time.Time, ended TargetEnded) {
	ctx, cancel := context.WithTimeout(s.stopping, endedTimeout)
	defer cancel()
	if s.upstream.HasEnded(ctx, target) {
		s.decided(ended)
		s.quarantine.TargetEnded(ended.Digest, quarantine.Crash{Target: target.Incarnation().String(), SentAt: began, BrokenAt: began.Add(ended.Took), Silent: ended.Events == 0})
	}
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

func (s *sender) startTimer(cancel context.CancelCauseFunc, sends int) attemptTimer {
	limit, limited := rules.AttemptTimeout(rules.Attempt{
		Stream: s.route.Kind == catalog.Stream, Retryable: s.route.Retryable(), Sends: sends, MaxAttempts: s.route.MaxAttempts,
		Objective: s.route.Objective, PauseLimit: s.route.PauseLimit,
	})
	if !limited {
		return attemptTimer{}
	}
	return attemptTimer{limit: limit, timer: time.AfterFunc(limit, func() { cancel(errTimeout) })}
}

func (s *sender) call(target destination) Call {
	c := Call{
		Target: target.Target, ID: s.req.ID, Payload: s.req.Payload, Deadline: s.times.Answer,
		Organisation: s.org.Name, Priority: noPriority, LastEvent: s.answer.lastEvent,
		Permit: func() error { return s.permit(target.Target) },
	}
	if s.service.Engine {
		c.Priority = s.priority()
		c.Inputs = s.work.results.inputs()
		c.CopyFrom = target.copyFrom
	}
	return c
}

// permit is asked just before the first byte is written: the target may have
// begun to leave, a process that was paused may be too late, and targets may have ended
// with the same request meanwhile.
func (s *sender) permit(target directory.Target) error {
	now := s.now()
	if !now.Before(s.times.Answer) {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the time is over")
	}
	if !s.view().Directory.Usable(target.ID, now) || s.gate.HeldBack(target.Incarnation()) {
		return verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the target, or its data centre, takes no new work")
	}
	if hold, held := s.quarantine.Held(s.digest); held && !s.takeTrial() {
		return errHeld(hold, now)
	}
	return nil
}

// takeTrial says whether the request may be sent although it is held: as the trial that
// it was admitted for, once.
func (s *sender) takeTrial() bool {
	first := s.trial && !s.tried
	s.tried = true
	return first
}

// answerBegan notes the first bytes of an answer to an attempt that was sent at
// the given time: the engine has read the prompt and the inputs.
func (s *sender) answerBegan(reply *Reply, sent time.Time) {
	s.prefilled(true)
	if s.service.Engine && reply.Succeeded {
		s.prefills.note(s.service.Name, s.req.Tokens, s.now().Sub(sent))
	}
	s.work.results.consumed(releasedRead)
}

// prefilled reports to the placer that the prompt no longer loads its engine:
// whole says whether it was read.
func (s *sender) prefilled(whole bool) {
	if s.service.Engine {
		s.placer.Prefilled(s.service.Name, s.req.ID, whole)
	}
}

// noteEnd takes in how a target answered.
func (s *sender) noteEnd(target directory.Target, reply *Reply, err *verdict.Error, took time.Duration) {
	e := attemptEnd{target: target.Incarnation(), took: took}
	if reply != nil {
		e.load = reply.Load
	}
	if err != nil {
		e.fault = rules.TargetFault(err.Reason())
		e.unreachable = err.Reason() == verdict.ReasonDial
	}
	s.targets.ended(e)
}
