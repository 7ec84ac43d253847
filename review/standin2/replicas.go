package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// result is one result of a piece.
type result struct {
	maker   *replica
	request string
	stage   int
	index   int
	freed   bool
	expires time.Time
}

// pool is all replicas, and what they hold.
type pool struct {
	rec   *record
	store *store

	mu       sync.Mutex
	results  map[string]*result
	sequence int
	// pieces is called for each piece that a replica begins, and prompts for each request that an engine begins.
	pieces  func(r *replica, p piece, inputs []*result)
	prompts func(r *replica, req *http.Request, inputs []*result)
}

func newPool(rec *record, s *store) *pool {
	return &pool{
		rec: rec, store: s, results: map[string]*result{},
		pieces:  func(*replica, piece, []*result) {},
		prompts: func(*replica, *http.Request, []*result) {},
	}
}

// replica is one process of a service.
type replica struct {
	pool    *pool
	id      string
	service string
	zone    string
	address string
	// stage is set for replicas that run pieces.
	stage  *stageSpec
	server *http.Server
	// work is how long a plain request takes; 0 for an engine's.
	work time.Duration
	// turn holds a call for each that may work at once, waiting one for each that may wait.
	turn    chan struct{}
	waiting chan struct{}
	dead    chan struct{}
	// atWork is the requests whose pieces are at work.
	mu     sync.Mutex
	atWork int
	since  time.Time
}

// stageSpec is how a replica runs pieces.
type stageSpec struct {
	queue int
	call  time.Duration
	item  time.Duration
	life  time.Duration
}

// piece is one piece of a call.
type piece struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Index  int      `json:"segment"`
	Left   *float64 `json:"remainingMs"`
	Inputs []string `json:"inputs"`
}

// start starts a replica of a service and lists it.
func (p *pool) start(service, zone string, slots int, stage *stageSpec) *replica {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	p.sequence++
	id := fmt.Sprintf("i-%06d", p.sequence)
	p.mu.Unlock()
	r := &replica{pool: p, id: id, service: service, zone: zone, address: l.Addr().String(), stage: stage, turn: make(chan struct{}, 1), dead: make(chan struct{})}
	if stage != nil {
		r.waiting = make(chan struct{}, stage.queue)
	}
	r.server = &http.Server{Handler: r}
	go func() {
		// It ends when the replica does.
		_ = r.server.Serve(l)
	}()
	p.rec.line("replica %s of %s starts at %s", id, service, r.address)
	r.list("ready", slots)
	return r
}

// startPlain starts a replica that works on plain requests, so many at once, while others wait.
func (p *pool) startPlain(service, zone string, slots, queue int, work time.Duration) *replica {
	r := p.start(service, zone, slots, nil)
	r.work, r.turn, r.waiting = work, make(chan struct{}, slots), make(chan struct{}, slots+queue)
	return r
}

// plain works on a plain request when its turn comes.
func (r *replica) plain(rw http.ResponseWriter, req *http.Request) {
	select {
	case r.waiting <- struct{}{}:
		defer func() { <-r.waiting }()
	default:
		rw.Header().Set(w("notRun"), "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case r.turn <- struct{}{}:
		defer func() { <-r.turn }()
	case <-req.Context().Done():
		return
	}
	r.pool.rec.line("replica %s of %s runs request %s", r.id, r.service, req.Header.Get(w("attempt")))
	r.pool.prompts(r, req, nil)
	select {
	case <-time.After(r.work):
	case <-r.dead:
		return
	case <-req.Context().Done():
		return
	}
	rw.Header().Set(w("signature"), "s."+r.id)
	rw.Header().Set(w("load"), fmt.Sprintf("%d,%d,%d", len(r.turn), len(r.waiting)-len(r.turn), cap(r.turn)))
	writeText(rw, []byte(`{"done":true}`))
}

// list writes the replica's entry.
func (r *replica) list(state string, slots int) {
	r.pool.store.put(w("serverKeys")+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "concurrencySlots": slots,
		"state": state, w("cold"): 0, "sequenceNumber": 1,
	})
}

// crash ends the replica at once. Its entry goes after three heartbeats.
func (r *replica) crash() {
	r.pool.rec.line("replica %s of %s crashes", r.id, r.service)
	close(r.dead)
	// All connections are closed, whatever the error.
	_ = r.server.Close()
	time.AfterFunc(3600*time.Millisecond, func() { r.pool.store.remove(w("serverKeys") + r.id) })
}

func (r *replica) isDead() bool {
	select {
	case <-r.dead:
		return true
	default:
		return false
	}
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	rw.Header().Set(w("instance"), r.id)
	if id := req.Header.Get(w("attempt")); id != "" {
		rw.Header().Set(w("attempt"), id)
	}
	if expected := req.Header.Get(w("expected")); expected != "" && expected != r.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case req.URL.Path == w("report"):
		r.report(rw)
	case req.URL.Path == w("run") && r.stage != nil:
		r.runPieces(rw, req)
	case req.URL.Path == w("free"):
		r.free(rw, req)
	default:
		r.answer(rw, req)
	}
}

func (r *replica) report(rw http.ResponseWriter) {
	if r.stage == nil {
		writeJSON(rw, map[string]any{"stage": "colocated", "runs": []any{}, "queuedRequests": 0, "activeRequests": 0})
		return
	}
	r.mu.Lock()
	working := 0
	if r.atWork > 0 {
		working = 1
	}
	r.mu.Unlock()
	writeJSON(rw, map[string]any{"queuedRequests": len(r.waiting), "utilisation": working, "freeMb": 1000})
}

