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

// maxRecorded bounds the answer that a ticket's home remembers, in bytes; not
// measured. A longer one is not kept, and a later use of the ticket learns only
// its verdict.
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
	record   bool
	recorded []byte
	verdict  verdict.Verdict
	status   int
	// undecided is true for a call with a ticket until the book of the ticket's
	// home has answered; no refusal may say "not run" before.
	undecided bool
	// gone is true when a recorded answer could not be written to its caller.
	gone bool
}

// text takes the next piece of the output.
func (p *reply) text(text string) error {
	if !streams(p.form) || p.record {
		p.output.WriteString(text)
	}
	if !streams(p.form) {
		return nil
	}
	err := p.streamText(text)
	if err != nil && p.record {
		p.gone = true // the run goes on for the ticket
		return nil
	}
	return err
}

// streamText writes the next piece of a stream.
func (p *reply) streamText(text string) error {
	if p.gone {
		return nil
	}
	if err := p.begin(); err != nil {
		return err
	}
	switch f := p.form.(type) {
	case nativeForm:
		return p.event(message.StreamEvent{Request: p.id, Text: text})
	case chatForm:
		return p.event(f.chunk(openai.Delta{Content: text}, nil, nil))
	}
	return nil
}

// begin writes the header of a stream, once.
func (p *reply) begin() error {
	if p.begun {
		return nil
	}
	p.begun = true
	p.w.Header().Set("Content-Type", "text/event-stream")
	p.w.Header().Set("Cache-Control", "no-store")
	p.w.WriteHeader(http.StatusOK)
	if f, ok := p.form.(chatForm); ok {
		return p.event(f.chunk(openai.Delta{Role: openai.RoleAssistant}, nil, nil))
	}
	return nil
}

// event writes one server-sent event.
func (p *reply) event(payload any) error {
	raw, err := json.Marshal(payload)
	if err != nil {
		return err
	}
	return p.data(string(raw))
}

// data writes one server-sent event whose data is text.
func (p *reply) data(text string) error {
	var m sse.Message
	m.AppendData(text)
	if _, err := m.WriteTo(p.w); err != nil {
		return err
	}
	return http.NewResponseController(p.w).Flush()
}

// finish writes the end of a whole answer.
func (p *reply) finish(res *result) {
	p.verdict = verdict.Ran
	p.status = http.StatusOK
	switch f := p.form.(type) {
	case nativeForm:
		p.finishNative(f, res)
	case chatForm:
		p.finishChat(f, res)
	}
}

func (p *reply) finishNative(f nativeForm, res *result) {
	answer := message.PipelineAnswer{Request: p.id, Output: p.output.String(), Finish: res.finish, Bundle: f.bundle, Stages: res.stages}
	p.w.Header().Set(wire.HeaderBundle, strconv.Itoa(f.bundle))
	p.remember(answer)
	if p.gone {
		return
	}
	if !f.stream {
		writeJSON(p.w, http.StatusOK, answer)
		return
	}
	answer.Output = "" // the stream has carried it
	p.end(message.StreamEvent{Request: p.id, Answer: &answer})
}

func (p *reply) finishChat(f chatForm, res *result) {
	finish := res.finish
	if finish == "" {
		finish = openai.FinishStop
	}
	usage := openai.Usage{CompletionTokens: res.tokens, TotalTokens: res.tokens}
	if !f.stream {
		writeJSON(p.w, http.StatusOK, f.completion(p.output.String(), finish, usage))
		return
	}
	p.end(f.chunk(openai.Delta{}, &finish, nil))
	if f.usage {
		p.end(f.chunk(openai.Delta{}, nil, &usage))
	}
	_ = p.data(openai.DoneMark) // fails only when the caller is gone, as in end
}

// end writes one of the last events of a stream. An error means that the caller
// is gone: nobody is left to answer, and the run has ended.
func (p *reply) end(payload any) {
	_ = p.begin()
	_ = p.event(payload)
}

// refuse writes an explicit error, in the middle of a stream as its last event.
func (p *reply) refuse(err error) {
	e := verdict.From(err)
	if p.undecided {
		e = e.WithVerdict(verdict.MayHaveRun).WithUnsafeRetry()
	}
	p.verdict = e.Verdict()
	p.status = statusOf(e.Reason())
	refusal := refusalOf(p.id, e)
	p.remember(refusal)
	switch {
	case p.gone:
	case p.begun:
		p.refuseStream(e, refusal)
	default:
		refusalHeaders(p.w.Header(), e)
		writeJSON(p.w, p.status, p.errorBody(e, refusal))
	}
}

// refuseStream ends a stream that has begun with an error.
func (p *reply) refuseStream(e *verdict.Error, refusal message.Refusal) {
	switch p.form.(type) {
	case nativeForm:
		p.end(message.StreamEvent{Request: p.id, Refusal: &refusal})
	case chatForm:
		p.end(p.errorBody(e, refusal))
	}
}

// errorBody is a refusal in the shape of the endpoint.
func (p *reply) errorBody(e *verdict.Error, refusal message.Refusal) any {
	if _, ok := p.form.(chatForm); !ok {
		return refusal
	}
	kind := "server_error"
	if p.status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return openai.ErrorAnswer{Error: openai.ErrorBody{
		Message: e.Text(), Type: kind, Code: string(e.Reason()), Verdict: e.Verdict().String(),
		SafeToRetry: e.SafeToRetry(), RetryAfterMs: refusal.RetryAfterMs,
	}}
}

// remember keeps the answer for the ticket's book.
func (p *reply) remember(answer any) {
	if !p.record {
		return
	}
	// Both types of answer always encode.
	raw, err := json.Marshal(answer)
	if err == nil && len(raw) <= maxRecorded {
		p.recorded = raw
	}
}

// outcome is what the ticket's book keeps of the answer.
func (p *reply) outcome() ticket.Outcome {
	return ticket.Outcome{Verdict: p.verdict, Answer: p.recorded, Status: p.status}
}

// replay answers with the outcome of the ticket's one run, never as a stream.
func (p *reply) replay(out ticket.Outcome) {
	if out.Verdict != verdict.Ran || out.Status != http.StatusOK {
		p.w.Header().Set(wire.HeaderVerdict, out.Verdict.String())
		p.w.Header().Set(headerShouldRetry, "false")
	}
	writeRaw(p.w, out.Status, out.Answer)
}
