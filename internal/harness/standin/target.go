// Package standin stands in for the systems around the native interface: engines
// that speak OpenAI's chat completions, pools (encoders, retrievers, rerankers),
// plain services, the configuration service, an empty list of instances and a
// store of model weights. A target fails on command and keeps a record of what
// it ran, which tests compare with what callers were answered.
//
// Left out: real models and their memory (an engine's text and speed are computed
// from the prompt), GPU batching, the network, and the users' platform of the
// gateway, whose bench brings stand-ins of its own. It relies on the wire package
// for headers and paths; what does not follow them is refused as not run.
package standin

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/ticket"
	"github.com/honeydyke/honeydyke/internal/wait"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// Paths of the control interface, which only stand-ins have.
const (
	PathFault = "/control/fault"
	PathLeave = "/control/leave"
	PathRuns  = "/control/runs"
)

const (
	// readHeaderTimeout bounds how long a caller may take for its headers; not
	// measured.
	readHeaderTimeout = 5 * time.Second
	// defaultSlots and defaultLateBy hold unless an option says otherwise.
	defaultSlots  = 8
	defaultLateBy = time.Second
)

// Speed is how long a stand-in works.
type Speed struct {
	// Base is the time of every call; an engine spends it before its first token.
	Base time.Duration
	// PerKB is added for each 1,024 bytes of input.
	PerKB time.Duration
	// PerToken is the time between an engine's tokens.
	PerToken time.Duration
}

// Target is a stand-in for one target of any kind.
type Target struct {
	name      string
	slots     int
	speed     Speed
	lateBy    time.Duration
	reportLag time.Duration
	keys      *KeyLedger
	tls       *tls.Config

	calls    atomic.Int64
	slowdown atomic.Int64
	script   Script
	pool     *Script
	runs     runLog
	queue    slotQueue
	loads    loadLog
	cache    prefixCache

	mu          sync.Mutex
	incarnation string
	leaving     bool
	stopped     bool
	listener    net.Listener
	server      *http.Server
}

// TargetOption changes a Target under construction.
type TargetOption func(*Target)

// WithSlots sets how many calls are worked on at once.
func WithSlots(n int) TargetOption { return func(t *Target) { t.slots = n } }

// WithSpeed sets how long calls take.
func WithSpeed(s Speed) TargetOption { return func(t *Target) { t.speed = s } }

// WithLateBy sets the delay of the fault Late.
func WithLateBy(d time.Duration) TargetOption { return func(t *Target) { t.lateBy = d } }

// WithReportLag makes load reports describe the past.
func WithReportLag(d time.Duration) TargetOption { return func(t *Target) { t.reportLag = d } }

// WithKeys makes the targets that share the ledger run one idempotency key at
// most once.
func WithKeys(l *KeyLedger) TargetOption { return func(t *Target) { t.keys = l } }

// WithScript lets the targets of a pool share a script, whose faults come before
// a target's own.
func WithScript(s *Script) TargetOption { return func(t *Target) { t.pool = s } }

// WithTLS lets the target speak TLS.
func WithTLS(cfg *tls.Config) TargetOption { return func(t *Target) { t.tls = cfg } }

// NewTarget returns a stopped stand-in called name.
func NewTarget(name string, opts ...TargetOption) *Target {
	t := &Target{name: name, slots: defaultSlots, lateBy: defaultLateBy}
	for _, opt := range opts {
		opt(t)
	}
	t.queue.free = t.slots
	return t
}

// Start listens on address, an IP number and port, as a new incarnation.
func (t *Target) Start(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if t.tls != nil {
		ln = tls.NewListener(ln, t.tls)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathStage, t.serveStage)
	mux.HandleFunc("POST "+wire.PathChat, t.serveChat)
	mux.HandleFunc("GET "+wire.PathLoad, t.serveLoad)
	mux.HandleFunc("POST "+PathFault, t.serveFault)
	mux.HandleFunc("POST "+PathLeave, t.serveLeave)
	mux.HandleFunc("GET "+PathRuns, t.serveRuns)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.incarnation = ticket.NewSerial()
	t.leaving = false
	t.stopped = false
	t.listener = ln
	t.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func(s *http.Server) { _ = s.Serve(ln) }(t.server) // ends with Crash
	return nil
}

// Address returns the address that the stand-in listens on.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listener.Addr().String()
}

// Name returns the name of the stand-in.
func (t *Target) Name() string { return t.name }

// Crash ends all connections and stops listening. What it ran stays known.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	_ = t.server.Close() // what fails to close is lost as in a crash
}

// Stopped says whether the target has crashed and was not started again.
func (t *Target) Stopped() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopped
}

// Fail makes the next calls meet the fault.
func (t *Target) Fail(f Fault, times int) { t.script.Add(f, times) }

// ClearFaults takes back the faults that no call has met.
func (t *Target) ClearFaults() { t.script.Clear() }

// SlowDown multiplies the time of all later work by a whole factor.
func (t *Target) SlowDown(factor int) { t.slowdown.Store(int64(factor)) }

// pace applies the slowdown to a time.
func (t *Target) pace(d time.Duration) time.Duration {
	return d * time.Duration(max(1, t.slowdown.Load()))
}

// Busy reports whether the target works on a call.
func (t *Target) Busy() bool {
	running, _ := t.queue.counts()
	return running > 0
}

// Calls returns how many calls came, refused ones included.
func (t *Target) Calls() int64 { return t.calls.Load() }

// Leave makes the target refuse new work and say so in its reports.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// Runs returns how often each input ran, by identity of the call.
func (t *Target) Runs() []Run { return t.runs.all() }

// Leaving says whether the target is leaving.
func (t *Target) Leaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving
}

// work holds one of the target's slots for d, or ends with the context.
func (t *Target) work(ctx context.Context, priority int, d time.Duration) error {
	if err := t.queue.enter(ctx, priority); err != nil {
		return err
	}
	defer t.queue.leave()
	return wait.For(ctx, t.pace(d))
}

// refuse answers that nothing ran, by the contract of the header.
func refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderIdentity, r.Header.Get(wire.HeaderIdentity))
	w.Header().Set(wire.HeaderVerdict, verdict.NotRun.String())
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// reset closes the connection without an answer.
func reset(w http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}

// serveLoad answers with the load of reportLag ago.
func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	running, waiting := t.queue.counts()
	now := time.Now()
	t.loads.add(now, running, waiting)
	running, waiting = t.loads.at(now.Add(-t.reportLag))
	t.mu.Lock()
	report := message.LoadReport{
		Target: t.name, Incarnation: t.incarnation, Running: running, Waiting: waiting, Leaving: t.leaving,
	}
	t.mu.Unlock()
	writeJSON(w, report)
}

// serveFault makes the next calls meet a fault.
func (t *Target) serveFault(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Fault Fault `json:"fault"`
		Times int   `json:"times"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || !slices.Contains(Faults, body.Fault) {
		http.Error(w, "unknown fault", http.StatusBadRequest)
		return
	}
	if body.Fault == Crash {
		go t.Crash()
		return
	}
	t.Fail(body.Fault, max(1, body.Times))
}

func (t *Target) serveLeave(http.ResponseWriter, *http.Request) { t.Leave() }

func (t *Target) serveRuns(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Runs()) }

func writeJSON(w http.ResponseWriter, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw) // fails only when the caller has gone
}
