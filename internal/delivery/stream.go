package delivery

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/honeydyke/honeydyke/internal/openai"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Rule: when a stream is whole.
//
// A stream is whole with a finish reason and then the end mark, both; every chunk must
// carry the identity of its call and be of the one choice asked for. A stream that is
// silent for the client's stall time counts as stalled. What was emitted before a
// failure stays emitted; the caller decides whether to continue it elsewhere. Why so:
// docs/decisions/0009-streams.md. A broken stream taken for whole gives a caller half
// an answer as a whole one.

// StreamEnd is what a whole stream ended with.
type StreamEnd struct {
	// Finish is the finish reason.
	Finish string
	// Tokens is the number of tokens generated: the usage reported, else the
	// number of pieces.
	Tokens int
}

// Stream sends a call to an engine and passes each piece of text to emit. It
// returns without an error only when the finish reason and the end mark came;
// the error is a *verdict.Error, or the error of emit.
func (c *Client) Stream(ctx context.Context, call Call, emit func(text string) error) (StreamEnd, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	var stalled atomic.Bool
	watch := time.AfterFunc(c.stall, func() {
		stalled.Store(true)
		cancel()
	})
	defer watch.Stop()
	end, err := c.stream(ctx, call, func(text string) error {
		watch.Reset(c.stall)
		return emit(text)
	})
	if err != nil && stalled.Load() {
		v := verdict.From(err).Verdict()
		err = verdict.New(v, verdict.ReasonStalled, "the stream was silent for %s", c.stall).WithCause(err)
	}
	return end, err
}

// stream reads one stream to its end, without watching for silence.
func (c *Client) stream(ctx context.Context, call Call, emit func(text string) error) (StreamEnd, error) {
	ex, err := c.send(ctx, call)
	if err != nil {
		return StreamEnd{}, err
	}
	defer ex.close()
	if !strings.HasPrefix(ex.resp.Header.Get("Content-Type"), "text/event-stream") {
		return StreamEnd{}, ex.broken(verdict.ReasonTargetError, "the engine sent no event stream")
	}
	s := streamReader{ex: ex, id: openai.CompletionID(call.Identity), emit: emit}
	for event, err := range sse.Read(ex.resp.Body, &sse.ReadConfig{MaxEventSize: wire.MaxEventBytes}) {
		if err != nil {
			return s.end, ex.cut(ctx, err)
		}
		done, err := s.take(event.Data)
		if done || err != nil {
			return s.end, err
		}
	}
	if ctx.Err() != nil {
		return s.end, ex.cut(ctx, ctx.Err())
	}
	return s.end, ex.broken(verdict.ReasonCut, "the stream ended without its end mark")
}

// streamReader checks and passes on the events of one stream.
type streamReader struct {
	ex *exchange
	// id is what every chunk of the stream must carry.
	id   string
	emit func(string) error
	end  StreamEnd
}

// take handles one event and is true at the end mark of a whole stream.
func (s *streamReader) take(data string) (done bool, err error) {
	if data == openai.DoneMark {
		if s.end.Finish == "" {
			return false, s.ex.broken(verdict.ReasonCut, "the end mark came without a finish reason")
		}
		return true, nil
	}
	var chunk openai.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return false, s.ex.broken(verdict.ReasonTargetError, "an event is not a chunk").WithCause(err)
	}
	if chunk.Error != nil {
		return false, s.ex.broken(verdict.ReasonTargetError, "the engine ended the stream: %s", chunk.Error.Message)
	}
	if chunk.ID != s.id {
		return false, s.ex.broken(verdict.ReasonIdentity, "a chunk of %q came in the stream of %q", chunk.ID, s.id)
	}
	return false, s.takeChunk(&chunk)
}

// takeChunk passes on the text of a chunk and records its finish reason and usage.
func (s *streamReader) takeChunk(chunk *openai.Chunk) error {
	if chunk.Usage != nil {
		s.end.Tokens = chunk.Usage.CompletionTokens
	}
	for _, choice := range chunk.Choices {
		if choice.Index != 0 {
			return s.ex.broken(verdict.ReasonTargetError, "a chunk has choice %d; one was asked for", choice.Index)
		}
		if choice.Delta.Content != "" {
			s.end.Tokens++
			if err := s.emit(choice.Delta.Content); err != nil {
				return err
			}
		}
		if choice.FinishReason != nil {
			s.end.Finish = *choice.FinishReason
		}
	}
	return nil
}
