// Package client calls a native node: it returns the whole answer or a *verdict.Error
// that says whether the request may have run.
//
// It owns one address and one organisation's key; connections are those of its
// http.Client. It relies on the node's answers and streams having an end mark, and
// never sends a request again by itself. When the node cannot be reached, the request
// has not run, unless it carries a ticket: an earlier use of the ticket may have. When
// an answer is lost, cut or not understood, the request may have run.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Answer is a whole answer.
type Answer = message.PipelineAnswer

// Ticket is a ticket or what became of one.
type Ticket = message.TicketAnswer

// State is the state of a node.
type State = message.StateDump

// Request is one request of a pipeline.
type Request struct {
	// Pipeline names the pipeline.
	Pipeline string
	// Input is the text that the stages work on.
	Input string
	// Stream asks for the answer piece by piece.
	Stream bool
	// Deadline is the time until the whole answer must be there, in whole
	// milliseconds on the wire; the pipeline's when zero.
	Deadline time.Duration
	// Identity names the request; the node chooses one when it is empty.
	Identity string
	// Ticket makes the request run at most once, however often it is sent.
	Ticket string
	// Key is an idempotency key, for pipelines whose targets check keys.
	Key string
}

// Client calls one address. Create it with New.
type Client struct {
	base string
	key  string
	http *http.Client
}

// Option changes a Client under construction.
type Option func(*Client)

// WithHTTPClient sets the HTTP client, for TLS or for many connections.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.http = h } }

// New returns a client of the node at base, a URL, with an organisation's key.
func New(base, key string, opts ...Option) *Client {
	c := &Client{base: strings.TrimSuffix(base, "/"), key: key, http: http.DefaultClient}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// WithBase returns a copy that calls another node.
func (c *Client) WithBase(base string) *Client {
	n := *c
	n.base = strings.TrimSuffix(base, "/")
	return &n
}

// WithKey returns a copy that calls as another organisation.
func (c *Client) WithKey(key string) *Client {
	n := *c
	n.key = key
	return &n
}

// Run sends a request and returns the whole answer. Pieces of a stream go to
// onText, which may be nil. The error is a *verdict.Error.
func (c *Client) Run(ctx context.Context, req Request, onText func(string)) (*Answer, error) {
	body, err := json.Marshal(message.PipelineRequest{Input: req.Input, Stream: req.Stream})
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the request cannot be sent").WithCause(err)
	}
	resp, err := c.send(ctx, http.MethodPost, wire.PathPipelines+req.Pipeline, body, headersOf(req))
	if err != nil {
		return nil, ofTicket(req, err)
	}
	defer closeBody(resp)
	if req.Identity != "" && resp.Header.Get(wire.HeaderIdentity) != req.Identity {
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonIdentity, "the answer is for another request")
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(resp, onText)
	}
	var answer Answer
	if err := readWhole(resp, &answer); err != nil {
		return nil, err
	}
	if onText != nil {
		onText(answer.Output)
	}
	return &answer, nil
}

// ofTicket keeps a request with a ticket from being called not run because one
// node could not be reached: an earlier use of the ticket may have run. Only the
// ticket's home can say.
func ofTicket(req Request, err error) error {
	if req.Ticket == "" {
		return err
	}
	return verdict.From(err).WithVerdict(verdict.MayHaveRun).WithUnsafeRetry()
}

// headersOf returns the headers that a request asks for.
func headersOf(req Request) http.Header {
	h := make(http.Header)
	if req.Deadline > 0 {
		h.Set(wire.HeaderDeadline, wire.Milliseconds(req.Deadline))
	}
	if req.Identity != "" {
		h.Set(wire.HeaderIdentity, req.Identity)
	}
	if req.Ticket != "" {
		h.Set(wire.HeaderTicket, req.Ticket)
	}
	if req.Key != "" {
		h.Set(wire.HeaderIdempotency, req.Key)
	}
	return h
}

