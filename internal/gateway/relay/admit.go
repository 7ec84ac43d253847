package relay

import (
	"context"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// admit plans the request's stages with their services, and admits or refuses the request
// (rules.Admit). It returns how long the stages should take. The plans of a refused
// request are cancelled.
func (s *Server) admit(ctx context.Context, r *resolvedRequest) (time.Duration, *verdict.Error) {
	retried := s.timeouts.observe(r.route.Name, r.req.Timeout)
	plan := r.plan()
	if len(plan) == 0 {
		return 0, nil
	}
	backlogs := s.cfg.Batcher.Plan(ctx, r.req.ID, plan)
	in := rules.Admission{
		Estimated: r.stages.Total(backlogs), Alone: r.stages.Total(nil),
		Left: r.times.Objective.Sub(s.cfg.Now()), Objective: r.route.Objective,
		Priority: r.route.Priority, Retried: retried,
	}
	refused, ok := rules.Admit(in).(rules.Refused)
	if !ok {
		return in.Estimated, nil
	}
	s.cfg.Batcher.Cancel(r.req.ID, plan)
	return 0, s.refuse(r, Refused{
		Stages: plan, Backlogs: backlogs, Estimated: in.Estimated, Left: in.Left, Comparison: refused.Comparison, Retried: retried,
	})
}

// refuse reports a refusal and returns its error.
func (s *Server) refuse(r *resolvedRequest, d Refused) *verdict.Error {
	s.cfg.Observer.Decided(r.req.ID, d)
	return verdict.New(verdict.NotRun, verdict.ReasonOverload, "the stages would take %v", d.Estimated).
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
				Due: r.times.Stage(r.stages.Following(i)).Due,
			})
		}
	}
	return plan
}

// refuseQuarantined refuses a request that crashed the targets that ran it, before any of
// its stages starts, unless it is admitted as the trial. Clients retry such a request at
// any node under a new ID: without this check a single request crashed fifteen engines in
// seventeen seconds, because each node took it for a new one.
func (s *Server) refuseQuarantined(r *resolvedRequest) *verdict.Error {
	if s.cfg.Quarantine.Empty() {
		return nil
	}
	for i, d := range r.digests() {
		switch a := s.cfg.Quarantine.Admit(d).(type) {
		case quarantine.Trial:
			// The trial of a stage's items is up to the coordinator, which knows that they
			// are suspected.
			r.trial = r.trial || i == 0
		case quarantine.Refused:
			return quarantinedError(a.Hold, s.cfg.Now())
		}
	}
	return nil
}

// minHeldRetryAfter is the least time after which the client of a quarantined request may
// retry: the quarantine may have expired while another member runs the trial.
const minHeldRetryAfter = time.Second

// quarantinedError returns the error for a quarantined request.
func quarantinedError(hold quarantine.Hold, now time.Time) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "%d targets crashed while they ran the same request", len(hold.Crashes)).
		WithRetryAfter(max(hold.Until.Sub(now), minHeldRetryAfter))
}
