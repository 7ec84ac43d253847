package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/internal/wait"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// roomPoll is how often a request that waits for a crowded target looks for room.
const roomPoll = 10 * time.Millisecond

// delivery sends one request to targets until one of them has responded.
type delivery struct {
	*resolvedRequest
	now            func() time.Time
	reportDecision func(Decision)
	budgets        *retryBudgets
	chooser        *chooser
	runner         *stageRunner
	sender         *sender
	response       *clientResponse
	outcome        *Outcome
	// roomUntil is until when the request waits for a crowded target; zero before the first wait.
	roomUntil time.Time
	// resends, refusals and possibleRuns count attempts as rules.Failure does.
	resends, refusals, possibleRuns int
}

func (s *Server) newDelivery(r *resolvedRequest, out Responder, outcome *Outcome) *delivery {
	c, reportDecision := s.newChooser(r), s.decisionReporter(r)
	runner := newStageRunner(r, &s.cfg, reportDecision, c)
	response := &clientResponse{out: out, arrived: r.req.Arrived, now: s.cfg.Now, outcome: outcome, lastEvent: r.req.LastEvent}
	d := &delivery{
		resolvedRequest: r, now: s.cfg.Now, reportDecision: reportDecision, budgets: s.budgets, chooser: c, runner: runner, response: response, outcome: outcome,
		sender: &sender{
			resolvedRequest: r, upstream: s.cfg.Upstream, placer: s.cfg.Placer, view: s.cfg.View, now: s.cfg.Now,
			targets: s.targets, budgets: s.budgets, prefills: s.prefills, missingInputs: s.missingInputs, runner: runner, response: response, outcome: outcome,
			streams: s.cfg.Streams, stopping: s.stopping, reportDecision: reportDecision, quarantine: s.cfg.Quarantine, parts: s.cfg.Parts, gate: s.cfg.Gate, answers: s.cfg.Answers,
		},
	}
	d.sender.takeRetry = d.takeRetry
	return d
}

// deliver sends the request to targets until one responds, the deadline passes or no other
// target may be tried.
func (d *delivery) deliver(ctx context.Context) *verdict.Error {
	d.budgets.countRequest(d.service.Name)
	for first := true; ; first = false {
		if err := d.runner.ensureInputs(ctx); err != nil {
			return err
		}
		if !first && !d.mayRetry() {
			return d.endError(verdict.ReasonRetryExhausted, "the retry budget is exhausted")
		}
		target, ok := d.chooseTarget(ctx)
		if !ok {
			return d.endError(verdict.ReasonNoTarget, "no target is available")
		}
		next, err := d.sendTo(ctx, target)
		d.chooser.endIsolation(target)
		if err == nil {
			return nil
		}
		d.reportFailure(next)
		switch next.(type) {
		case rules.GiveUp:
			return err
		case rules.Recompute:
			d.runner.results.markInputsLost()
		case rules.OtherTarget:
			d.chooser.tried = append(d.chooser.tried, target.ID)
		}
	}
}

// takeRetry takes a retry from the budget for an attempt that follows a silent one at the target, and
// reports whether one can follow. It is called while the silent attempt is in progress.
func (d *delivery) takeRetry(a silentAttempt) bool {
	if d.response.started.Load() {
		a.stream.begin(a.target)
	}
	a.stream = d.assign(a.stream, d.sender.streams)
	r := rules.Replacement{
		OtherTarget: d.chooser.anyOther(a.target, a.stream), NeedsStages: d.runner.needsStages(), Recomputes: d.runner.results.recomputes(),
		StagesTime: d.outcome.Planned, Left: d.times.ResponseDeadline.Sub(d.now()),
		Silent: a.silent, Limit: a.limit,
	}
	if _, held := d.sender.hold(); held || !rules.MayAbandon(r) {
		return false
	}
	_, ok := d.budgets.spend(d.service.Name)
	return ok
}

// mayRetry takes a retry from the budget, unless the last attempt took it, and reports whether there
// was one.
func (d *delivery) mayRetry() bool {
	if d.sender.retryTaken {
		d.sender.retryTaken = false
		return true
	}
	allowance, ok := d.budgets.spend(d.service.Name)
	if !ok {
		d.reportDecision(RetryRefused{Attempts: len(d.outcome.Attempts), Allowance: allowance})
	}
	return ok
}

