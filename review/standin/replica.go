package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The times of replicas, of the size that site files give.
const (
	deskWork  = 15 * time.Millisecond
	stageCall = 150 * time.Millisecond
	resultTTL = 4 * time.Second
	// lateness is after what time the second copy of an answer can turn up.
	lateness = 150 * time.Millisecond
)

// slots is how many requests a replica of each service works on at once.
var slots = map[string]int{"desk": 6, "ledger": 1, "yard": 1, "pool": 64}

// result is a result of a stage's item.
type result struct {
	// request and index say what it was made for.
	request string
	index   int
	until   time.Time
	freed   bool
}

// replica stands in for one replica of a service.
type replica struct {
	w       *world
	service string
	id      string
	zone    string
	ln      net.Listener
	// work answers a request that the replica may run.
	work func(c *call)
	// spoil decides whether a copy of an answer turns up late; nil for never.
	spoil func(status int, path string) bool
	// perItem is how long a replica of a stage takes for each item, prefill how long an engine takes to the
	// first event.
	perItem, prefill time.Duration

	mu    sync.Mutex
	conns map[net.Conn]bool
	turn  sync.Mutex
}

// call is one request at a replica.
type call struct {
	r    *replica
	conn *replicaConn
	req  *http.Request
	body []byte
	// attempt is the identity that the request carries.
	attempt string
}

// replicaConn is one connection of a replica.
type replicaConn struct {
	net.Conn
	// late is a copy of an earlier answer. It turns up in the place of the first answer that is due from
	// lateFrom on.
	late     []byte
	lateFrom time.Time
}

// startReplica starts a replica at an address, or at a free one if that is empty, and enters it in the store.
func (w *world) startReplica(service, address string, n int, work func(*call)) *replica {
	r := &replica{w: w, service: service, id: w.newID("i-"), zone: zone(n), work: work, conns: map[net.Conn]bool{}}
	if address == "" {
		r.ln = listen()
	} else {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			fail("replica: %v", err)
		}
		r.ln = ln
	}
	go r.serve()
	r.enter("ready")
	return r
}

// key is the replica's key in the store.
func (r *replica) key() string { return names["servers"] + r.id }

// enter writes the replica's entry and returns when the store has taken it.
func (r *replica) enter(state string) time.Time {
	entry, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.ln.Addr().String(), "zone": r.zone, "version": "v1", "concurrencySlots": slots[r.service], "state": state,
		names["warmUp"]: 0, "sequenceNumber": 1,
	})
	at := r.w.store.put(r.key(), entry)
	r.w.note("store: %s of %s at %s is %s", r.id, r.service, r.ln.Addr(), state)
	return at
}

// crash ends the replica at once; its entry stays.
func (r *replica) crash() {
	_ = r.ln.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		reset(conn)
	}
	r.w.note("replica %s of %s crashes", r.id, r.service)
}

func (r *replica) serve() {
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go r.serveConn(conn)
	}
}

func (r *replica) serveConn(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	c := &replicaConn{Conn: conn}
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r.handle(&call{r: r, conn: c, req: req, body: body, attempt: req.Header.Get(names["attempt"])})
	}
}

// handle answers one request.
func (r *replica) handle(c *call) {
	expected := c.req.Header.Get(names["expected"])
	switch {
	case expected != "" && expected != r.id:
		r.w.note("replica %s answers 421 to %s, which was for %s", r.id, c.attempt, expected)
		c.answer(http.StatusMisdirectedRequest, nil, nil)
	case c.req.URL.Path == "/report":
		c.answer(http.StatusOK, nil, []byte(`{"queuedRequests":0,"utilisation":0,"freeMb":9}`))
	case c.req.URL.Path == "/health":
		c.answer(http.StatusOK, nil, nil)
	default:
		r.work(c)
	}
}

// answer writes a whole answer. A copy of an earlier one that is late goes before it.
func (c *call) answer(status int, header map[string]string, body []byte) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if c.attempt != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", names["attempt"], c.attempt)
	}
	fmt.Fprintf(&b, "%s: 1,0,%d\r\n%s: 1\r\n", names["load"], slots[c.r.service], names["weights"])
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	if c.conn.late != nil && !time.Now().Before(c.conn.lateFrom) {
		c.r.w.note("replica %s: the second copy of an earlier answer turns up before that to %s %s", c.r.id, c.req.URL.Path, c.attempt)
		_, _ = c.conn.Write(c.conn.late)
		c.conn.late = nil
	}
	_, _ = c.conn.Write(b.Bytes())
	if c.r.spoil != nil && c.r.spoil(status, c.req.URL.Path) {
		c.conn.late, c.conn.lateFrom = bytes.Clone(b.Bytes()), time.Now().Add(lateness)
		c.r.w.note("replica %s sends its answer %d to %s %s a second time, late", c.r.id, status, c.req.URL.Path, c.attempt)
	}
}

