package relay

import (
	"context"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// maxRefusals bounds the targets that may refuse one request.
	maxRefusals = 2
	// maxUnsent bounds the kept connections that are found ended.
	maxUnsent = 2
	// plainPatience is how long a repeatable request waits at one target before
	// another is tried, as a share of the objective.
	plainPatience = 2.5
	// streamPatience bounds the time to the first event of a stream that may be
	// repeated, and the silence within one.
	streamPatience = 1200 * time.Millisecond
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 16 << 20
)

// errPatience ends the context of a call that outlasted its patience.
var errPatience = errors.New("the target took too long")

// deliver sends the request to targets until one answers, the time is over or
// no other may be tried.
func (j *job) deliver(ctx context.Context) *verdict.Error {
	refusals, unsent := 0, 0
	for first := true; ; first = false {
		if err := j.result.ensure(ctx); err != nil {
			return err
		}
		if !j.s.spend(j.service.Name, first) {
			return j.outOf(verdict.ReasonRetryExhausted, "the budget of repeats is spent")
		}
		target, ok := j.place(ctx)
		if !ok {
			return j.outOf(verdict.ReasonNoTarget, "no target can take the request")
		}
		err := j.attempt(ctx, target)
		for err != nil && neverSent(err) && unsent < maxUnsent && ctx.Err() == nil {
			unsent++
			err = j.attempt(ctx, target)
		}
		if err == nil {
			return nil
		}
		if err.Verdict() != verdict.NotRun {
			j.sends++
		} else if refusals++; refusals > maxRefusals {
			return err
		}
		again := ctx.Err() == nil && j.mayRetry(err)
		j.decided(AttemptFailed{
			Attempt: j.outcome.Attempts[len(j.outcome.Attempts)-1], Events: j.outcome.Events, LastEvent: j.req.LastEvent,
			Left: j.until.Sub(j.s.cfg.Now()), WillRetry: again,
		})
		if !again {
			return err
		}
		if err.Reason() == verdict.ReasonInputGone {
			j.result.lost = true
			continue
		}
		j.tried = append(j.tried, target.ID)
	}
}

// neverSent says whether a kept connection had ended before the first byte was
// written to it, so that the same target may be asked over another at no cost.
func neverSent(err *verdict.Error) bool {
	return err.Verdict() == verdict.NotRun && err.Reason() == verdict.ReasonConnection
}

// outOf returns the error for a request that cannot be sent any more.
func (j *job) outOf(reason verdict.Reason, text string) *verdict.Error {
	if n := len(j.outcome.Attempts); n > 0 && j.outcome.Attempts[n-1].Err != nil {
		return j.outcome.Attempts[n-1].Err
	}
	return verdict.New(verdict.NotRun, reason, "%s", text)
}

// mayRetry says whether the request may be sent to another target.
func (j *job) mayRetry(err *verdict.Error) bool {
	if err.Verdict() == verdict.NotRun {
		return err.Reason() != verdict.ReasonBadRequest && err.Reason() != verdict.ReasonDeadline
	}
	return j.route.MayRepeat() && j.sends < j.route.MaxAttempts
}

// place chooses the target of an attempt. For an engine the node that places the
// service's prompts is asked; when it cannot be, this node chooses by itself.
func (j *job) place(ctx context.Context) (directory.Target, bool) {
	if j.service.Engine == nil {
		return j.choose()
	}
	s := j.s
	d := s.cfg.View().Directory
	key, tokens := shared(j.req.Parts)
	now := s.cfg.Now()
	s.mu.Lock()
	exclude := append(s.table.Ejected(now, d.Service(j.service.Name)), j.tried...)
	s.mu.Unlock()
	id, ok := s.cfg.Placer.Place(ctx, j.service.Name, placement.Prompt{
		Request: j.req.ID, Key: key, SharedTokens: tokens, Tokens: j.req.Tokens,
		Slack: j.objective.Sub(now), Exclude: exclude, InputBytes: j.result.bytes(),
	})
	if target, known := d.Target(id); ok && known && target.Usable(now) {
		return target, true
	}
	return j.choose()
}

