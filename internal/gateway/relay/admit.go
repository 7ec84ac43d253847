package relay

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// admit plans the request's stages with their services, and admits or refuses the request
// (rules.Admit). The plans of a refused request are cancelled.
//
// A request whose plan would have to wait behind others at a late coordinator, and that could
// not be done after that coordinator's delay alone, is refused without being announced.
func (s *Server) admit(ctx context.Context, r *resolvedRequest) (*admission, *verdict.Error) {
	a := &admission{plan: r.plan(), retried: s.timeouts.observe(r.route.Name, r.req.Timeout, r.takesUp())}
	if len(a.plan) == 0 {
		return a, nil
	}
	if s.cfg.Batcher.PlansWait(a.plan) {
		a.ownDelay = s.cfg.Now().Sub(r.begun)
		if refused, ok := s.decide(r, a, s.cfg.Batcher.LeastBacklogs(a.plan)).(refusedAdmission); ok {
			return nil, s.refuse(r, refused)
		}
	}
	announcedAt := s.cfg.Now()
	a.quotes = s.cfg.Batcher.Plan(ctx, r.planRequest(a.plan))
	a.ownDelay = announcedAt.Sub(r.begun) + max(s.cfg.Now().Sub(announcedAt)-PlanTimeout, 0)
	if ctx.Err() != nil {
		// Nobody waits for the request any more. Its plans, and the tokens that they took,
		// would count until the stages are past due.
		s.cfg.Batcher.Cancel(r.planRequest(a.plan), a.quotes, nil)
		return nil, verdict.New(verdict.NotRun, contextReason(ctx), "the plans of the stages were not awaited")
	}
	backlogs := backlogsOf(a.quotes)
	if a.unknown() {
		backlogs = fillUnknown(backlogs, s.cfg.Batcher.LeastBacklogs(a.plan))
	}
	if refused, ok := s.decide(r, a, backlogs).(refusedAdmission); ok {
		return nil, s.refuse(r, s.cancel(r, a, refused))
	}
	a.estimated, a.admittedAt = r.stages.Total(backlogs), s.cfg.Now()
	return a, nil
}

// contextReason returns why a request whose context is done has ended.
func contextReason(ctx context.Context) verdict.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.ReasonCancelled
	}
	return verdict.ReasonDeadline
}

// planRequest returns the announcement of planned stages.
func (r *resolvedRequest) planRequest(stages []PlannedStage) PlanRequest {
	return PlanRequest{Request: r.req.ID, Organisation: r.org.Name, Digest: r.returnDigest(), Stages: stages}
}

// returnDigest identifies what the request asks for, by which coordinators recognise its retry.
// It is that of the route instead of the service, since the traffic split may send a retry to
// another service.
func (r *resolvedRequest) returnDigest() quarantine.Digest {
	return quarantine.DigestOf(r.org.Name, r.route.Name, r.req.Content)
}

// backlogsOf returns the backlogs of quotes.
func backlogsOf(quotes []Quote) []time.Duration {
	backlogs := make([]time.Duration, len(quotes))
	for i, q := range quotes {
		backlogs[i] = q.Backlog
	}
	return backlogs
}

// arrivalsOf returns which part of the backlog of each quote is due to expected arrivals.
func arrivalsOf(quotes []Quote) []time.Duration {
	arrivals := make([]time.Duration, len(quotes))
	for i, q := range quotes {
		arrivals[i] = q.Arrivals
	}
	return arrivals
}

// admission is what a request was admitted by.
type admission struct {
	plan []PlannedStage
	// quotes are those that were answered in time, in the order of the plan.
	quotes []Quote
	// retried is whether the request was refused before.
	retried bool
	// estimated is how long the stages should take.
	estimated time.Duration
	// ownDelay is how long this node took itself: until it announced the stages, and beyond
	// PlanTimeout until it noticed that the wait for the quotes was over.
	ownDelay time.Duration
	// admittedAt is when the request was admitted.
	admittedAt time.Time
}

