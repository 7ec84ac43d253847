package node

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/tmaxmax/go-sse"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/ticket"
	"github.com/honeydyke/honeydyke/internal/openai"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// maxRecorded bounds the answer that a ticket's home remembers, in bytes; it is that of
// docs/decisions/0004-at-most-once.md. A longer one is not kept, and a later use of the
// ticket gets only its verdict.
const maxRecorded = 64 << 10

// reply writes one answer to one caller: the whole answer, or an explicit error.
type reply struct {
	w    http.ResponseWriter
	id   string
	form form
	// begun is true once part of a stream was written.
	begun  bool
	output strings.Builder
	// record is true when the answer is kept for a caller that asks again with its
	// ticket. The run then goes on also when the caller is gone.
	record bool
	// outcome is what the ticket's book keeps of the answer.
	outcome ticket.Outcome
	// undecided is true for a call with a ticket until the book of the ticket's
	// home has answered; no refusal may say "not run" before.
	undecided bool
	// gone is true when a recorded answer could not be written to its caller.
	gone bool
}

// text takes the next piece of the output.
func (r *reply) text(text string) error {
	streams := r.form.streams()
	if !streams || r.record {
		r.output.WriteString(text)
	}
	if !streams {
		return nil
	}
	err := r.streamText(text)
	if err != nil && r.record {
		r.gone = true // the run goes on for the ticket
		return nil
	}
	return err
}

// streamText writes the next piece of a stream.
func (r *reply) streamText(text string) error {
	if r.gone {
		return nil
	}
	if err := r.begin(); err != nil {
		return err
	}
	switch f := r.form.(type) {
	case nativeForm:
		return r.event(message.StreamEvent{Request: r.id, Text: text})
	case chatForm:
		return r.event(f.chunk(openai.Delta{Content: text}, nil, nil))
	}
	return nil
}

// begin writes the header of a stream, once.
func (r *reply) begin() error {
	if r.begun {
		return nil
	}
	r.begun = true
	r.w.Header().Set("Content-Type", "text/event-stream")
	r.w.Header().Set("Cache-Control", "no-store")
	r.w.WriteHeader(http.StatusOK)
	if f, ok := r.form.(chatForm); ok {
		return r.event(f.chunk(openai.Delta{Role: openai.RoleAssistant}, nil, nil))
	}
	return nil
}

// event writes one server-sent event.
func (r *reply) event(payload any) error {
	raw, err := json.Marshal(payload)
	if err != nil {
		return err
	}
	return r.data(string(raw))
}

// data writes one server-sent event whose data is text.
func (r *reply) data(text string) error {
	var m sse.Message
	m.AppendData(text)
	if _, err := m.WriteTo(r.w); err != nil {
		return err
	}
	return http.NewResponseController(r.w).Flush()
}

// finish writes the end of a whole answer.
func (r *reply) finish(res *result) {
	r.outcome.Verdict = verdict.Ran
	r.outcome.Status = http.StatusOK
	switch f := r.form.(type) {
	case nativeForm:
		r.finishNative(f, res)
	case chatForm:
		r.finishChat(f, res)
	}
}

func (r *reply) finishNative(f nativeForm, res *result) {
	answer := message.PipelineAnswer{Request: r.id, Output: r.output.String(), Finish: res.finish, Bundle: f.bundle, Stages: res.stages}
	r.w.Header().Set(wire.HeaderBundle, strconv.Itoa(f.bundle))
	r.remember(answer)
	if r.gone {
		return
	}
	if !f.stream {
		writeJSON(r.w, http.StatusOK, answer)
		return
	}
	answer.Output = "" // the stream has carried it
	r.end(message.StreamEvent{Request: r.id, Answer: &answer})
}

func (r *reply) finishChat(f chatForm, res *result) {
	finish := res.finish
	if finish == "" {
		finish = openai.FinishStop
	}
	usage := openai.Usage{CompletionTokens: res.tokens, TotalTokens: res.tokens}
	if !f.stream {
		writeJSON(r.w, http.StatusOK, f.completion(r.output.String(), finish, usage))
		return
	}
	r.end(f.chunk(openai.Delta{}, &finish, nil))
	if f.usage {
		r.end(f.chunk(openai.Delta{}, nil, &usage))
	}
	_ = r.data(openai.DoneMark) // fails only when the caller is gone, as in end
}

// end writes one of the last events of a stream. An error means that the caller
// is gone: nobody is left to answer, and the run has ended.
func (r *reply) end(payload any) {
	_ = r.begin()
	_ = r.event(payload)
}

// refuse writes an explicit error, in the middle of a stream as its last event.
func (r *reply) refuse(err error) {
	e := verdict.From(err)
	if r.undecided {
		e = e.WithVerdict(verdict.MayHaveRun).WithUnsafeRetry()
	}
	r.outcome.Verdict = e.Verdict()
	r.outcome.Status = statusOf(e.Reason())
	refusal := refusalOf(r.id, e)
	r.remember(refusal)
	switch {
	case r.gone:
	case r.begun:
		r.refuseStream(e, refusal)
	default:
		refusalHeaders(r.w.Header(), e)
		writeJSON(r.w, r.outcome.Status, r.errorBody(e, refusal))
	}
}

// refuseStream ends a stream that has begun with an error.
func (r *reply) refuseStream(e *verdict.Error, refusal message.Refusal) {
	switch r.form.(type) {
	case nativeForm:
		r.end(message.StreamEvent{Request: r.id, Refusal: &refusal})
	case chatForm:
		r.end(r.errorBody(e, refusal))
	}
}

// errorBody is a refusal in the shape of the endpoint.
func (r *reply) errorBody(e *verdict.Error, refusal message.Refusal) any {
	if _, ok := r.form.(chatForm); !ok {
		return refusal
	}
	kind := "server_error"
	if r.outcome.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return openai.ErrorAnswer{Error: openai.ErrorBody{
		Message: e.Text(), Type: kind, Code: string(e.Reason()), Verdict: e.Verdict().String(),
		SafeToRetry: e.SafeToRetry(), RetryAfterMs: refusal.RetryAfterMs,
	}}
}

// remember keeps the answer for the ticket's book.
func (r *reply) remember(answer any) {
	if !r.record {
		return
	}
	// Both types of answer always encode.
	raw, err := json.Marshal(answer)
	if err == nil && len(raw) <= maxRecorded {
		r.outcome.Answer = raw
	}
}

// replay answers with the outcome of the ticket's one run, never as a stream.
func (r *reply) replay(out ticket.Outcome) {
	if out.Verdict != verdict.Ran || out.Status != http.StatusOK {
		r.w.Header().Set(wire.HeaderVerdict, out.Verdict.String())
		r.w.Header().Set(headerShouldRetry, "false")
	}
	writeRaw(r.w, out.Status, out.Answer)
}
