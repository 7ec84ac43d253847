// Package standin holds small stand-ins for the systems that honeydyke meets:
// engines, pools, plain services, the configuration service and the list of
// instances. Each can fail on command and keeps a record of what it ran, which
// tests hold against what callers were told.
package standin

import (
	"container/heap"
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

const readHeaderTimeout = 5 * time.Second

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
	book     runBook
	queue    slotQueue
	reload   reportLog
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
	t := &Target{name: name, slots: 8, lateBy: time.Second}
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
	go func(s *http.Server) { _ = s.Serve(ln) }(t.server)
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
	_ = t.server.Close()
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

// Busy says whether a call is at work.
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
func (t *Target) Runs() []Run { return t.book.all() }

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

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	running, waiting := t.queue.counts()
	now := time.Now()
	t.reload.add(now, running, waiting)
	running, waiting = t.reload.at(now.Add(-t.reportLag))
	t.mu.Lock()
	report := message.LoadReport{
		Target: t.name, Incarnation: t.incarnation, Running: running, Waiting: waiting, Leaving: t.leaving,
	}
	t.mu.Unlock()
	writeJSON(w, report)
}

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
	_, _ = w.Write(raw)
}

// Run is one call that ran.
type Run struct {
	// Identity is the identity of the call.
	Identity string `json:"identity"`
	// Organisation and Input are what the call carried; an engine is told no
	// organisation.
	Organisation string `json:"organisation,omitempty"`
	Input        string `json:"input,omitempty"`
	// Stage is empty for an engine.
	Stage string `json:"stage,omitempty"`
	// Whole is true when the whole answer was written.
	Whole bool `json:"whole"`
	// Tokens is what an engine generated.
	Tokens int `json:"tokens,omitempty"`
}

// KeyLedger is what the targets of a pool know together of the idempotency keys
// that ran, as one service with a store of its own does.
type KeyLedger struct {
	mu   sync.Mutex
	seen map[string]bool
}

// NewKeyLedger returns an empty ledger.
func NewKeyLedger() *KeyLedger { return &KeyLedger{seen: make(map[string]bool)} }

// first says whether the key is new, and notes it. A call without a key, or at
// targets that check none, is always new.
func (l *KeyLedger) first(key string) bool {
	if l == nil || key == "" {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen[key] {
		return false
	}
	l.seen[key] = true
	return true
}

// runBook records the calls that ran.
type runBook struct {
	mu   sync.Mutex
	runs []Run
}

// begin records a run and returns its index.
func (b *runBook) begin(run Run) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs = append(b.runs, run)
	return len(b.runs) - 1
}

func (b *runBook) end(i int, tokens int, whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[i].Tokens = tokens
	b.runs[i].Whole = whole
}

func (b *runBook) all() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// slotQueue bounds the calls at work and orders those that wait by priority,
// then by arrival.
type slotQueue struct {
	mu      sync.Mutex
	free    int
	running int
	turn    int
	waiting waiters
}

type waiter struct {
	priority int
	turn     int
	ready    chan struct{}
	gone     bool
}

func (q *slotQueue) enter(ctx context.Context, priority int) error {
	q.mu.Lock()
	if q.free > 0 {
		q.free--
		q.running++
		q.mu.Unlock()
		return nil
	}
	q.turn++
	me := &waiter{priority: priority, turn: q.turn, ready: make(chan struct{})}
	heap.Push(&q.waiting, me)
	q.mu.Unlock()
	select {
	case <-me.ready:
		return nil
	case <-ctx.Done():
		return q.abandon(ctx, me)
	}
}

func (q *slotQueue) abandon(ctx context.Context, me *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-me.ready:
		q.release()
	default:
		me.gone = true
	}
	return ctx.Err()
}

func (q *slotQueue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.release()
}

func (q *slotQueue) release() {
	q.free++
	q.running--
	for q.free > 0 && len(q.waiting) > 0 {
		next := heap.Pop(&q.waiting).(*waiter)
		if next.gone {
			continue
		}
		q.free--
		q.running++
		close(next.ready)
	}
}

func (q *slotQueue) counts() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.waiting {
		if !w.gone {
			waiting++
		}
	}
	return q.running, waiting
}

type waiters []*waiter

func (ws waiters) Len() int { return len(ws) }

func (ws waiters) Less(i, j int) bool {
	if ws[i].priority != ws[j].priority {
		return ws[i].priority < ws[j].priority
	}
	return ws[i].turn < ws[j].turn
}

func (ws waiters) Swap(i, j int) { ws[i], ws[j] = ws[j], ws[i] }

// Push implements heap.Interface.
func (ws *waiters) Push(x any) { *ws = append(*ws, x.(*waiter)) }

// Pop implements heap.Interface.
func (ws *waiters) Pop() any {
	old := *ws
	w := old[len(old)-1]
	*ws = old[:len(old)-1]
	return w
}

// reportLog remembers the load so that reports can lag.
type reportLog struct {
	mu     sync.Mutex
	points []loadPoint
}

type loadPoint struct {
	at      time.Time
	running int
	waiting int
}

func (l *reportLog) add(at time.Time, running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.points = append(l.points, loadPoint{at, running, waiting})
	if len(l.points) > 1024 {
		l.points = l.points[512:]
	}
}

// at returns the newest load that is not newer than t.
func (l *reportLog) at(t time.Time) (running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.points) - 1; i >= 0; i-- {
		if !l.points[i].at.After(t) {
			return l.points[i].running, l.points[i].waiting
		}
	}
	return 0, 0
}