// unknown reports whether a coordinator did not answer in time.
func (a *admission) unknown() bool { return slices.ContainsFunc(a.quotes, Quote.Unknown) }

// reserved reports whether a coordinator reserved capacity for the request.
func (a *admission) reserved() bool {
	return slices.ContainsFunc(a.quotes, func(q Quote) bool { return q.Reserved })
}

// isOverShare reports whether a coordinator marked a stage as over its organisation's share.
func isOverShare(q Quote) bool { return q.OverShare }

// fillUnknown returns the backlogs with the least that they can be in place of those that
// are unknown.
func fillUnknown(backlogs, least []time.Duration) []time.Duration {
	filled := slices.Clone(backlogs)
	for i, d := range filled {
		if d == UnknownBacklog {
			filled[i] = least[i]
		}
	}
	return filled
}

// refusedAdmission is the error of a request that is refused by the backlogs of its stages.
type refusedAdmission struct{ Refused }

func (e refusedAdmission) Error() string {
	return fmt.Sprintf("the stages would take %v", e.Estimated)
}

// decide admits a request by the backlogs of its planned stages, or returns a
// refusedAdmission.
func (s *Server) decide(r *resolvedRequest, a *admission, backlogs []time.Duration) error {
	in := s.compared(r, a, backlogs, s.cfg.Now())
	return s.refusal(r, a, backlogs, in, rules.Admit(in), 0)
}

// decideLate decides whether an admitted request goes on (rules.AdmitLate). made tells which
// stages have results.
func (s *Server) decideLate(r *resolvedRequest, a *admission, backlogs []time.Duration, made []bool) error {
	now := s.cfg.Now()
	in := s.compared(r, a, backlogs, a.admittedAt)
	return s.refusal(r, a, backlogs, in, rules.AdmitLate(rules.LateAnswer{
		Admission: in, AdmittedAt: a.admittedAt, Now: now, Times: r.times,
		Made: slices.Contains(made, true), Remaining: r.stages.Remaining(backlogs, made),
	}), now.Sub(a.admittedAt))
}

// compared returns what admission compares at a time.
func (s *Server) compared(r *resolvedRequest, a *admission, backlogs []time.Duration, now time.Time) rules.Admission {
	return rules.Admission{
		Estimated: r.stages.Total(backlogs), Alone: r.stages.Total(nil),
		Left: r.times.Left(now, a.ownDelay), Objective: r.route.ObjectiveOrTimeout(),
		Priority: r.route.Priority, Retried: a.retried, Reserved: a.reserved(),
		TakenUp: r.takesUp(), ToDeadline: r.times.ResponseDeadline.Sub(now), OverShare: slices.ContainsFunc(a.quotes, isOverShare),
	}
}

// refusal returns the refusedAdmission of a decision; nil if it admits. afterAdmission is how
// long before the request was admitted; 0 if it was not.
func (s *Server) refusal(r *resolvedRequest, a *admission, backlogs []time.Duration, in rules.Admission, d rules.AdmissionDecision, afterAdmission time.Duration) error {
	refused, ok := d.(rules.Refused)
	if !ok {
		return nil
	}
	return refusedAdmission{Refused{
		Stages: a.plan, Backlogs: backlogs, Arrivals: arrivalsOf(a.quotes), Estimated: in.Estimated, Left: in.Left, Comparison: refused.Comparison, Retried: a.retried,
		Reserved: in.Reserved, OverShare: in.OverShare, ReturnAfter: s.returnAfter(r, a, in),
		AfterAdmission: afterAdmission,
	}}
}

