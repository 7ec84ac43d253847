package relay

import (
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
	// comeBackShare is the part of a client's time after which it is asked to come
	// back; clients do not wait longer than a third.
	comeBackShare = 0.28
	// maxComeBack bounds the time after which a client is asked to come back.
	maxComeBack = 4 * time.Second
)

// admit refuses a request at once when its stages cannot all be done in time as
// things stand. One that was refused before is let in all the same, but gives way
// to others.
func (j *job) admit() *verdict.Error {
	returning := j.returning()
	if len(j.route.Stages) == 0 {
		return nil
	}
	now := j.s.cfg.Now()
	r := newStageResults(j)
	var longest time.Duration
	for i := range j.route.Stages {
		if r.count(i) > 0 {
			longest = max(longest, r.wait(i)+r.estimate(i)+r.afterWithWait(i))
		}
	}
	margin := time.Duration(j.route.Priority) * priorityMargin
	if longest == 0 || !now.Add(longest+engineLead+margin).After(j.objective) {
		return nil
	}
	if returning {
		j.background = true
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.ReasonOverload, "the stages would take %v", longest).
		WithRetryAfter(j.comeBack())
}

// comeBack asks clients to come back when the load may have passed, spread over
// some time.
func (j *job) comeBack() time.Duration {
	after := min(time.Duration(comeBackShare*float64(j.until.Sub(j.s.cfg.Now()))), maxComeBack)
	return max(after*3/4+rand.N(after/4+1), 50*time.Millisecond)
}

// returning says whether the client has less time left than clients of the
// route have at first.
func (j *job) returning() bool {
	if j.req.Patience <= 0 {
		return false
	}
	s := j.s
	s.mu.Lock()
	defer s.mu.Unlock()
	usual := max(s.patience[j.route.Name], j.req.Patience)
	s.patience[j.route.Name] = usual
	return float64(j.req.Patience) < returningShare*float64(usual)
}

// wait estimates how long a stage's items wait before their call starts.
func (r *stageResults) wait(i int) time.Duration {
	return r.job.s.cfg.Batcher.Wait(r.job.route.Stages[i].Service)
}

// afterWithWait estimates how long the stages that follow a stage take, their
// waiting included.
func (r *stageResults) afterWithWait(i int) time.Duration {
	var longest time.Duration
	for k := i + 1; k < len(r.job.route.Stages); k++ {
		for _, a := range r.job.route.Stages[k].After {
			if a == i && r.count(k) > 0 {
				longest = max(longest, r.wait(k)+r.estimate(k)+r.afterWithWait(k))
			}
		}
	}
	return longest
}
