package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/answers"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// noPriority is the priority of a call to a target that does not support priorities.
const noPriority = -1

// errAttemptTimeout is the cancellation cause of an attempt that was silent for too long.
var errAttemptTimeout = errors.New("the target did not respond in time")

// sender sends one request to one target at a time and forwards the response.
type sender struct {
	*resolvedRequest
	upstream Upstream
	placer   Placer
	view     func() *view.View
	now      func() time.Time
	targets  *targetStats
	budgets  *retryBudgets
	prefills *prefillRates
	// missingInputs is the server's.
	missingInputs *missingInputs
	runner        *stageRunner
	response      *clientResponse
	outcome       *Outcome
	streams       StreamOrigins
	// stopping is cancelled when the server stops.
	stopping       context.Context
	reportDecision func(Decision)
	quarantine     Quarantine
	parts          PartQuarantine
	gate           Gate
	answers        *answers.Pool
	// trialSent is true once the request's trial has been sent.
	trialSent bool
	// takeRetry takes a retry for an attempt that follows a silent one at the target, and reports
	// whether one can follow.
	takeRetry func(a silentAttempt) bool
	// retryTaken is true if the retry of the next attempt was taken from the budget already.
	retryTaken bool
}

// send makes one attempt. possibleRuns counts the earlier attempts that may have run.
func (s *sender) send(ctx context.Context, target destination, possibleRuns int) *verdict.Error {
	start := s.now()
	s.targets.sent(target.Incarnation())
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := s.startTimer(cancel, target.Target, possibleRuns)
	defer timer.stop()
	attempt := Attempt{Target: target.ID}
	events := s.outcome.Events
	answered := time.Duration(0)
	call := s.call(target)
	call.Repeatable = s.route.Retryable() && possibleRuns+1 < s.route.MaxAttempts
	defer s.scheduleInputRelease()()
	told := s.tellOrigin(target.Target)
	reply, err := s.upstream.Send(ctx, call)
	if err == nil {
		answered = s.now().Sub(start)
		attempt.Status = reply.Status
		s.response.onStart = func(reply *Reply) {
			s.stream.begin(target.Target)
			awaitTold(ctx, told)
			s.responseStarted(reply, start)
		}
		s.response.onAnswer = sync.OnceFunc(s.recordPartsAnswered)
		err = s.forwardReply(ctx, reply, timer, possibleRuns)
	}
	timer.stop()
	if err != nil && !s.response.started.Load() {
		s.reportPrefilled(false, 0)
	}
	if err != nil && errors.Is(context.Cause(ctx), errAttemptTimeout) {
		err = err.WithReason(verdict.ReasonStalled)
		s.retryTaken = s.route.Kind == catalog.Stream
	}
	attempt.Took = s.now().Sub(start)
	attempt.Err = err
	s.outcome.Attempts = append(s.outcome.Attempts, attempt)
	if answered == 0 {
		answered = attempt.Took
	}
	s.recordResult(target.Target, reply, err, answered)
	s.recordMissingInputs(err)
	s.recordSurvival(target.Target, start, attempt, s.outcome.Events-events)
	return err
}

// recordSurvival records whether the target survived an attempt. sent is when the request
// was sent there, and events is how many events came from this target.
func (s *sender) recordSurvival(target directory.Target, sent time.Time, attempt Attempt, events int) {
	if rules.TargetSurvived(attempt.Err) {
		s.quarantine.RecordAnswer(s.digest)
	}
	if !rules.ConnectionBroke(attempt.Err) {
		return
	}
	ended := TargetEnded{Target: target.ID, Digest: s.digest, Events: events, Parts: shareable(s.req.Parts), Took: attempt.Took}
	if !s.route.Retryable() {
		go s.checkEnded(target, sent, ended)
		return
	}
	// The next attempt depends on the result.
	s.checkEnded(target, sent, ended)
}

// endedCheckTimeout limits the check whether a target has crashed: its instance refuses a
// connection within a round trip, some milliseconds. A repeatable request waits for the
// result.
const endedCheckTimeout = 200 * time.Millisecond

// checkEnded checks whether the target of a request whose connection broke has crashed,
// and reports it if so. sent is when the request was sent there.
func (s *sender) checkEnded(target directory.Target, sent time.Time, ended TargetEnded) {
	ctx, cancel := context.WithTimeout(s.stopping, endedCheckTimeout)
	defer cancel()
	if s.upstream.HasEnded(ctx, target) {
		s.reportDecision(ended)
		crash := quarantine.Crash{Target: target.Incarnation().String(), SentAt: sent, BrokenAt: sent.Add(ended.Took), Silent: ended.Events == 0}
		s.quarantine.RecordCrash(ended.Digest, crash)
		s.recordPartsCrashed(crash)
	}
}

// recordPartsCrashed records that a target crashed while it had the request. It speaks against
// the parts of the prompt only if the target had not begun to answer.
func (s *sender) recordPartsCrashed(crash quarantine.Crash) {
	if !crash.Silent {
		return
	}
	for _, part := range s.partDigests {
		s.parts.RecordCrash(part, crash)
	}
}

// recordPartsAnswered records that a target has begun to answer a prompt, so that none of its
// parts crashes targets. Nothing else clears a part: a target that refuses or fails a request
// has not begun to write on it.
func (s *sender) recordPartsAnswered() {
	for _, part := range s.partDigests {
		s.parts.RecordAnswer(part)
	}
}

// hold returns why the request or a part of its prompt is held, and whether one is.
func (s *sender) hold() (quarantine.Hold, bool) {
	if hold, held := s.quarantine.Held(s.digest); held {
		return hold, true
	}
	return s.heldPart()
}