// runStages runs the stages of an admitted request. If a coordinator that was late answers
// meanwhile, and its backlog shows that the request should not have been admitted, the
// request is refused then instead of being held until its deadline.
func (s *Server) runStages(ctx context.Context, d *delivery, a *admission) *verdict.Error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(s.cfg.Isolated(), func() { cancel(errIsolated) })()
	late := make(chan []Quote, 1)
	if a.unknown() {
		go func() { late <- s.cancelOnceKnown(ctx, cancel, d.runner.results, a) }()
	} else {
		late <- a.quotes
	}
	err := d.runner.results.run(ctx)
	if err == nil {
		return nil
	}
	if refused, ok := context.Cause(ctx).(refusedAdmission); ok {
		return s.refuse(d.resolvedRequest, refused)
	}
	if context.Cause(ctx) == errIsolated {
		return s.refuseIsolated(d.resolvedRequest)
	}
	if w, withdrawn := WithdrawnCause(err); withdrawn {
		cancel(nil)
		return s.endWithdrawn(d, a, <-late, w, err)
	}
	return err
}

// cancelOnceKnown waits for the backlogs that were not answered in time, until ctx is done. If
// they refuse the request, it cancels the request's stages with the refusal as the cause. It
// returns the quotes that are known by then.
func (s *Server) cancelOnceKnown(ctx context.Context, cancel context.CancelCauseFunc, results *stageResults, a *admission) []Quote {
	r := results.runner.resolvedRequest
	quotes, ok := s.cfg.Batcher.AwaitQuotes(ctx, r.planRequest(a.plan), a.quotes)
	if !ok || ctx.Err() != nil {
		// A request that has ended is not refused: capacity would be reserved for a client
		// that was served, or was told another time.
		return quotes
	}
	known := *a
	known.quotes = quotes
	if refused, ok := s.decideLate(r, &known, backlogsOf(quotes), results.made()).(refusedAdmission); ok {
		cancel(s.cancel(r, &known, refused))
	}
	return quotes
}

// returnAfter decides when the client of a refused request should return with reserved
// capacity (rules.ReservedRetryAfter); 0 if none can be reserved.
func (s *Server) returnAfter(r *resolvedRequest, a *admission, in rules.Admission) time.Duration {
	ret := rules.Return{Refused: in, Left: r.times.ResponseDeadline.Sub(s.cfg.Now())}
	for _, q := range a.quotes {
		ret.Offers = append(ret.Offers, q.ReturnAfter)
		ret.Held = ret.Held || q.Held
	}
	after, ok := rules.ReservedRetryAfter(ret, rules.ReturnJitter(uint64(r.returnDigest()), s.cfg.Now()))
	if !ok {
		return 0
	}
	return after
}

// cancel cancels the plans of a refused request, and asks their coordinators to reserve
// capacity for its retry if the client is to return for it.
func (s *Server) cancel(r *resolvedRequest, a *admission, d refusedAdmission) refusedAdmission {
	var reserve *Reservation
	if d.ReturnAfter > 0 {
		reserve = &Reservation{After: d.ReturnAfter, Keep: rules.ReservationKeep}
	}
	s.cfg.Batcher.Cancel(r.planRequest(a.plan), a.quotes, reserve)
	return d
}

// refuse reports a refusal and returns its error.
func (s *Server) refuse(r *resolvedRequest, d refusedAdmission) *verdict.Error {
	s.cfg.Observer.Decided(r.req.ID, d.Refused)
	r.overShare = d.OverShare
	after := d.ReturnAfter
	if after == 0 {
		after = retryAfter(r.times.ResponseDeadline.Sub(s.cfg.Now()))
	}
	return verdict.New(verdict.NotRun, verdict.ReasonOverload, "%v", d).WithRetryAfter(after)
}

// refuseOverloaded refuses a request while this node has more work than it can do and no other
// member has room.
func (s *Server) refuseOverloaded(r *resolvedRequest) *verdict.Error {
	if s.cfg.Overload == nil {
		return nil
	}
	load, overloaded := s.cfg.Overload()
	if !overloaded {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonOverload, "this node is %v late, its link %.2f in use, and other members are busy too", load.Delay.Round(time.Millisecond), load.LinkShare).
		WithRetryAfter(retryAfter(r.times.ResponseDeadline.Sub(s.cfg.Now())))
}