// promptRead tells the node that placed the prompt that it need not count it any
// more.
func (j *job) promptRead(whole bool) {
	if j.service.Engine != nil {
		j.s.cfg.Placer.Prefilled(j.service.Name, j.req.ID, whole)
	}
}

func (j *job) choose() (directory.Target, bool) {
	s := j.s
	// A newer view may know that a target leaves; the request's own view still
	// governs its route.
	targets := s.cfg.View().Directory.Service(j.service.Name)
	q := placement.Query{DataCentre: s.cfg.DataCentre, Exclude: j.tried}
	if j.service.MaxConnections > 0 {
		q.MaxInflight = max(j.service.MaxConnections/max(s.cfg.Members(), 1)-1, 1)
	}
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.service.Engine == nil {
		return s.table.LeastLoaded(now, targets, q)
	}
	q.Key, q.SharedTokens = shared(j.req.Parts)
	q.InputBytes = j.result.bytes()
	return s.table.ByPrefix(now, targets, q)
}

// shared returns the hash of the deepest part of the prompt that other requests
// share, which is the one before the last, and the length of all shared parts.
func shared(parts []Part) (key uint64, tokens int) {
	if len(parts) < 2 {
		return 0, 0
	}
	parts = parts[:len(parts)-1]
	for _, p := range parts {
		tokens += p.Tokens
	}
	return xxhash.Sum64String(parts[len(parts)-1].ID), tokens
}

// attempt sends the request to one target and passes its answer back.
func (j *job) attempt(ctx context.Context, target directory.Target) *verdict.Error {
	s := j.s
	start := s.cfg.Now()
	s.mu.Lock()
	s.table.Sent(target.ID)
	s.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := j.patience(cancel)
	defer patience.Stop()
	tried := Attempt{Target: target.ID}
	answered := time.Duration(0)
	j.sentAt = start
	reply, err := s.cfg.Upstream.Send(ctx, j.call(target))
	if err == nil {
		answered = s.cfg.Now().Sub(start)
		tried.Status = reply.Status
		err = j.passBack(ctx, reply, patience)
	}
	if err != nil && !j.begun.Load() {
		j.promptRead(false)
	}
	if err != nil && errors.Is(context.Cause(ctx), errPatience) {
		err = err.WithReason(verdict.ReasonStalled)
	}
	tried.Took = s.cfg.Now().Sub(start)
	tried.Err = err
	j.outcome.Attempts = append(j.outcome.Attempts, tried)
	if answered == 0 {
		answered = tried.Took
	}
	j.learn(target, reply, err, answered)
	return err
}

// patienceTimer ends an attempt that has been silent for too long.
type patienceTimer struct {
	timer *time.Timer
	limit time.Duration
}

// Stop ends the timer.
func (p *patienceTimer) Stop() {
	if p.timer != nil {
		p.timer.Stop()
	}
}

// Again starts the time of silence anew.
func (p *patienceTimer) Again() {
	if p.timer != nil {
		p.timer.Reset(p.limit)
	}
}

// patience limits an attempt while another one is allowed.
func (j *job) patience(cancel context.CancelCauseFunc) *patienceTimer {
	if !j.route.MayRepeat() || j.sends+1 >= j.route.MaxAttempts {
		return &patienceTimer{}
	}
	limit := time.Duration(plainPatience * float64(j.route.Objective))
	if j.route.Kind == catalog.Stream {
		limit = max(streamPatience, 3*j.route.PauseLimit)
	}
	return &patienceTimer{limit: limit, timer: time.AfterFunc(limit, func() { cancel(errPatience) })}
}