// runPieces runs the pieces of a call, one call at a time.
func (r *replica) runPieces(rw http.ResponseWriter, req *http.Request) {
	var call struct {
		Entries []piece `json:"entries"`
	}
	body, err := io.ReadAll(req.Body)
	if err != nil || json.Unmarshal(body, &call) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	arrived := time.Now()
	select {
	case r.turn <- struct{}{}:
	default:
		select {
		case r.waiting <- struct{}{}:
		default:
			rw.Header().Set(w("notRun"), "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case r.turn <- struct{}{}:
			<-r.waiting
		case <-req.Context().Done():
			<-r.waiting
			return
		}
	}
	defer func() { <-r.turn }()
	r.setAtWork(len(call.Entries))
	defer r.setAtWork(0)
	entries := make([]map[string]any, len(call.Entries))
	for i, p := range call.Entries {
		entries[i] = r.begin(p, arrived)
	}
	select {
	case <-time.After(r.stage.call + time.Duration(len(call.Entries))*r.stage.item):
	case <-r.dead:
		return
	}
	for i, p := range call.Entries {
		if entries[i] == nil {
			entries[i] = map[string]any{w("handle"): r.hold(p)}
		}
	}
	rw.Header().Set(w("load"), fmt.Sprintf("1,%d,1", len(r.waiting)))
	writeJSON(rw, map[string]any{"entries": entries})
}

func (r *replica) setAtWork(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.atWork, r.since = n, time.Now()
}

// working returns how many pieces the replica works on, and for how long.
func (r *replica) working() (int, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.atWork, time.Since(r.since)
}

// begin fetches the inputs of a piece; it returns why there is no result, or nil.
func (r *replica) begin(p piece, arrived time.Time) map[string]any {
	if p.Left != nil && time.Since(arrived) > time.Duration(*p.Left*float64(time.Millisecond)) {
		return map[string]any{"reason": "late"}
	}
	inputs, gone := r.pool.fetch(p.Inputs)
	if gone != "" {
		r.pool.rec.line("replica %s of %s: piece %s/%d/%d lacks its input %s", r.id, r.service, p.ID, p.Stage, p.Index, gone)
		return map[string]any{"reason": "gone"}
	}
	r.pool.rec.line("replica %s of %s runs piece %s/%d/%d with %d inputs", r.id, r.service, p.ID, p.Stage, p.Index, len(inputs))
	r.pool.pieces(r, p, inputs)
	return nil
}

// fetch returns the results that handles name, or a handle whose result is gone.
func (p *pool) fetch(handles []string) (inputs []*result, gone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range handles {
		res := p.results[h]
		if res == nil || res.freed || res.maker.isDead() || time.Now().After(res.expires) {
			return nil, h
		}
		inputs = append(inputs, res)
	}
	return inputs, ""
}

// hold keeps a result and returns its handle.
func (r *replica) hold(p piece) string {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.pool.sequence++
	h := fmt.Sprintf("%s/%08x", r.address, r.pool.sequence)
	r.pool.results[h] = &result{maker: r, request: p.ID, stage: p.Stage, index: p.Index, expires: time.Now().Add(r.stage.life)}
	return h
}

func (r *replica) free(rw http.ResponseWriter, req *http.Request) {
	var call map[string][]string
	body, err := io.ReadAll(req.Body)
	if err != nil || json.Unmarshal(body, &call) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	r.pool.mu.Lock()
	for _, h := range call[w("handle")+"s"] {
		if res := r.pool.results[h]; res != nil && res.maker == r {
			res.freed = true
		}
	}
	r.pool.mu.Unlock()
	rw.WriteHeader(http.StatusOK)
}

// events is how many events a stream has, eventGap the time between two of them.
const (
	events   = 4
	eventGap = 20 * time.Millisecond
)

// answer answers a request as an engine does that reads its inputs first.
func (r *replica) answer(rw http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	if r.work > 0 {
		r.plain(rw, req)
		return
	}
	var handles []string
	if text := req.Header.Get(w("handles")); text != "" {
		handles = strings.Split(text, ",")
	}
	inputs, gone := r.pool.fetch(handles)
	if gone != "" {
		rw.Header().Set(w("notRun"), "1")
		rw.WriteHeader(http.StatusConflict)
		return
	}
	r.pool.rec.line("replica %s of %s runs request %s with %d inputs", r.id, r.service, req.Header.Get(w("attempt")), len(inputs))
	r.pool.prompts(r, req, inputs)
	rw.Header().Set(w("signature"), "s."+r.id)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(rw)
	for i := range events {
		select {
		case <-time.After(eventGap):
		case <-r.dead:
			return
		case <-req.Context().Done():
			return
		}
		fmt.Fprintf(rw, "id: %d\ndata: %s %d\n\n", i+1, req.Header.Get(w("attempt")), i+1)
		if flush.Flush() != nil {
			return
		}
	}
}

// counted counts the inputs of each stage and index.
func counted(inputs []*result) map[[2]int]int {
	n := map[[2]int]int{}
	for _, in := range inputs {
		n[[2]int{in.stage, in.index}]++
	}
	return n
}

// inputFault compares the inputs that a piece or a request was given with those that it has to get: all pieces
// of the stages in after, each once, of its own request. It returns what is wrong, or nothing.
func inputFault(request string, after, counts []int, inputs []*result) string {
	for _, in := range inputs {
		if in.request != request {
			return "an input of request " + in.request
		}
		if !slices.Contains(after, in.stage) {
			return fmt.Sprintf("an input of stage %d", in.stage)
		}
	}
	got := counted(inputs)
	for _, stage := range after {
		for i := range counts[stage] {
			switch got[[2]int{stage, i}] {
			case 0:
				return fmt.Sprintf("no input of stage %d, piece %d", stage, i)
			case 1:
			default:
				return fmt.Sprintf("the input of stage %d, piece %d, more than once", stage, i)
			}
		}
	}
	return ""
}