// refuseEvacuated refuses a request that needs a service whose targets are all in
// evacuated data centres.
func (s *Server) refuseEvacuated(r *resolvedRequest) *verdict.Error {
	service, refused := rules.Evacuated(r.services(), s.cfg.View().Directory.AllEvacuated)
	if !refused {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonEvacuated, "all data centres of %s are evacuated", service).
		WithRetryAfter(retryAfter(r.times.ResponseDeadline.Sub(s.cfg.Now())))
}

// errIsolated ends the stages of a request when no target can be reached.
var errIsolated = errors.New("no target can be reached")

// refuseIsolated refuses a request while this node reaches no target in any way. Without it
// the request would wait for its deadline, and so would its client, who may reach a node that
// serves it.
func (s *Server) refuseIsolated(r *resolvedRequest) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "neither this node nor a member reaches a target").
		WithRetryAfter(retryAfter(r.times.ResponseDeadline.Sub(s.cfg.Now())))
}

// services returns the services that the request needs, in the order of their use.
func (r *resolvedRequest) services() []string {
	var list []string
	for i, stage := range r.stages {
		if stage.Items > 0 {
			list = append(list, r.route.Stages[i].Service)
		}
	}
	return append(list, r.service.Name)
}

// plan returns what the request will ask for, in the order of its stages.
func (r *resolvedRequest) plan() []PlannedStage {
	var plan []PlannedStage
	for i, stage := range r.stages {
		if stage.Items > 0 {
			plan = append(plan, PlannedStage{
				Service: r.route.Stages[i].Service, Stage: i, Items: stage.Items,
				Due:      r.times.Stage(r.stages.Following(i)).Due,
				Priority: r.stagePriority(), Bytes: r.route.Stages[i].ResultBytes,
			})
		}
	}
	return plan
}

// refuseQuarantined refuses a request that crashed the targets that ran it, or that has a part of
// its prompt that did, before any of its stages starts, unless it is admitted as the trial.
// Clients retry such a request at any node under a new ID: without this check a single request
// crashed fifteen engines in seventeen seconds, because each node took it for a new one.
func (s *Server) refuseQuarantined(r *resolvedRequest) *verdict.Error {
	if !s.cfg.Quarantine.Empty() {
		for i, d := range r.digests() {
			// The trial of a stage's items is up to the coordinator, which knows that they are
			// suspected.
			if err := s.refuseHeld(r, s.cfg.Quarantine.Admit(d), i == 0); err != nil {
				return err
			}
		}
	}
	if s.cfg.Parts.Empty() {
		return nil
	}
	return s.refuseHeld(r, s.cfg.Parts.AdmitAll(r.partDigests), true)
}

// countParts counts the parts of a prompt that is not refused for them, so that those of most
// prompts are told from rare ones.
func (s *Server) countParts(r *resolvedRequest) {
	if len(r.partDigests) > 0 {
		s.cfg.Parts.RecordRequest(quarantine.GroupDigestOf(r.org.Name, r.service.Name), r.partDigests)
	}
}

// refuseHeld returns the error of a request that is not admitted. mayTry is whether the request
// itself may be the trial.
func (s *Server) refuseHeld(r *resolvedRequest, a quarantine.Admission, mayTry bool) *verdict.Error {
	switch a := a.(type) {
	case quarantine.Trial:
		r.trial = r.trial || mayTry
	case quarantine.Refused:
		return quarantinedError(a.Hold, s.cfg.Now())
	}
	return nil
}

// minHeldRetryAfter is the least time after which the client of a quarantined request may
// retry: the quarantine may have expired while another member runs the trial.
const minHeldRetryAfter = time.Second

// quarantinedError returns the error for a quarantined request.
func quarantinedError(hold quarantine.Hold, now time.Time) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "%d targets crashed while they ran the same request, or one with a part of its prompt", len(hold.Crashes)).
		WithRetryAfter(max(hold.Until.Sub(now), minHeldRetryAfter))
}
