package relay

import (
	"context"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/internal/wait"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// admit plans the request's stages with their services until rules.Admit admits
// or refuses it, and returns how long the stages should take. The plans of a
// request that is not admitted are cancelled.
func (s *Server) admit(ctx context.Context, r *resolved) (time.Duration, *verdict.Error) {
	retried := s.timeouts.retried(r.route.Name, r.req.Timeout)
	plan := r.plan()
	if len(plan) == 0 {
		return 0, nil
	}
	alone := r.stages.Total(nil)
	for {
		backlogs := s.cfg.Batcher.Plan(ctx, r.req.ID, plan)
		estimated := r.stages.Total(backlogs)
		now := s.cfg.Now()
		in := rules.Admission{
			Estimated: estimated, Alone: alone,
			Left: r.times.Objective.Sub(now), Objective: r.route.Objective,
			Elapsed: now.Sub(r.times.Arrived), AnswerTime: r.times.Answer.Sub(r.times.Arrived),
			Priority: r.route.Priority, Retried: retried,
		}
		decision := rules.Admit(in)
		if _, ok := decision.(rules.Admitted); ok {
			return estimated, nil
		}
		s.cfg.Batcher.Cancel(r.req.ID, plan)
		switch d := decision.(type) {
		case rules.Refused:
			return 0, s.refuse(r, Refused{
				Stages: plan, Backlogs: backlogs, Estimated: estimated, Left: in.Left, Comparison: d.Comparison, Retried: retried,
			})
		case rules.PlanAgain:
			if wait.For(ctx, d.Pause) != nil {
				return 0, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "the caller has gone")
			}
		}
	}
}

// refuse reports a refusal and returns its error.
func (s *Server) refuse(r *resolved, d Refused) *verdict.Error {
	s.cfg.Observer.Decided(r.req.ID, d)
	return verdict.New(verdict.NotRun, verdict.ReasonOverload, "the stages would take %v", d.Estimated).
		WithRetryAfter(retryAfter(r.times.Answer.Sub(s.cfg.Now())))
}

// refuseEvacuated refuses a request that needs a service whose targets are all in
// evacuated data centres.
func (s *Server) refuseEvacuated(r *resolved) *verdict.Error {
	service, refused := rules.Evacuated(r.services(), s.cfg.View().Directory.AllEvacuated)
	if !refused {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonEvacuated, "all data centres of %s are evacuated", service).
		WithRetryAfter(retryAfter(r.times.Answer.Sub(s.cfg.Now())))
}

// services returns the services that the request needs, in the order of their use.
func (r *resolved) services() []string {
	var list []string
	for i, stage := range r.stages {
		if stage.Items > 0 {
			list = append(list, r.route.Stages[i].Service)
		}
	}
	return append(list, r.service.Name)
}

// plan returns what the request will ask for, in the order of its stages.
func (r *resolved) plan() []PlannedStage {
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
