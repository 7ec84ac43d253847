package relay

import (
	"context"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// admission plans a request's stages and admits or refuses the request.
type admission struct {
	*resolved
	batcher Batcher
	now     func() time.Time
	decided func(Decision)
	// retried says that the client was refused before.
	retried bool
}

func (s *Server) admission(r *resolved) *admission {
	return &admission{
		resolved: r, batcher: s.cfg.Batcher, now: s.cfg.Now, decided: s.decided(r),
		retried: s.timeouts.retried(r.route.Name, r.req.Timeout),
	}
}

// admit plans the request's stages with their services until rules.Admit admits
// or refuses it, and returns how long the stages should take. The plans of a
// request that is not admitted are cancelled.
func (a *admission) admit(ctx context.Context) (time.Duration, *verdict.Error) {
	plan := a.plan()
	if len(plan) == 0 {
		return 0, nil
	}
	alone := a.stages.Total(nil)
	for {
		backlogs := a.batcher.Plan(ctx, a.req.ID, plan)
		estimated := a.stages.Total(backlogs)
		in := a.input(estimated, alone)
		decision := rules.Admit(in)
		if _, ok := decision.(rules.Admitted); ok {
			return estimated, nil
		}
		a.batcher.Cancel(a.req.ID, plan)
		switch d := decision.(type) {
		case rules.Refused:
			return 0, a.refuse(Refused{
				Stages: plan, Backlogs: backlogs, Estimated: estimated, Left: in.Left, Comparison: d.Comparison, Retried: in.Retried,
			})
		case rules.PlanAgain:
			if !sleep(ctx, d.Pause) {
				return 0, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "the caller has gone")
			}
		}
	}
}

func (a *admission) input(estimated, alone time.Duration) rules.Admission {
	now := a.now()
	return rules.Admission{
		Estimated: estimated, Alone: alone,
		Left: a.times.Objective.Sub(now), Objective: a.route.Objective,
		Elapsed: now.Sub(a.times.Arrived), AnswerTime: a.times.Answer.Sub(a.times.Arrived),
		Priority: a.route.Priority, Retried: a.retried,
	}
}

// refuse reports a refusal and returns its error.
func (a *admission) refuse(d Refused) *verdict.Error {
	a.decided(d)
	return verdict.New(verdict.NotRun, verdict.ReasonOverload, "the stages would take %v", d.Estimated).
		WithRetryAfter(retryAfter(a.times.Answer.Sub(a.now())))
}

// plan returns what the request will ask for, in the order of its stages.
func (a *admission) plan() []PlannedStage {
	var plan []PlannedStage
	for i, stage := range a.stages {
		if stage.Items > 0 {
			plan = append(plan, PlannedStage{
				Service: a.route.Stages[i].Service, Stage: i, Items: stage.Items,
				Due: a.times.Stage(a.stages.Following(i)).Due,
			})
		}
	}
	return plan
}

// sleep waits and says whether ctx is still in force.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
