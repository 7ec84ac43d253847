package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// returningShare is the part of a route's usual patience below which a request
	// is taken for one that was refused before and has come back.
	returningShare = 0.97
	// priorityMargin is kept free before the objective for each step of a route's
	// priority, so that what is less urgent is refused first.
	priorityMargin = 150 * time.Millisecond
	// planShare is the part of the time to the objective that the stages are
	// planned to take. The rest is for what the estimate does not know; a short
	// queue carries as much as a long one.
	planShare = 0.85
	// minBacklog is the wait for others' work that never speaks against a request:
	// however short its objective, an idle system does not refuse it.
	minBacklog = 150 * time.Millisecond
	// returnShare is the part of its time for which a request that has come back
	// waits to be let in.
	returnShare = 0.5
	// returnPause is how long a request that has come back waits before it asks
	// again whether it can be in time.
	returnPause = 250 * time.Millisecond
	// comeBackShare is the part of a client's time after which it is asked to come
	// back; clients do not wait longer than a third.
	comeBackShare = 0.28
	// maxComeBack bounds the time after which a client is asked to come back.
	maxComeBack = 4 * time.Second
)

// admit tells the services of the request's stages what it will ask for. When
// the stages cannot all be done in time after what was planned before, the
// request is refused at once. One that has come back after a refusal waits until
// they can, and is refused again while it has half of its time left.
func (j *job) admit(ctx context.Context) *verdict.Error {
	returning := j.returning()
	r := newStageResults(j)
	stages := r.planned()
	if len(stages) == 0 {
		return nil
	}
	giveUpAt := j.req.Arrived.Add(time.Duration(returnShare * float64(j.until.Sub(j.req.Arrived))))
	for {
		backlogs := j.s.cfg.Batcher.Plan(ctx, j.req.ID, stages)
		lasts := r.lasts(stages, backlogs)
		now := j.s.cfg.Now()
		margin := time.Duration(j.route.Priority) * priorityMargin
		left := j.objective.Sub(now)
		if returning {
			left = j.route.Objective
		}
		alone := r.lasts(stages, make([]time.Duration, len(stages)))
		spare := time.Duration(planShare*float64(left)) - alone - engineLead - margin
		if lasts-alone <= max(spare, minBacklog) {
			j.outcome.Planned = lasts
			return nil
		}
		j.s.cfg.Batcher.Cancel(j.req.ID, stages)
		if !returning || now.Add(returnPause).After(giveUpAt) {
			j.decided(Refused{Stages: stages, Backlogs: backlogs, Estimated: lasts, Left: j.objective.Sub(now)})
			return verdict.New(verdict.NotRun, verdict.ReasonOverload, "the stages would take %v", lasts).
				WithRetryAfter(j.comeBack())
		}
		if !waitFor(ctx, returnPause) {
			return verdict.New(verdict.NotRun, verdict.ReasonCancelled, "the caller has gone")
		}
	}
}

// waitFor waits and says whether ctx goes on.
func waitFor(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// planned returns what the request will ask for, in the order of its stages.
func (r *stageResults) planned() []PlannedStage {
	var stages []PlannedStage
	for i, s := range r.job.route.Stages {
		if n := r.count(i); n > 0 {
			stages = append(stages, PlannedStage{Service: s.Service, Stage: i, Items: n, Due: r.job.objective.Add(-r.job.lead - r.after(i))})
		}
	}
	return stages
}

// lasts estimates how long it takes until all stages are done. While the earlier
// stages run, a later stage's service works off what was planned before.
func (r *stageResults) lasts(stages []PlannedStage, backlogs []time.Duration) time.Duration {
	ends := make([]time.Duration, len(r.job.route.Stages))
	var longest time.Duration
	for k, s := range stages {
		var begins time.Duration
		for _, a := range r.job.route.Stages[s.Stage].After {
			begins = max(begins, ends[a])
		}
		ends[s.Stage] = max(begins, backlogs[k]) + r.estimate(s.Stage)
		longest = max(longest, ends[s.Stage])
	}
	return longest
}

// comeBack asks clients to come back when the load may have passed, spread over
// some time.
func (j *job) comeBack() time.Duration {
	left := max(j.until.Sub(j.s.cfg.Now()), 0)
	after := min(time.Duration(comeBackShare*float64(left)), maxComeBack)
	return max(after*3/4+rand.N(after/4+1), 50*time.Millisecond)
}

// returning says whether the client has less time left than clients of the
// route have at first.
func (j *job) returning() bool {
	if j.req.Timeout <= 0 {
		return false
	}
	s := j.s
	s.mu.Lock()
	defer s.mu.Unlock()
	usual := max(s.patience[j.route.Name], j.req.Timeout)
	s.patience[j.route.Name] = usual
	return float64(j.req.Timeout) < returningShare*float64(usual)
}
