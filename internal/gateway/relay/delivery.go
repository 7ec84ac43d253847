package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// delivery sends one request to targets until one of them has answered it.
type delivery struct {
	*resolved
	now     func() time.Time
	decided func(Decision)
	budgets *retryBudgets
	chooser *chooser
	work    *stageWork
	sender  *sender
	answer  *answer
	outcome *Outcome
	// resends, refusals and sends count attempts as rules.Failure does.
	resends, refusals, sends int
}

func (s *Server) delivery(r *resolved, out Responder, outcome *Outcome) *delivery {
	c, decided := s.chooser(r), s.decided(r)
	work := newStageWork(r, &s.cfg, decided, c)
	answer := &answer{out: out, arrived: r.req.Arrived, now: s.cfg.Now, outcome: outcome, lastEvent: r.req.LastEvent}
	return &delivery{
		resolved: r, now: s.cfg.Now, decided: decided, budgets: s.budgets, chooser: c, work: work, answer: answer, outcome: outcome,
		sender: &sender{
			resolved: r, upstream: s.cfg.Upstream, placer: s.cfg.Placer, view: s.cfg.View, now: s.cfg.Now,
			targets: s.targets, budgets: s.budgets, prefills: s.prefills, inputsGone: s.inputsGone, work: work, answer: answer, outcome: outcome,
			stopping: s.stopping, decided: decided, quarantine: s.cfg.Quarantine, gate: s.cfg.Gate,
		},
	}
}

// deliver sends the request to targets until one answers, the time is over or no
// other may be tried.
func (d *delivery) deliver(ctx context.Context) *verdict.Error {
	d.budgets.first(d.service.Name)
	for first := true; ; first = false {
		if err := d.work.ensure(ctx); err != nil {
			return err
		}
		if !first && !d.budgets.spend(d.service.Name) {
			return d.endError(verdict.ReasonRetryExhausted, "the retry budget is spent")
		}
		target, ok := d.chooser.place(ctx, d.work.results.bytes())
		if !ok {
			return d.endError(verdict.ReasonNoTarget, "no target can take the request")
		}
		next, err := d.try(ctx, target)
		d.chooser.leave(target)
		if err == nil {
			return nil
		}
		d.report(next)
		switch next.(type) {
		case rules.GiveUp:
			return err
		case rules.Recompute:
			d.work.results.lose()
		case rules.OtherTarget:
			d.chooser.tried = append(d.chooser.tried, target.ID)
		}
	}
}

// try sends the request to one target, over another connection where an idle one
// had ended. An error comes with what follows it.
func (d *delivery) try(ctx context.Context, target destination) (rules.NextAttempt, *verdict.Error) {
	for {
		err := d.sender.send(ctx, target, d.sends)
		if err == nil {
			return nil, nil
		}
		next := rules.AfterFailure(rules.Failure{
			Verdict: err.Verdict(), Reason: err.Reason(), Ended: ctx.Err() != nil,
			Resends: d.resends, Refusals: d.refusals, Sends: d.sends,
			Retryable: d.route.Retryable(), MaxAttempts: d.route.MaxAttempts,
		})
		if _, ok := next.(rules.Resend); ok {
			d.resends++
			continue
		}
		if err.Verdict() == verdict.NotRun {
			d.refusals++
		} else {
			d.sends++
		}
		return next, err
	}
}

// report reports a failed attempt and what follows. The end of a request that too
// many targets refused is reported with its end alone, which lists the attempts.
func (d *delivery) report(next rules.NextAttempt) {
	giveUp, over := next.(rules.GiveUp)
	if over && giveUp.Reason == rules.RefusalsSpent {
		return
	}
	d.decided(AttemptFailed{
		Attempt: d.outcome.Attempts[len(d.outcome.Attempts)-1], Events: d.outcome.Events, LastEvent: d.answer.lastEvent,
		Left: d.times.Answer.Sub(d.now()), WillRetry: !over, Next: next,
	})
}

// endError returns the error of a request that cannot be sent any more.
func (d *delivery) endError(reason verdict.Reason, text string) *verdict.Error {
	var last *verdict.Error
	if n := len(d.outcome.Attempts); n > 0 {
		last = d.outcome.Attempts[n-1].Err
	}
	return rules.EndError(last, verdict.New(verdict.NotRun, reason, "%s", text))
}

// final completes the error that ends the request, with whether it may have run
// and when the client should retry.
func (d *delivery) final(err *verdict.Error) *verdict.Error {
	if hold, held := d.hold(); held && err.Reason() == verdict.ReasonQuarantined {
		err = errHeld(hold, d.now())
	}
	err = rules.FinalVerdict(err, d.sends, d.route.Retryable())
	if err.Verdict() == verdict.NotRun && err.RetryAfter() == 0 {
		own := retryAfter(d.times.Answer.Sub(d.now()))
		err = err.WithRetryAfter(rules.AfterPauses(own, d.chooser.pauses(), rand.Float64()))
	}
	return err
}

// hold returns why the request is held, by itself or by the items of a stage.
func (d *delivery) hold() (quarantine.Hold, bool) {
	for _, digest := range d.digests() {
		if hold, held := d.chooser.quarantine.Held(digest); held {
			return hold, true
		}
	}
	return quarantine.Hold{}, false
}
