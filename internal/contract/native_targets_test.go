package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// nativeBundle has one pool for each way in which a target is called, with one target
// each. Their stages have one attempt, since a second one would depend on how busy the
// machine is; only an engine's text goes on at a second one. The organisation
// limited may send one request in many minutes.
const nativeBundle = `{
  "name": "contract", "number": 1, "previous": "",
  "objective": {"attainmentWeight": 0.5, "costWeight": 0.5},
  "organisations": [
    {"name": "plenty", "weight": 1, "keyDigests": ["sha256:%s"],
     "limits": {"concurrency": 1000, "requestsPerSecond": 1000, "tokensPerSecond": 100000}},
    {"name": "limited", "weight": 1, "keyDigests": ["sha256:%s"],
     "limits": {"concurrency": 1000, "requestsPerSecond": 0.001, "tokensPerSecond": 100000}}
  ],
  "models": [{"name": "large", "version": "1"}],
  "pools": [
    {"name": "away", "kind": "service", "checksFences": false, "checksKeys": false, "targets": [%s]},
    {"name": "desk", "kind": "service", "checksFences": false, "checksKeys": false, "targets": [%s]},
    {"name": "engines", "kind": "engine", "model": "large", "checksFences": false, "checksKeys": false, "targets": [%s]},
    {"name": "ledger", "kind": "service", "checksFences": false, "checksKeys": true, "targets": [%s]},
    {"name": "yard", "kind": "service", "checksFences": false, "checksKeys": false, "targets": [%s]}
  ],
  "pipelines": [
    {"name": "away", "deadlineMs": 20000, "stages": [
      {"name": "look", "pool": "desk", "repeatable": true, "attempts": 1, "minimumMs": 2, "cost": {"perCall": 1, "perToken": 0}},
      {"name": "go", "pool": "away", "needs": ["look"], "repeatable": true, "attempts": 1, "minimumMs": 2, "cost": {"perCall": 1, "perToken": 0}}]},
    {"name": "charge", "deadlineMs": 20000, "stages": [
      {"name": "charge", "pool": "ledger", "repeatable": false, "minimumMs": 2, "cost": {"perCall": 1, "perToken": 0}}]},
    {"name": "chat", "deadlineMs": 20000, "stages": [
      {"name": "look", "pool": "desk", "repeatable": true, "attempts": 1, "minimumMs": 2, "cost": {"perCall": 1, "perToken": 0}},
      {"name": "write", "pool": "engines", "needs": ["look"], "repeatable": true, "minimumMs": 2, "instruction": "Be brief.",
       "maxTokens": 20, "onLoss": "continue", "cost": {"perCall": 1, "perToken": 0.5}}]},
    {"name": "cut", "deadlineMs": 20000, "stages": [
      {"name": "write", "pool": "engines", "repeatable": true, "minimumMs": 2, "instruction": "cut",
       "attempts": 1, "maxTokens": 20, "cost": {"perCall": 1, "perToken": 0.5}}]},
    {"name": "locker", "deadlineMs": 20000, "stages": [
      {"name": "release", "pool": "yard", "repeatable": false, "minimumMs": 2, "cost": {"perCall": 1, "perToken": 0}}]},
    {"name": "plain", "deadlineMs": 20000, "stages": [
      {"name": "look", "pool": "desk", "repeatable": true, "attempts": 1, "minimumMs": 2, "cost": {"perCall": 1, "perToken": 0}},
      {"name": "check", "pool": "desk", "needs": ["look"], "repeatable": true, "attempts": 1, "minimumMs": 2, "cost": {"perCall": 1, "perToken": 0}}]}
  ]
}`

// nativePools are the pools of nativeBundle, in its order.
var nativePools = []string{"away", "desk", "engines", "ledger", "yard"}

func nativeBundleText() []byte {
	args := []any{keyDigest("plenty"), keyDigest("limited")}
	for i, pool := range nativePools {
		args = append(args, fmt.Sprintf(`{"name": "%s-1", "address": "127.0.0.1:%d", "dataCentre": "dc-a", "slots": 100}`, pool, i+1))
	}
	return fmt.Appendf(nil, nativeBundle, args...)
}

// keyOf is the bearer key of an organisation.
func keyOf(organisation string) string { return "key-of-" + organisation }

func keyDigest(organisation string) string {
	sum := sha256.Sum256([]byte(keyOf(organisation)))
	return hex.EncodeToString(sum[:])
}

// targetHandler answers as the target of a pool.
func (d *native) targetHandler(pool string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		if bad := d.badReports.Load(); bad && pool == "yard" {
			w.WriteHeader(http.StatusInternalServerError)
			return
		} else if bad {
			_, _ = io.WriteString(w, `{"target":"another"}`)
			return
		}
		_, _ = fmt.Fprintf(w, `{"target":"%s-1","incarnation":"i","running":0,"waiting":0,"leaving":%t}`, pool, pool == "away" && d.away.Load())
	})
	mux.HandleFunc("POST /v1/stage", d.serveStage)
	mux.HandleFunc("POST /v1/chat/completions", serveEngine)
	return mux
}

// serveStage does what the input asks for.
func (d *native) serveStage(w http.ResponseWriter, r *http.Request) {
	var call struct{ Stage, Input string }
	_ = json.NewDecoder(r.Body).Decode(&call) // a wrong call shows in the recorded requests
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	switch call.Input {
	case "slow":
		select {
		case <-d.finish:
		case <-r.Context().Done():
			return
		}
	case "refused":
		w.Header().Set("Honeydyke-Verdict", "not-run")
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "failed":
		w.WriteHeader(http.StatusInternalServerError)
		return
	case "lost":
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, `{"request":%q,"output":"output of %s","tokens":1}`, id, call.Stage)
}

// serveEngine streams three tokens; an instruction can have it break off after
// two, and the word "again" has it do so once.
func serveEngine(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // a wrong call shows in the recorded requests
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("Content-Type", "text/event-stream")
	event := func(choice string) {
		_, _ = fmt.Fprintf(w, "data: {\"id\":\"chatcmpl-%s\",\"choices\":[%s]}\n\n", id, choice)
		_ = http.NewResponseController(w).Flush()
	}
	again := strings.Contains(string(body), `"again"`)
	continued := strings.Contains(string(body), "continue_final_message")
	for i, token := range []string{"one ", "two ", "three"} {
		if i == 2 && (strings.Contains(string(body), `"cut"`) || again && !continued) {
			panic(http.ErrAbortHandler)
		}
		event(fmt.Sprintf(`{"index":0,"delta":{"content":%q},"finish_reason":null}`, token))
	}
	event(`{"index":0,"delta":{},"finish_reason":"stop"}`)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}
