package relay

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/answers"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// unknownLength is the length of a stream.
const unknownLength = -1

// forwardReply forwards a target's response to the client.
func (s *sender) forwardReply(ctx context.Context, reply *Reply, timer *attemptTimer, possibleRuns int) *verdict.Error {
	// The body has been read to its end or is not needed, so an error of Close is ignored.
	defer reply.Body.Close()
	if s.route.Kind == catalog.Stream && reply.Succeeded {
		return s.response.forwardStream(ctx, reply, timer)
	}
	body, err := s.answers.Read(reply.Body, answers.MaxAnswerBytes)
	if err != nil {
		return truncatedError(ctx, err)
	}
	switch rules.AfterResponse(s.responseInput(reply, possibleRuns)).(type) {
	case rules.TryAnotherTarget:
		return verdict.New(verdict.Ran, verdict.ReasonTargetError, "the target answered with status %d", reply.Status)
	case rules.Withhold:
		return verdict.New(verdict.Ran, verdict.ReasonTargetError, "the target answered with status %d, which claims that the request has not run", reply.Status)
	case rules.AbortStream:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTargetError, "the stream could not be resumed: status %d", reply.Status)
	}
	return s.response.forwardWhole(reply, body)
}

func (s *sender) responseInput(reply *Reply, possibleRuns int) rules.Response {
	return rules.Response{
		Status: reply.Status, Succeeded: reply.Succeeded, ClaimsNotRun: reply.ClaimsNotRun, Started: s.response.started.Load(),
		Retryable: s.route.Retryable(), PossibleRuns: possibleRuns, MaxAttempts: s.route.MaxAttempts,
		Budget: s.budgets.remaining(s.service.Name), Left: s.times.ResponseDeadline.Sub(s.now()), Objective: s.route.ObjectiveOrTimeout(),
	}
}

// clientResponse is the response to the client.
type clientResponse struct {
	out     Responder
	arrived time.Time
	now     func() time.Time
	outcome *Outcome
	// onStart is called once, before the first byte is forwarded.
	onStart func(reply *Reply)
	// onAnswer is called when a target has begun to write an answer: at the first event of a
	// stream, and for a whole answer that is a success.
	onAnswer func()
	started  atomic.Bool
	// lastEvent is the last event that the client has; empty for none.
	lastEvent string
}

// start forwards the header of a response; length is unknownLength for a stream.
func (r *clientResponse) start(reply *Reply, length int) *verdict.Error {
	r.started.Store(true)
	r.outcome.Status = reply.Status
	r.onStart(reply)
	r.outcome.FirstByte = r.now().Sub(r.arrived)
	if err := r.out.Begin(reply, length); err != nil {
		return disconnectedError(err)
	}
	return nil
}

// startStream forwards the header of a stream, unless the client already has one.
func (r *clientResponse) startStream(reply *Reply) *verdict.Error {
	if r.started.Load() {
		return nil
	}
	return r.start(reply, unknownLength)
}

func (r *clientResponse) write(p []byte) *verdict.Error {
	if err := r.out.Write(p); err != nil {
		return disconnectedError(err)
	}
	return nil
}

func (r *clientResponse) forwardWhole(reply *Reply, body *answers.Answer) *verdict.Error {
	if reply.Succeeded {
		r.onAnswer()
	}
	if err := r.start(reply, body.Len()); err != nil {
		return err
	}
	for _, chunk := range body.Chunks() {
		if err := r.write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// forwardStream forwards events as they arrive. If the stream breaks, it can be resumed
// after the last event that was forwarded.
func (r *clientResponse) forwardStream(ctx context.Context, reply *Reply, timer *attemptTimer) *verdict.Error {
	events := newEventReader(reply.Body)
	for {
		ev, err := events.next()
		if err == io.EOF && rules.EndsTooEarly(reply.Undelimited, events.total, r.lastEvent) {
			return truncatedError(ctx, err)
		}
		if err == io.EOF {
			// A stream without events consists of its header only.
			return r.startStream(reply)
		}
		if err != nil {
			return truncatedError(ctx, err)
		}
		timer.reset()
		r.onAnswer()
		if rules.EventForwarded(ev.id, r.lastEvent) {
			continue
		}
		if err := r.forwardEvent(reply, ev); err != nil {
			return err
		}
	}
}

func (r *clientResponse) forwardEvent(reply *Reply, ev event) *verdict.Error {
	if err := r.startStream(reply); err != nil {
		return err
	}
	if err := r.write(ev.text); err != nil {
		return err
	}
	r.outcome.Events++
	if ev.id != "" {
		r.lastEvent = ev.id
	}
	return nil
}

// truncatedError returns the error for a response that was truncated or is longer than may be.
// If the request itself had ended, that is the reason.
func truncatedError(ctx context.Context, cause error) *verdict.Error {
	reason := verdict.ReasonCut
	switch {
	case answers.IsTooLong(cause):
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTooLarge, "the answer is too long").WithCause(cause)
	case errors.Is(ctx.Err(), context.Canceled):
		reason = verdict.ReasonCancelled
	case ctx.Err() != nil:
		reason = verdict.ReasonDeadline
	}
	return verdict.New(verdict.MayHaveRun, reason, "the answer ended before its end").WithCause(cause)
}

func disconnectedError(cause error) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "the client has disconnected").WithCause(cause)
}
