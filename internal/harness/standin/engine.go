package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/honeydyke/honeydyke/internal/openai"
	"github.com/honeydyke/honeydyke/internal/wire"
)

// Paths that only engines have. No node calls them yet (docs/DESIGN.md, "Not built
// yet").
const (
	// PathStreams resumes a stream: the identity of its call follows, and the
	// query "from" names the first token that is still wanted.
	PathStreams = "/v1/streams/"
	// PathCacheEvents lists cache events after the query "after".
	PathCacheEvents = "/v1/cache/events"
	// PathKV exports (GET) and imports (PUT) the cache of a prompt; its hash
	// follows.
	PathKV = "/v1/kv/"
	// PathOrders takes orders (POST) and returns the one that is held (GET).
	PathOrders = "/v1/orders"
)

const (
	// keptStreams bounds the streams that can be resumed; not measured.
	keptStreams = 256
	// keptEvents bounds the cache events that can be read; not measured.
	keptEvents = 1024
	// kvBytes is the size of an exported cache; not measured.
	kvBytes = 4096
)

// CacheEvent says that a prompt's prefix came into an engine's cache or left it.
type CacheEvent struct {
	Sequence int    `json:"sequence"`
	Prefix   string `json:"prefix"`
	Stored   bool   `json:"stored"`
}

// Order names what a target is to hold. Its fence is monotone in the version of
// the bundle that it comes from.
type Order struct {
	Fence    int      `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// WithFences makes the target refuse orders with an older fence than it has seen.
func WithFences() TargetOption { return func(t *Target) { t.engine.checksFences = true } }

// WithEventGaps drops every nth cache event.
func WithEventGaps(nth int) TargetOption { return func(t *Target) { t.engine.eventGap = nth } }

// engine is what an engine has beside its streams.
type engine struct {
	checksFences bool
	eventGap     int

	mu      sync.Mutex
	order   Order
	streams map[string]openai.ChatRequest
	names   []string
	events  []CacheEvent
	last    int
}

// handleEngine adds the engine's own endpoints.
func (t *Target) handleEngine(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathStreams+"{id}", t.serveResume)
	mux.HandleFunc("GET "+PathCacheEvents, t.serveEvents)
	mux.HandleFunc("GET "+PathKV+"{prefix}", t.serveExport)
	mux.HandleFunc("PUT "+PathKV+"{prefix}", t.serveImport)
	mux.HandleFunc("POST "+PathOrders, t.serveOrder)
	mux.HandleFunc("GET "+PathOrders, t.serveHeld)
}

// keep remembers a stream so that it can be resumed.
func (e *engine) keep(id string, req openai.ChatRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams == nil {
		e.streams = make(map[string]openai.ChatRequest)
	}
	e.streams[id] = req
	e.names = append(e.names, id)
	if len(e.names) > keptStreams {
		delete(e.streams, e.names[0])
		e.names = e.names[1:]
	}
}

// serveResume sends the rest of a stream, whose tokens were not lost with the
// connection, at once.
func (t *Target) serveResume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	t.engine.mu.Lock()
	req, known := t.engine.streams[id]
	t.engine.mu.Unlock()
	if !known || err != nil || from < 0 {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s := engineStream{t: t, w: w, r: r, req: &req, id: id}
	s.header()
	messages, _ := splitPrefix(&req)
	tokens := EngineTokens(messages, s.ceiling())
	for _, token := range tokens[min(from, len(tokens)):] {
		if !s.token(token) {
			return
		}
	}
	s.end()
}

// noteCache records a cache event, unless it falls into a gap.
func (e *engine) noteCache(prefix string, stored bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last++
	if e.eventGap > 0 && e.last%e.eventGap == 0 {
		return
	}
	e.events = append(e.events, CacheEvent{e.last, prefix, stored})
	if len(e.events) > keptEvents {
		e.events = e.events[keptEvents/2:]
	}
}

// serveEvents lists the cache events after the one that the query names; all of
// them when it names none.
func (t *Target) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	newer := []CacheEvent{}
	t.engine.mu.Lock()
	for _, e := range t.engine.events {
		if e.Sequence > after {
			newer = append(newer, e)
		}
	}
	t.engine.mu.Unlock()
	writeJSON(w, newer)
}

// serveExport answers with the cache of a prompt.
func (t *Target) serveExport(w http.ResponseWriter, r *http.Request) {
	if !t.cache.holds(r.PathValue("prefix")) {
		http.Error(w, "not cached", http.StatusNotFound)
		return
	}
	_, _ = w.Write(make([]byte, kvBytes)) // fails only when the caller has gone
}

// serveImport caches a prompt whose cache another engine exported.
func (t *Target) serveImport(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxRequestBytes))
	if err != nil || len(raw) != kvBytes {
		http.Error(w, "not an exported cache", http.StatusBadRequest)
		return
	}
	t.cache.touch(r.PathValue("prefix"))
	t.engine.noteCache(r.PathValue("prefix"), true)
}

// serveOrder takes an order. A target that checks fences refuses an older one
// than it has seen; one that does not takes whatever comes last.
func (t *Target) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(io.LimitReader(r.Body, wire.MaxRequestBytes)).Decode(&o); err != nil {
		http.Error(w, "not an order", http.StatusBadRequest)
		return
	}
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	if t.engine.checksFences && o.Fence < t.engine.order.Fence {
		http.Error(w, fmt.Sprintf("fence %d is older than %d", o.Fence, t.engine.order.Fence), http.StatusConflict)
		return
	}
	t.engine.order = o
}

// serveHeld answers with the order that was taken last.
func (t *Target) serveHeld(w http.ResponseWriter, _ *http.Request) {
	t.engine.mu.Lock()
	held := t.engine.order
	t.engine.mu.Unlock()
	writeJSON(w, held)
}