// heldPart returns why a part of the prompt is held, and whether one is.
func (s *sender) heldPart() (quarantine.Hold, bool) {
	_, hold, held := s.parts.HeldAmong(s.partDigests)
	return hold, held
}

// silentAttempt is an attempt in progress whose target is silent.
type silentAttempt struct {
	target directory.Target
	// stream is the request's stream at the begin of the attempt.
	stream streamOrigin
	// silent is for how long the target has been silent, limit the attempt's timeout.
	silent, limit time.Duration
}

// attemptTimer ends an attempt that is silent for too long. It is nil for an attempt without a limit.
type attemptTimer struct {
	limit time.Duration
	// abandon ends the attempt and returns true, or returns false if it has to go on.
	abandon func(silent time.Duration) bool

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// silent is for how long there was no sign of activity when the timer was last set.
	silent time.Duration
}

// stop ends the timer. abandon is not called afterwards.
func (t *attemptTimer) stop() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}

// reset restarts the timer after a sign of activity.
func (t *attemptTimer) reset() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent = 0
	t.timer.Reset(t.limit)
}

// expire abandons the attempt, or waits for another limit if it has to go on.
func (t *attemptTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silent += t.limit
	if !t.stopped && !t.abandon(t.silent) {
		t.timer.Reset(t.limit)
	}
}

func (s *sender) startTimer(cancel context.CancelCauseFunc, target directory.Target, possibleRuns int) *attemptTimer {
	limit, limited := rules.AttemptTimeout(rules.Attempt{
		Stream: s.route.Kind == catalog.Stream, Retryable: s.route.Retryable(), PossibleRuns: possibleRuns, MaxAttempts: s.route.MaxAttempts,
		Objective: s.route.ObjectiveOrTimeout(), PauseLimit: s.route.PauseLimit,
	})
	if !limited {
		return nil
	}
	stream := s.stream
	t := &attemptTimer{limit: limit, abandon: func(silent time.Duration) bool {
		// The client of a whole response has nothing of it yet, and may get it elsewhere in the time left.
		if s.route.Kind == catalog.Stream && !s.takeRetry(silentAttempt{target: target, stream: stream, silent: silent, limit: limit}) {
			return false
		}
		cancel(errAttemptTimeout)
		return true
	}}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(limit, t.expire)
	return t
}

func (s *sender) call(target destination) Call {
	c := Call{
		Target: target.Target, ID: s.req.ID, Payload: s.req.Payload, Deadline: s.times.ResponseDeadline,
		Organisation: s.org.Name, Priority: noPriority, LastEvent: s.response.lastEvent,
		Permit: func() error { return s.permit(target.Target) },
	}
	if s.service.Engine {
		c.Priority = s.priority()
		c.Inputs, c.Permit = s.inputs(c.Permit)
		c.CopyFrom = target.copyFrom
	}
	return c
}

// inputs returns the handles of the request's inputs, and the permit of a call with them: none if
// some are not held any more, since an early release may have come between.
func (s *sender) inputs(permit func() error) ([]string, func() error) {
	handles, complete := s.runner.results.inputHandles()
	if complete {
		return handles, permit
	}
	return nil, func() error {
		return verdict.New(verdict.NotRun, verdict.ReasonInputGone, "an input of the request is no longer held")
	}
}

// permit is called just before the first byte is written, and returns an error if the
// request must not be sent: by then the target may have started to leave, the deadline may
// have passed while the process was paused, or targets may have crashed on the same
// request.
func (s *sender) permit(target directory.Target) error {
	now := s.now()
	if !now.Before(s.times.ResponseDeadline) {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the deadline has passed")
	}
	if stream := s.assigned(s.streams); !stream.mayGoTo(target) {
		return verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "the target is of another version than the stream")
	}
	if !s.view().Directory.Usable(target.ID, now) || s.gate.HeldBack(target.Incarnation()) {
		return verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the target, or its data centre, takes no new work")
	}
	if hold, held := s.hold(); held && !s.takeTrial() {
		return quarantinedError(hold, now)
	}
	return nil
}

// takeTrial reports whether the request may be sent although it is quarantined: once, if
// it was admitted as a trial.
func (s *sender) takeTrial() bool {
	first := s.trial && !s.trialSent
	s.trialSent = true
	return first
}

// responseStarted handles the first bytes of the response to an attempt that was sent at
// the given time: they show that the engine has read the prompt and the inputs.
func (s *sender) responseStarted(reply *Reply, sent time.Time) {
	s.reportPrefilled(true, reply.Slowdown)
	if s.service.Engine && reply.Succeeded {
		s.prefills.observe(s.service.Name, s.req.Tokens, s.now().Sub(sent))
	}
	s.runner.results.releaseInputs(inputsReleasedAfterRead)
}

// reportPrefilled reports to the placer that the prompt no longer loads its engine;
// complete says whether the prefill was completed, and slowdown is as in Reply.
func (s *sender) reportPrefilled(complete bool, slowdown float64) {
	if s.service.Engine {
		s.placer.Prefilled(s.service.Name, s.req.ID, complete, slowdown)
	}
}

// recordResult records the result of an attempt in the statistics of its target.
func (s *sender) recordResult(target directory.Target, reply *Reply, err *verdict.Error, took time.Duration) {
	e := attemptResult{target: target.Incarnation(), took: took}
	if reply != nil {
		e.load, e.answered, e.slowdown = reply.Load, true, reply.Slowdown
		if !s.service.Engine {
			e.service = s.service.Name
		}
	}
	if err != nil {
		e.fault = rules.TargetFault(err.Reason())
		e.unreachable = err.Reason() == verdict.ReasonDial
	}
	s.targets.ended(e)
}