// TakeTicket asks for the right to run a pipeline at most once.
func (c *Client) TakeTicket(ctx context.Context, pipeline string) (*Ticket, error) {
	body, err := json.Marshal(message.TicketRequest{Pipeline: pipeline})
	if err != nil {
		return nil, err
	}
	return read[Ticket](ctx, c, http.MethodPost, wire.PathTickets, body)
}

// LookTicket asks what became of a ticket.
func (c *Client) LookTicket(ctx context.Context, ticket string) (*Ticket, error) {
	return read[Ticket](ctx, c, http.MethodGet, wire.PathTickets+"/"+ticket, nil)
}

// ReadState reads the state of a node from its admin address, a URL.
func (c *Client) ReadState(ctx context.Context) (*State, error) {
	return read[State](ctx, c, http.MethodGet, wire.PathState, nil)
}

// read sends a request without headers of its own and reads its JSON answer.
func read[T any](ctx context.Context, c *Client, method, path string, body []byte) (*T, error) {
	resp, err := c.send(ctx, method, path, body, nil)
	if err != nil {
		return nil, err
	}
	defer closeBody(resp)
	var answer T
	return &answer, readWhole(resp, &answer)
}

// send sends one HTTP request and returns the head of the answer, whatever its status.
// The caller closes the body.
func (c *Client) send(ctx context.Context, method, path string, body []byte, h http.Header) (*http.Response, error) {
	// The plain Reader keeps net/http from re-sending the body by itself.
	reader := struct{ io.Reader }{bytes.NewReader(body)}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the request cannot be sent").WithCause(err)
	}
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	maps.Copy(req.Header, h)
	req.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, sendError(err)
	}
	return resp, nil
}

// sendError gives the verdict on a request that got no answer: only a failed dial
// proves that it did not run.
func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return verdict.New(verdict.NotRun, verdict.ReasonDial, "the node cannot be reached").WithCause(err)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "the node gave no answer").WithCause(err)
}

// closeBody ends an answer. An error of Close says nothing about what was read before.
func closeBody(resp *http.Response) { _ = resp.Body.Close() }

// readWhole reads a JSON answer or the refusal that came in its place.
func readWhole(resp *http.Response, out any) error {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxAnswerBytes))
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCut, "the answer ended before its end").WithCause(err)
	}
	if resp.StatusCode != http.StatusOK {
		return refused(resp.StatusCode, raw)
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTargetError, "the answer is not what was expected").WithCause(err)
	}
	return nil
}

// refused returns the error of an answer that is not 200. A body that is not a refusal
// came from something other than a node: only its status says anything.
func refused(status int, raw []byte) error {
	var r message.Refusal
	if err := json.Unmarshal(raw, &r); err != nil || r.Verdict == "" {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonTargetError, "the node answered with status %d", status)
	}
	return errorOf(&r)
}

// errorOf returns the error that a refusal on the wire stands for.
func errorOf(r *message.Refusal) error {
	e := verdict.New(verdict.Parse(string(r.Verdict)), verdict.Reason(r.Reason), "%s", r.Text).
		WithStage(r.Stage).WithRetryAfter(time.Duration(r.RetryAfterMs) * time.Millisecond)
	if !r.SafeToRetry {
		e = e.WithUnsafeRetry()
	}
	return e
}

// readStream reads a stream to its end mark, which alone makes it whole.
func readStream(resp *http.Response, onText func(string)) (*Answer, error) {
	var output strings.Builder
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: wire.MaxEventBytes}) {
		if err != nil {
			return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonCut, "the stream broke off").WithCause(err)
		}
		var e message.StreamEvent
		if err := json.Unmarshal([]byte(event.Data), &e); err != nil {
			return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonTargetError, "the stream holds no event").WithCause(err)
		}
		if e.Refusal != nil {
			return nil, errorOf(e.Refusal)
		}
		output.WriteString(e.Text)
		if e.Text != "" && onText != nil {
			onText(e.Text)
		}
		if e.Answer != nil {
			e.Answer.Output = output.String()
			return e.Answer, nil
		}
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonCut, "the stream ended without its end mark")
}
