// Package delivery carries calls to targets over HTTP and proves, for every
// call that fails, whether the target may have run it.
//
// It owns the connections to targets and what is known of each call on them: whether
// its first byte may have left, and whether its answer is whole and its own. It
// relies on the target to echo the identity of each call and on net/http not to send
// a call again, which its settings here see to (docs/decisions/0003-verdicts.md lists
// the traps and the tests). When a target or the network fails, the call fails with a
// *verdict.Error; nothing is retried here.
//
// A call is "not run" only when its first byte was never written, or when the
// target's own answer says so: the header Honeydyke-Verdict with the value "not-run",
// on an answer that carries the call's identity.
//
// attempt.go holds the rule of what a call without an answer may claim, answer.go the
// checks of an answer, conn.go the guard of the first byte, and stream.go the streams
// of engines.
package delivery

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/answerhead"
	"github.com/honeydyke/honeydyke/internal/answers"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/tcpconn"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// dialTimeout bounds the time to connect to a target where no option says otherwise:
	// one opening packet that is lost and sent again.
	dialTimeout = 2 * time.Second
	// idleTimeout is how long a connection is kept that no call uses. Targets that close
	// earlier say so.
	idleTimeout = 30 * time.Second
	// idlePerTarget is the most connections kept for one target: as many calls as one
	// engine usually runs.
	idlePerTarget = 64
	// defaultStall is the longest silence of an engine's stream where no option says
	// otherwise (docs/decisions/0009-streams.md).
	defaultStall = 10 * time.Second
)

// Call is one attempt of one stage at one target.
type Call struct {
	// Address is the target's IP number and port.
	Address string
	// Path is the path of the target's endpoint.
	Path string
	// Identity is unique to the attempt; the answer must echo it.
	Identity string
	// Deadline ends the call; it is checked again just before the first write.
	Deadline time.Time
	// Timeout is how long the call may take before it counts as stalled; zero for as
	// long as the deadline allows.
	Timeout time.Duration
	// Key is an idempotency key for targets that check them; empty for none.
	Key string
	// Priority is lower for work that is served first.
	Priority int
	// Once is true when a second run would do harm. Such a call gets a new
	// connection, so that an idle one closed by the target cannot swallow it.
	Once bool
	// Body is the JSON sent.
	Body []byte
	// Permit is checked with the deadline just before the first write; nil
	// permits.
	Permit func() error
}

// Client sends calls. Create it with New.
type Client struct {
	// shared and unused reuse connections, unused for calls of whose answers nothing is used; once
	// and detour make a new one for each call, detour through another node.
	shared *http.Client
	unused *http.Client
	once   *http.Client
	detour *http.Client
	scheme string
	tls    *tls.Config
	// dial bounds the time to connect to a target, dialer applies it.
	dial   time.Duration
	dialer *tcpconn.Dialer
	// paths connects to the targets of Exchange; nil to use the dialer.
	paths Paths
	now   func() time.Time
	// stall is the longest silence of a stream.
	stall time.Duration
	// answers bounds the answers that are being read.
	answers *answers.Pool
}

// Option changes a Client under construction.
type Option func(*Client)

// WithClock sets the clock, which must be monotonic.
func WithClock(now func() time.Time) Option { return func(c *Client) { c.now = now } }

// WithStall sets the longest silence of a stream before it counts as stalled.
func WithStall(d time.Duration) Option { return func(c *Client) { c.stall = d } }

// WithDialTimeout bounds the time to connect to a target.
func WithDialTimeout(d time.Duration) Option {
	return func(c *Client) { c.dial = d }
}

// WithTLS calls targets over TLS.
func WithTLS(cfg *tls.Config) Option {
	return func(c *Client) {
		c.scheme = "https"
		c.tls = cfg
	}
}

// New returns a client of targets over plain HTTP.
func New(opts ...Option) *Client {
	c := &Client{scheme: "http", dial: dialTimeout, now: time.Now, stall: defaultStall, answers: answers.NewPool(answers.PoolBytes(0))}
	for _, opt := range opts {
		opt(c)
	}
	c.dialer = tcpconn.NewDialer(c.dial, tcpconn.OnSilence(func(string) { c.CloseIdle() }))
	c.shared = c.newHTTPClient(c.connect, false)
	c.unused = c.newHTTPClient(c.connect, false)
	c.once = c.newHTTPClient(c.connect, true)
	c.detour = c.newHTTPClient(c.connectDetour, true)
	return c
}

// newHTTPClient returns a client that sends a request once: it follows no
// redirect and speaks no HTTP/2, whose transport re-sends refused requests.
func (c *Client) newHTTPClient(dial dialFunc, fresh bool) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DialContext:         dialGuarded(dial, c.tls == nil),
		TLSClientConfig:     c.tls,
		Protocols:           protocols,
		DisableCompression:  true,
		DisableKeepAlives:   fresh,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: idlePerTarget,
		// Of interim answers all headers together count.
		MaxResponseHeaderBytes: wire.MaxHeaderBytes,
	}
	return &http.Client{
		Transport:     answerhead.Transport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// UseAnswers reads answers into a pool that others may share. It must be called before any call
// is sent.
func (c *Client) UseAnswers(p *answers.Pool) { c.answers = p }

// ReadWhole reads the body of an answer of Exchange, which has at most most bytes. The error is
// a *verdict.Error; the answer's connection then carries no other request.
func (c *Client) ReadWhole(resp *http.Response, most int64) (*answers.Answer, *verdict.Error) {
	a, err := c.answers.Read(resp.Body, most)
	switch {
	case err == nil:
		return a, nil
	case answers.IsTooLong(err):
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonTooLarge, "the answer is too long").WithCause(err)
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonCut, "the answer ended before its end").WithCause(err)
}