// chooseTarget chooses a target. While all that the request may go to are crowded, it waits for a
// short time: they make room as fast as they answer.
func (d *delivery) chooseTarget(ctx context.Context) (destination, bool) {
	for {
		target, ok := d.chooser.chooseTarget(ctx, d.runner.results.inputBytes())
		if !ok {
			target, ok = d.chooser.borrow(ctx)
		}
		if ok || !d.chooser.anyCrowded() || !d.awaitRoom(ctx) {
			return target, ok
		}
	}
}

// awaitRoom waits for the next look at crowded targets, and reports whether there is one.
func (d *delivery) awaitRoom(ctx context.Context) bool {
	now := d.now()
	if d.roomUntil.IsZero() {
		d.roomUntil = now.Add(rules.RoomWait(d.route.ObjectiveOrTimeout()))
	}
	return now.Before(d.roomUntil) && wait.For(ctx, roomPoll) == nil
}

// sendTo sends the request to one target, again over another connection if an idle one was
// closed. An error comes with the next step.
func (d *delivery) sendTo(ctx context.Context, target destination) (rules.NextAttempt, *verdict.Error) {
	for {
		err := d.sender.send(ctx, target, d.possibleRuns)
		if err == nil {
			return nil, nil
		}
		next := rules.AfterFailure(rules.Failure{
			Verdict: err.Verdict(), Reason: err.Reason(), Ended: ctx.Err() != nil,
			Resends: d.resends, Refusals: d.refusals, PossibleRuns: d.possibleRuns,
			Retryable: d.route.Retryable(), MaxAttempts: d.route.MaxAttempts,
		})
		if _, ok := next.(rules.Resend); ok {
			d.resends++
			continue
		}
		if err.Verdict() == verdict.NotRun {
			d.refusals++
		} else {
			d.possibleRuns++
		}
		return next, err
	}
}

// reportFailure reports a failed attempt and the next step. If too many targets refused the
// request, that is left to the report of the request's end, which lists the attempts.
func (d *delivery) reportFailure(next rules.NextAttempt) {
	giveUp, over := next.(rules.GiveUp)
	if over && giveUp.Reason == rules.RefusalsSpent {
		return
	}
	d.reportDecision(AttemptFailed{
		Attempt: d.outcome.Attempts[len(d.outcome.Attempts)-1], Events: d.outcome.Events, LastEvent: d.response.lastEvent,
		Left: d.times.ResponseDeadline.Sub(d.now()), WillRetry: !over, Next: next,
	})
}

// endError returns the error of a request that cannot be sent again.
func (d *delivery) endError(reason verdict.Reason, text string) *verdict.Error {
	var last *verdict.Error
	if n := len(d.outcome.Attempts); n > 0 {
		last = d.outcome.Attempts[n-1].Err
	}
	return rules.EndError(last, verdict.New(verdict.NotRun, reason, "%s", text))
}

// finalError completes the error that ends the request: whether the request may have run
// and when the client should retry.
func (d *delivery) finalError(err *verdict.Error) *verdict.Error {
	if hold, held := d.hold(); held && err.Reason() == verdict.ReasonQuarantined {
		err = quarantinedError(hold, d.now())
	}
	err = rules.FinalVerdict(err, d.possibleRuns, d.route.Retryable())
	if err.Verdict() == verdict.NotRun && err.RetryAfter() == 0 {
		own := retryAfter(d.times.ResponseDeadline.Sub(d.now()))
		err = err.WithRetryAfter(rules.RetryAfterPauses(own, d.chooser.targetPauses(), rand.Float64()))
	}
	return err
}

// hold returns why the request is quarantined, because of itself, a part of its prompt or a
// stage's items.
func (d *delivery) hold() (quarantine.Hold, bool) {
	if hold, held := d.sender.heldPart(); held {
		return hold, true
	}
	for _, digest := range d.digests() {
		if hold, held := d.chooser.quarantine.Held(digest); held {
			return hold, true
		}
	}
	return quarantine.Hold{}, false
}
