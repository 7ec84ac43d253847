package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/openai"
	"github.com/honeydyke/honeydyke/internal/saturate"
	"github.com/honeydyke/honeydyke/internal/wait"
	"github.com/honeydyke/honeydyke/internal/wire"
)

const (
	// defaultCeiling is the most tokens of an answer whose request names no ceiling.
	defaultCeiling = 64
	bytesPerKB     = 1024
	// foreignIdentity is the identity that crossed answers carry.
	foreignIdentity = "somebody-else"
	// cacheEntries bounds an engine's prefix cache, in prompts.
	cacheEntries = 64
	// cacheShare is the share of the time before the first token that a cached prefix
	// costs.
	cacheShare = 0.1
)

// serveStage is the endpoint of pools and plain services.
func (t *Target) serveStage(w http.ResponseWriter, r *http.Request) {
	fault := t.meet()
	if t.beforeRun(w, r, fault) {
		return
	}
	var call message.StageCall
	if !readBody(w, r, &call) {
		refuse(w, r)
		return
	}
	id := r.Header.Get(wire.HeaderIdentity)
	if t.keys.first(r.Header.Get(wire.HeaderIdempotency)) && !t.runStage(r, id, &call) {
		return
	}
	t.answer(w, r, fault, message.StageAnswer{Request: id, Output: StageOutput(call), Tokens: 1})
}

// readBody decodes the body of a call and is false when it is not JSON. It resets
// the connection when the body does not arrive.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	raw, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxRequestBytes))
	if err != nil {
		reset(w)
	}
	return json.Unmarshal(raw, into) == nil
}

// runStage does the work of a call and is false when the caller went away.
func (t *Target) runStage(r *http.Request, id string, call *message.StageCall) bool {
	i := t.runs.begin(Run{Identity: id, Organisation: call.Organisation, Input: call.Input, Stage: call.Stage})
	took := t.speed.Base + time.Duration(len(call.Input)/bytesPerKB)*t.speed.PerKB
	if t.work(r.Context(), priority(r), took) != nil {
		return false
	}
	t.runs.end(i, 1, true)
	t.pool.reached(Worked)
	return true
}

// meet counts a call and returns the fault that it meets.
func (t *Target) meet() Fault {
	t.calls.Add(1)
	t.pool.reached(Arrived)
	if f := t.pool.take(); f != "" {
		return f
	}
	return t.script.take()
}

// beforeRun carries out the faults that come before anything runs.
func (t *Target) beforeRun(w http.ResponseWriter, r *http.Request, fault Fault) bool {
	switch {
	case t.Leaving(), fault == Refuse:
		refuse(w, r)
		return true
	case fault == RefuseBare:
		w.Header().Set(wire.HeaderIdentity, r.Header.Get(wire.HeaderIdentity))
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case fault == ResetBefore:
		reset(w)
	case fault == Redirect:
		w.Header().Set(wire.HeaderIdentity, r.Header.Get(wire.HeaderIdentity))
		http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		return true
	case fault == Crash:
		t.Crash()
		reset(w)
	}
	return false
}

// answer writes the answer with the fault's damage. What cannot be written is lost
// with the caller's connection, as by any server, so errors of writing are dropped.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, fault Fault, a message.StageAnswer) {
	id := a.Request
	switch fault {
	case ResetAfter:
		reset(w)
	case Late:
		_ = wait.For(r.Context(), t.lateBy) // the answer is written also to a caller who has gone
	case WrongIdentity:
		id = foreignIdentity
		a.Request = foreignIdentity
	case WrongBody:
		a.Request = foreignIdentity
	}
	raw, err := json.Marshal(a)
	if err != nil {
		reset(w)
	}
	w.Header().Set(wire.HeaderIdentity, id)
	w.Header().Set("Content-Type", "application/json")
	switch fault {
	case ResetDuring, Stall:
		w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		_, _ = w.Write(raw[:len(raw)/2])
		_ = http.NewResponseController(w).Flush()
		if fault == Stall {
			<-r.Context().Done()
		}
		reset(w)
	case Cut, Twice:
		writeRaw(w, fault, id, raw)
	default:
		_, _ = w.Write(raw)
	}
}

// writeRaw takes over the connection: Cut sends half an answer without a length
// and closes cleanly, Twice sends the answer two times.
func writeRaw(w http.ResponseWriter, fault Fault, id string, raw []byte) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		reset(w)
	}
	defer func() { _ = conn.Close() }()
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + wire.HeaderIdentity + ": " + id + "\r\n"
	if fault == Cut {
		_, _ = fmt.Fprintf(buf, "%sConnection: close\r\n\r\n%s", head, raw[:len(raw)/2])
		_ = buf.Flush()
		return
	}
	for range 2 {
		_, _ = fmt.Fprintf(buf, "%sContent-Length: %d\r\n\r\n%s", head, len(raw), raw)
	}
	_ = buf.Flush()
}

// priority returns the priority of a call; one without a number has 0.
func priority(r *http.Request) int {
	n, _ := strconv.Atoi(r.Header.Get(wire.HeaderPriority))
	return n
}