// CloseIdle closes connections that no call uses.
func (c *Client) CloseIdle() {
	c.shared.CloseIdleConnections()
	c.unused.CloseIdleConnections()
	c.once.CloseIdleConnections()
}

// Do sends a call and returns the whole answer. The error is a *verdict.Error.
func (c *Client) Do(ctx context.Context, call Call) (*message.StageAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	if call.Timeout > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeoutCause(ctx, call.Timeout, errStalled)
		defer stop()
	}
	ex, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	defer ex.close()
	body, err := ex.readWhole(ctx, c.answers)
	if err != nil {
		return nil, err
	}
	var answer message.StageAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, ex.broken(verdict.ReasonTargetError, "the answer is not the JSON expected").WithCause(err)
	}
	if answer.Request != call.Identity {
		return nil, ex.broken(verdict.ReasonIdentity, "the answer is for %q, the call was %q", answer.Request, call.Identity)
	}
	return &answer, nil
}

// Refuses says whether an instance refuses connections to a target: it runs, and no
// process listens there. It sends nothing; a connection that is taken is closed.
func (c *Client) Refuses(ctx context.Context, t Target) bool {
	if c.paths != nil {
		return c.paths.HasEnded(ctx, t)
	}
	conn, err := c.connect(withTarget(ctx, t), "tcp", t.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// Nothing was sent on it, so that the error of its end says nothing.
	_ = conn.Close()
	return false
}

// Permit is asked just before the first byte of a request is written.
type Permit func() error

// Exchange sends a request to a target with its identity, otherwise as it is, once, and returns
// the head of the request's own answer, with the connection that brought it. The error is nil or
// says whether the request may have reached the target.
func (c *Client) Exchange(req *http.Request, s Sending) (resp *http.Response, conn Conn, failure *verdict.Error) {
	if s.Identity != "" {
		req.Header.Set(s.IdentityHeader, s.Identity)
	}
	return c.exchange(req.WithContext(withTarget(req.Context(), s.Target)), s)
}

// exchangeBy is Exchange by one HTTP client. It records in sent what became of the request.
func exchangeBy(client *http.Client, req *http.Request, s Sending, sent *attempt) (*http.Response, Conn, *verdict.Error) {
	ctx := sent.trace(req.Context(), arming{check: s.Permit, distinct: s.Distinct, body: req.ContentLength})
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, Conn{}, sent.unanswered().WithEvidence(sent.failure(req, err))
	}
	if !isOwn(resp.Header, s.IdentityHeader, s.Identity) {
		conn := sent.answered(resp.StatusCode, echoedIdentity(resp.Header, s.IdentityHeader))
		sent.spoil()
		// The answer is dropped, so that an error of its end changes nothing.
		_ = resp.Body.Close()
		return nil, Conn{}, conn.WithEvidence(foreignError(resp.Header, s.IdentityHeader, s.Identity, resp.StatusCode))
	}
	return resp, sent.answered(resp.StatusCode, s.Identity), nil
}

// send writes the call and checks the answer's header. On an error nothing is
// left open.
func (c *Client) send(ctx context.Context, call Call) (*exchange, error) {
	var sent attempt
	ctx = sent.trace(ctx, arming{check: func() error { return c.checkPermit(call) }, body: int64(len(call.Body))})
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonInternal, "the call could not be built").WithCause(err)
	}
	client := c.shared
	if call.Once {
		client = c.once
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, sent.failure(req, err)
	}
	ex := &exchange{call: call, conn: sent.conn.Load(), resp: resp}
	if err := ex.checkHeader(); err != nil {
		ex.close()
		return nil, err
	}
	return ex, nil
}

// checkPermit runs just before the first byte leaves. A process that was paused finds
// here that its deadline has passed.
func (c *Client) checkPermit(call Call) error {
	if !c.now().Before(call.Deadline) {
		return verdict.New(verdict.NotRun, verdict.ReasonDeadline, "the deadline passed before the first byte was written")
	}
	if call.Permit == nil {
		return nil
	}
	return call.Permit()
}

func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	// The plain Reader hides the type of the body, so that net/http sets no
	// GetBody and its transport has nothing to re-send.
	body := struct{ io.Reader }{bytes.NewReader(call.Body)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+"://"+call.Address+call.Path, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(call.Body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HeaderIdentity, call.Identity)
	req.Header.Set(wire.HeaderDeadline, wire.Milliseconds(call.Deadline.Sub(c.now())))
	if call.Priority != 0 {
		req.Header.Set(wire.HeaderPriority, strconv.Itoa(call.Priority))
	}
	if call.Key != "" {
		req.Header.Set(wire.HeaderIdempotency, call.Key)
	}
	return req, nil
}
