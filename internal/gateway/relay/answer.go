package relay

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// maxAnswerBytes bounds an answer that is not a stream, since it is read whole before
// it is passed on: far above what services answer with, and a tenth of the memory of
// the smallest instances.
const maxAnswerBytes = 16 << 20

// unknownLength is the length of a stream.
const unknownLength = -1

// passBack gives a target's answer to the caller.
func (s *sender) passBack(ctx context.Context, reply *Reply, timer attemptTimer, sends int) *verdict.Error {
	// The body has been read to its end or is of no use: its close has nothing to say.
	defer reply.Body.Close()
	if s.route.Kind == catalog.Stream && reply.Succeeded {
		return s.answer.passStream(ctx, reply, timer)
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		return broken(ctx, err)
	}
	switch rules.AfterAnswer(s.answerInput(reply, sends)).(type) {
	case rules.TryAnother:
		return verdict.New(verdict.Ran, verdict.ReasonTargetError, "the target answered with status %d", reply.Status)
	case rules.BreakOff:
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTargetError, "the stream could not be continued: status %d", reply.Status)
	}
	return s.answer.passWhole(reply, body)
}

func (s *sender) answerInput(reply *Reply, sends int) rules.Answer {
	return rules.Answer{
		Status: reply.Status, Succeeded: reply.Succeeded, Begun: s.answer.begun.Load(),
		Retryable: s.route.Retryable(), Sends: sends, MaxAttempts: s.route.MaxAttempts,
		Budget: s.budgets.left(s.service.Name), Left: s.times.Answer.Sub(s.now()), Objective: s.route.Objective,
	}
}

// answer is what the caller gets.
type answer struct {
	out     Responder
	arrived time.Time
	now     func() time.Time
	outcome *Outcome
	// began is called once, before the first byte is passed back.
	began func(reply *Reply)
	begun atomic.Bool
	// lastEvent is the last event that the caller has; empty for none.
	lastEvent string
}

// begin passes back the head of an answer; length is unknownLength for a stream.
func (a *answer) begin(reply *Reply, length int) *verdict.Error {
	a.begun.Store(true)
	a.outcome.Status = reply.Status
	a.outcome.FirstByte = a.now().Sub(a.arrived)
	a.began(reply)
	if err := a.out.Begin(reply, length); err != nil {
		return callerGone(err)
	}
	return nil
}

// beginStream passes back the head of a stream, unless the caller has one already.
func (a *answer) beginStream(reply *Reply) *verdict.Error {
	if a.begun.Load() {
		return nil
	}
	return a.begin(reply, unknownLength)
}

func (a *answer) write(p []byte) *verdict.Error {
	if err := a.out.Write(p); err != nil {
		return callerGone(err)
	}
	return nil
}

func (a *answer) passWhole(reply *Reply, body []byte) *verdict.Error {
	if err := a.begin(reply, len(body)); err != nil {
		return err
	}
	return a.write(body)
}

// passStream passes events back as they come. When the stream breaks it may be
// continued after the last event that was passed back.
func (a *answer) passStream(ctx context.Context, reply *Reply, timer attemptTimer) *verdict.Error {
	events := newEventReader(reply.Body)
	for {
		ev, err := events.next()
		if err == io.EOF {
			// A stream without events has only its head.
			return a.beginStream(reply)
		}
		if err != nil {
			return broken(ctx, err)
		}
		timer.reset()
		if rules.EventPassed(ev.id, a.lastEvent) {
			continue
		}
		if err := a.passEvent(reply, ev); err != nil {
			return err
		}
	}
}

func (a *answer) passEvent(reply *Reply, ev event) *verdict.Error {
	if err := a.beginStream(reply); err != nil {
		return err
	}
	if err := a.write(ev.text); err != nil {
		return err
	}
	a.outcome.Events++
	if ev.id != "" {
		a.lastEvent = ev.id
	}
	return nil
}

// broken returns the error for an answer that was cut. When the request itself had
// ended, that is the reason.
func broken(ctx context.Context, cause error) *verdict.Error {
	reason := verdict.ReasonCut
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		reason = verdict.ReasonCancelled
	case ctx.Err() != nil:
		reason = verdict.ReasonDeadline
	}
	return verdict.New(verdict.MayHaveRun, reason, "the answer ended before its end").WithCause(cause)
}

func callerGone(cause error) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "the caller has gone").WithCause(cause)
}