// serveChat is the endpoint of engines.
func (t *Target) serveChat(w http.ResponseWriter, r *http.Request) {
	fault := t.meet()
	if t.beforeRun(w, r, fault) {
		return
	}
	var req openai.ChatRequest
	if !readBody(w, r, &req) || !req.Stream {
		refuse(w, r)
		return
	}
	id := r.Header.Get(wire.HeaderIdentity)
	i := t.runs.begin(Run{Identity: id, Input: lastMessage(&req)})
	if err := t.queue.enter(r.Context(), max(priority(r), req.Priority)); err != nil {
		return
	}
	defer t.queue.leave()
	s := engineStream{t: t, w: w, r: r, req: &req, id: id, fault: fault}
	whole := false
	defer func() { t.runs.end(i, s.sent, whole) }() // also when the fault ends it by a panic
	whole = s.run()
}

// lastMessage returns what the caller asked, below what stages put before it.
func lastMessage(req *openai.ChatRequest) string {
	messages, _ := splitPrefix(req)
	if len(messages) == 0 {
		return ""
	}
	return string(messages[len(messages)-1].Content)
}

// engineStream is one answer of an engine.
type engineStream struct {
	t     *Target
	w     http.ResponseWriter
	r     *http.Request
	req   *openai.ChatRequest
	id    string
	fault Fault
	sent  int
}

// run generates the answer and is true when all of it was sent.
func (s *engineStream) run() bool {
	messages, prefix := splitPrefix(s.req)
	if wait.For(s.r.Context(), s.t.pace(s.prefill(messages))) != nil {
		return false
	}
	s.header()
	// A continued answer's ceiling is what is left of the whole one's.
	from := strings.Count(prefix, " ")
	tokens := EngineTokens(messages, s.ceiling()+from)
	from = min(from, len(tokens))
	start := time.Now()
	for i := from; i < len(tokens); i++ {
		if i-from == (len(tokens)-from)/2 && s.damage() {
			return false
		}
		// Tokens keep an absolute pace, so that late timers do not add up.
		due := start.Add(time.Duration(i-from+1) * s.t.pace(s.t.speed.PerToken))
		if wait.For(s.r.Context(), time.Until(due)) != nil || !s.token(tokens[i]) {
			return false
		}
	}
	return s.end()
}

// ceiling returns the most tokens of the answer.
func (s *engineStream) ceiling() int {
	if n := s.req.CeilingOfTokens(); n > 0 {
		return n
	}
	return defaultCeiling
}

// prefill returns the time before the first token, and caches the prompt.
func (s *engineStream) prefill(messages []openai.Message) time.Duration {
	size := 0
	var text strings.Builder
	for _, m := range messages {
		size += len(m.Content)
		text.WriteString(string(m.Content))
	}
	full := s.t.speed.Base + time.Duration(size/bytesPerKB)*s.t.speed.PerKB
	if s.t.cache.touch(text.String()) {
		return saturate.Duration(cacheShare * float64(full))
	}
	return full
}

// header starts the answer.
func (s *engineStream) header() {
	id := s.id
	if s.fault == WrongIdentity {
		id = foreignIdentity
	}
	s.w.Header().Set(wire.HeaderIdentity, id)
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.WriteHeader(http.StatusOK)
}

// damage carries out the faults in the middle of a stream and is true when the
// stream ends there.
func (s *engineStream) damage() bool {
	s.t.pool.reached(Worked)
	switch s.fault {
	case ResetDuring, ResetAfter:
		reset(s.w)
	case Stall:
		<-s.r.Context().Done()
		return true
	case Late:
		_ = wait.For(s.r.Context(), s.t.lateBy)
	case Cut:
		return true
	case WrongBody:
		s.id = foreignIdentity
	}
	return false
}

// token sends one token and is false when the caller has gone.
func (s *engineStream) token(text string) bool {
	s.sent++
	return s.chunk(openai.ChunkChoice{Delta: openai.Delta{Content: text}}, nil)
}

// end sends the last chunk and the end mark.
func (s *engineStream) end() bool {
	finish := openai.FinishStop
	usage := &openai.Usage{CompletionTokens: s.sent, TotalTokens: s.sent}
	rounds := 1
	if s.fault == Twice {
		rounds = 2
	}
	for range rounds {
		if !s.chunk(openai.ChunkChoice{FinishReason: &finish}, usage) {
			return false
		}
		if _, err := io.WriteString(s.w, "data: "+openai.DoneMark+"\n\n"); err != nil {
			return false
		}
	}
	return http.NewResponseController(s.w).Flush() == nil
}

// chunk sends one event of the stream.
func (s *engineStream) chunk(choice openai.ChunkChoice, usage *openai.Usage) bool {
	raw, err := json.Marshal(openai.Chunk{
		ID: openai.CompletionID(s.id), Object: openai.ObjectChunk, Model: s.req.Model,
		Choices: []openai.ChunkChoice{choice}, Usage: usage,
	})
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", raw); err != nil {
		return false
	}
	return http.NewResponseController(s.w).Flush() == nil
}

// prefixCache remembers the hashes of the newest prompts, as an engine's prefix
// cache does.
type prefixCache struct {
	mu      sync.Mutex
	prompts []uint64
}

// touch says whether the prompt was cached, and caches it.
func (c *prefixCache) touch(prompt string) bool {
	hash := xxhash.Sum64String(prompt)
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.Index(c.prompts, hash)
	hit := i >= 0
	if hit {
		c.prompts = slices.Delete(c.prompts, i, i+1)
	}
	c.prompts = append(c.prompts, hash)
	if len(c.prompts) > cacheEntries {
		c.prompts = c.prompts[1:]
	}
	return hit
}