func (j *job) call(target directory.Target) Call {
	c := Call{
		Target: target, ID: j.req.ID, Payload: j.req.Payload, Until: j.until,
		Organisation: j.organisation(), Priority: -1, LastEvent: j.req.LastEvent,
		Permit: func() error { return j.permit(target.ID) },
	}
	if j.service.Engine != nil {
		c.Priority = j.priority()
		c.Inputs = j.result.inputs()
	}
	return c
}

// permit is asked just before the first byte is written: the target may have
// begun to leave, and a paused process may have woken too late.
func (j *job) permit(id string) error {
	now := j.s.cfg.Now()
	if !now.Before(j.until) {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the time is over")
	}
	if !j.s.cfg.View().Directory.Usable(id, now) {
		return verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the target leaves")
	}
	return nil
}

// learn takes in how a target answered.
func (j *job) learn(target directory.Target, reply *Reply, err *verdict.Error, took time.Duration) {
	s := j.s
	now := s.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply != nil && reply.Load != nil {
		s.table.Report(now, target.ID, *reply.Load)
	}
	s.table.Ended(now, target.ID, took, targetFault(err))
	if err != nil && err.Reason() == verdict.ReasonDial {
		s.table.Eject(now, target.ID)
	}
}

// targetFault says whether an error speaks against the target.
func targetFault(err *verdict.Error) bool {
	if err == nil {
		return false
	}
	switch err.Reason() {
	case verdict.ReasonCancelled, verdict.ReasonInputGone, verdict.ReasonLeaving, verdict.ReasonBadRequest:
		return false
	}
	return true
}

// passBack gives a target's answer to the caller.
func (j *job) passBack(ctx context.Context, reply *Reply, patience *patienceTimer) *verdict.Error {
	defer reply.Body.Close()
	if j.route.Kind == catalog.Stream && reply.Succeeded {
		return j.passStream(ctx, reply, patience)
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		return broken(ctx, err)
	}
	if !reply.Succeeded && j.worthAnother(reply) {
		return verdict.New(verdict.Ran, verdict.ReasonTargetError, "the target answered with status %d", reply.Status)
	}
	if !j.begun.Load() {
		return j.passWhole(reply, body)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonTargetError, "the stream could not be continued: status %d", reply.Status)
}

func (j *job) passWhole(reply *Reply, body []byte) *verdict.Error {
	j.begin(reply)
	if err := j.out.Begin(reply, len(body)); err != nil {
		return callerGone(err)
	}
	if err := j.out.Write(body); err != nil {
		return callerGone(err)
	}
	return nil
}

func (j *job) begin(reply *Reply) {
	j.begun.Store(true)
	j.promptRead(true)
	j.outcome.Status = reply.Status
	now := j.s.cfg.Now()
	j.outcome.FirstByte = now.Sub(j.req.Arrived)
	if j.service.Engine != nil && reply.Succeeded {
		j.s.learnReading(j.service.Name, j.req.Tokens, now.Sub(j.sentAt))
	}
	j.result.consumed()
}

// worthAnother says whether a failure of the target's own may be met by asking
// another target.
func (j *job) worthAnother(reply *Reply) bool {
	if reply.Status < 500 || !j.route.MayRepeat() || j.sends+1 >= j.route.MaxAttempts {
		return false
	}
	return j.s.left(j.service.Name) >= 1 && j.until.Sub(j.s.cfg.Now()) > j.route.Objective/2
}

// left returns how many repeats are allowed now.
func (s *Server) left(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.budgets[service]; b != nil {
		return b.Left(s.cfg.Now())
	}
	return 0
}

func broken(ctx context.Context, cause error) *verdict.Error {
	reason := verdict.ReasonCut
	if ctx.Err() != nil {
		reason = verdict.ReasonDeadline
		if errors.Is(ctx.Err(), context.Canceled) {
			reason = verdict.ReasonCancelled
		}
	}
	return verdict.New(verdict.MayHaveRun, reason, "the answer ended before its end").WithCause(cause)
}

func callerGone(cause error) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "the caller has gone").WithCause(cause)
}