// ran records that a replica has begun work on a request.
func (c *call) ran() {
	c.r.w.mu.Lock()
	defer c.r.w.mu.Unlock()
	c.r.w.runs[c.attempt] = append(c.r.w.runs[c.attempt], c.r.id)
	c.r.w.write(fmt.Sprintf("replica %s runs %s %s %s", c.r.id, c.req.Method, c.req.URL.Path, c.attempt))
}

// plainWork runs a request of a plain service.
func plainWork(c *call) {
	c.ran()
	time.Sleep(deskWork)
	c.answer(http.StatusOK, map[string]string{names["signature"]: "sig." + c.r.id + "." + c.attempt}, []byte("body for "+c.attempt))
}

// stageEntry is an item of a call.
type stageEntry struct {
	ID      string   `json:"id"`
	Stage   int      `json:"stage"`
	Segment int      `json:"segment"`
	Inputs  []string `json:"inputs"`
}

// stageWork runs a call of a stage, one at a time.
func stageWork(c *call) {
	switch c.req.URL.Path {
	case names["stageRun"]:
		c.r.turn.Lock()
		defer c.r.turn.Unlock()
		c.runItems()
	case names["stageFree"]:
		c.freeResults()
		c.answer(http.StatusOK, nil, nil)
	default:
		c.answer(http.StatusNotFound, nil, nil)
	}
}

func (c *call) runItems() {
	var in struct {
		Entries []stageEntry `json:"entries"`
	}
	if err := json.Unmarshal(c.body, &in); err != nil {
		c.answer(http.StatusBadRequest, map[string]string{names["notRun"]: "1"}, nil)
		return
	}
	gone := make([]bool, len(in.Entries))
	for i, e := range in.Entries {
		gone[i] = !c.fetchInputs(fmt.Sprintf("piece %d of stage %d of request %s", e.Segment, e.Stage, e.ID), e.ID, e.Inputs)
	}
	time.Sleep(stageCall + time.Duration(len(in.Entries))*c.r.perItem)
	var out []any
	for i, e := range in.Entries {
		if gone[i] {
			out = append(out, map[string]any{"reason": "gone"})
			continue
		}
		handle := c.r.ln.Addr().String() + "/" + c.r.w.newID("")
		c.r.w.mu.Lock()
		c.r.w.handles[handle] = &result{request: e.ID, index: e.Segment, until: time.Now().Add(resultTTL)}
		c.r.w.write(fmt.Sprintf("replica %s made %s for piece %d of stage %d of request %s", c.r.id, handle, e.Segment, e.Stage, e.ID))
		c.r.w.mu.Unlock()
		out = append(out, map[string]any{names["handle"]: handle})
	}
	body, _ := json.Marshal(map[string]any{"entries": out})
	c.answer(http.StatusOK, map[string]string{"Content-Type": "application/json"}, body)
}

func (c *call) freeResults() {
	var in map[string][]string
	_ = json.Unmarshal(c.body, &in)
	c.r.w.mu.Lock()
	defer c.r.w.mu.Unlock()
	for _, handle := range in[names["handle"]+"s"] {
		if h := c.r.w.handles[handle]; h != nil {
			h.freed = true
		}
	}
}

// engineWork runs a request of a model replica, whose inputs have to be there.
func engineWork(c *call) {
	var inputs []string
	if text := c.req.Header.Get(names["inputs"]); text != "" {
		inputs = strings.Split(text, ",")
	}
	if len(inputs) == 0 {
		c.answer(http.StatusBadRequest, map[string]string{names["notRun"]: "1"}, nil)
		return
	}
	if !c.fetchInputs("request "+c.attempt, c.attempt, inputs) {
		c.answer(http.StatusConflict, map[string]string{names["notRun"]: "1"}, nil)
		return
	}
	c.ran()
	time.Sleep(c.r.prefill)
	var b bytes.Buffer
	for i := 1; i <= 4; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d of %s\n\n", i, i, c.attempt)
	}
	c.answer(http.StatusOK, map[string]string{"Content-Type": "text/event-stream", names["signature"]: "sig." + c.r.id + "." + c.attempt}, b.Bytes())
}

// fetchInputs fetches the inputs of a request or a piece of one, and reports whether all are there. Inputs
// that were made for another request break the rule.
func (c *call) fetchInputs(reader, request string, inputs []string) bool {
	c.r.w.mu.Lock()
	defer c.r.w.mu.Unlock()
	foreign := ""
	for _, handle := range inputs {
		h := c.r.w.handles[handle]
		if h == nil || h.freed || time.Now().After(h.until) {
			c.r.w.write(fmt.Sprintf("replica %s: input %s of %s is gone", c.r.id, handle, reader))
			return false
		}
		if h.request != request {
			foreign = fmt.Sprintf("replica %s was given the input %s for %s; it was made for request %s", c.r.id, handle, reader, h.request)
		}
	}
	if foreign != "" {
		c.r.w.broken = append(c.r.w.broken, foreign)
		c.r.w.write("BROKEN " + foreign)
	}
	return true
}
