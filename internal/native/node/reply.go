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

// maxRecorded bounds the answer that a ticket's home remembers.
const maxRecorded = 64 << 10

// form is the shape in which a caller wants its answer.
type form interface{ isForm() }

// nativeForm is the shape of the pipeline endpoint.
type nativeForm struct {
	id     string
	stream bool
	bundle int
}

// chatForm is the shape of the OpenAI-compatible endpoint.
type chatForm struct {
	id      string
	model   string
	stream  bool
	usage   bool
	created int64
}

func (nativeForm) isForm() {}
func (chatForm) isForm()   {}

func streams(f form) bool {
	switch f := f.(type) {
	case nativeForm:
		return f.stream
	case chatForm:
		return f.stream
	}
	return false
}

// reply writes one answer to one caller: the whole answer, or an explicit error.
type reply struct {
	w    http.ResponseWriter
	id   string
	form form
	// begun is true once part of a stream was written.
	begun  bool
	output strings.Builder
	// record keeps the answer for a caller that asks again with its ticket.
	record  bool
	verdict verdict.Verdict
	status  int
	kept    []byte
	// undecided is true for a call with a ticket until the book of the ticket's
	// home has spoken; no refusal may say "not run" before.
	undecided bool
	// gone is true when the caller cannot be written to any more.
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
	p.keep(answer)
	if p.gone {
		return
	}
	if !f.stream {
		writeJSON(p.w, http.StatusOK, answer)
		return
	}
	answer.Output = ""
	_ = p.begin()
	_ = p.event(message.StreamEvent{Request: p.id, Answer: &answer})
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
	_ = p.begin()
	_ = p.event(f.chunk(openai.Delta{}, &finish, nil))
	if f.usage {
		_ = p.event(f.chunk(openai.Delta{}, nil, &usage))
	}
	_ = p.data(openai.DoneMark)
}

func (f chatForm) completion(text, finish string, usage openai.Usage) openai.Completion {
	return openai.Completion{
		ID: openai.CompletionID(f.id), Object: openai.ObjectCompletion, Created: f.created, Model: f.model,
		Choices: []openai.Choice{{
			Message:      openai.Message{Role: openai.RoleAssistant, Content: openai.Content(text)},
			FinishReason: finish,
		}},
		Usage: usage,
	}
}

func (f chatForm) chunk(delta openai.Delta, finish *string, usage *openai.Usage) openai.Chunk {
	c := openai.Chunk{
		ID: openai.CompletionID(f.id), Object: openai.ObjectChunk, Created: f.created, Model: f.model,
		Choices: []openai.ChunkChoice{}, Usage: usage,
	}
	if usage == nil {
		c.Choices = append(c.Choices, openai.ChunkChoice{Delta: delta, FinishReason: finish})
	}
	return c
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
	p.keep(refusal)
	switch {
	case p.gone:
	case p.begun:
		p.refuseStream(e, refusal)
	default:
		refusalHeaders(p.w.Header(), e)
		writeJSON(p.w, p.status, p.errorBody(e, refusal))
	}
}

func (p *reply) refuseStream(e *verdict.Error, refusal message.Refusal) {
	switch p.form.(type) {
	case nativeForm:
		_ = p.event(message.StreamEvent{Request: p.id, Refusal: &refusal})
	case chatForm:
		_ = p.event(p.errorBody(e, refusal))
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

// keep remembers the answer for the ticket's book.
func (p *reply) keep(answer any) {
	if !p.record {
		return
	}
	raw, err := json.Marshal(answer)
	if err == nil && len(raw) <= maxRecorded {
		p.kept = raw
	}
}

func (p *reply) outcome() ticket.Outcome {
	return ticket.Outcome{Verdict: p.verdict, Answer: p.kept, Status: p.status}
}

// replay answers with what the ticket's one run ended with, never as a stream.
func (p *reply) replay(out ticket.Outcome) {
	if out.Verdict != verdict.Ran || out.Status != http.StatusOK {
		p.w.Header().Set(wire.HeaderVerdict, out.Verdict.String())
		p.w.Header().Set("X-Should-Retry", "false")
	}
	writeRaw(p.w, out.Status, out.Answer)
}
