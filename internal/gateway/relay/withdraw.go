package relay

import (
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Withdrawal is why an admitted request was refused: the coordinator of a service withdrew its
// group, of which nothing had run.
type Withdrawal struct {
	// Service is the service whose coordinator withdrew the group.
	Service string
	// Waited is how long the request had waited, from its arrival.
	Waited time.Duration
	// Priority is that of the group that would have been late: the request's own, or a more
	// valuable one.
	Priority int
	// End is when that group would have been done, and Due when it was due, from the request's
	// arrival.
	End, Due time.Duration
}

// WithdrawnCause returns why a group was withdrawn; false if it ended in another way.
func WithdrawnCause(err *verdict.Error) (batching.Withdrawn, bool) {
	var w batching.Withdrawn
	if err == nil || !errors.As(err, &w) {
		return batching.Withdrawn{}, false
	}
	return w, true
}

// withdrawableUntil returns until when the coordinator of a stage may withdraw its group; the
// zero time for never.
//
// The coordinator knows only what it ran itself. So the group of a first stage can be
// withdrawn if it is the only one that the request starts with, and only if nothing of the
// request was computed before. Another rule would let a request end as not run although a
// part of it ran at another service.
func (r *stageResults) withdrawableUntil(i int) time.Time {
	r.mu.Lock()
	recomputing := r.runner.recomputes > 0
	r.mu.Unlock()
	if recomputing || len(r.runner.stages[i].After) > 0 {
		return time.Time{}
	}
	for k, other := range r.runner.stages {
		if k != i && other.Items > 0 && r.runner.startsAtOnce(k) {
			return time.Time{}
		}
	}
	return r.runner.times.WithdrawableUntil()
}

// startsAtOnce reports whether a stage needs no results of others, which is also so if those
// that it needs have no items.
func (r *resolvedRequest) startsAtOnce(i int) bool {
	for _, a := range r.stages[i].After {
		if r.stages[a].Items > 0 || !r.startsAtOnce(a) {
			return false
		}
	}
	return true
}

// firstService returns the service of the stage that the request starts with.
func (r *resolvedRequest) firstService() string {
	for i, stage := range r.stages {
		if stage.Items > 0 && r.startsAtOnce(i) {
			return r.route.Stages[i].Service
		}
	}
	return ""
}

// endWithdrawn ends a request whose group was withdrawn like one that is not admitted: its
// other plans are cancelled, and its client is told when to retry. quotes includes those that
// were answered late, since a plan that counts as unanswered is cancelled only while its message
// is under way.
func (s *Server) endWithdrawn(d *delivery, a *admission, quotes []Quote, w batching.Withdrawn, err *verdict.Error) *verdict.Error {
	s.cfg.Batcher.Cancel(d.planRequest(a.plan), quotes, nil)
	arrived := d.times.Arrived
	d.outcome.Withdrawn = &Withdrawal{
		Service: d.firstService(), Waited: s.cfg.Now().Sub(arrived), Priority: w.Priority, End: w.End.Sub(arrived), Due: w.Due.Sub(arrived),
	}
	return err.WithRetryAfter(retryAfter(d.times.ResponseDeadline.Sub(s.cfg.Now())))
}
