package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wire"
)

func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathGossip, g.serveGossip)
	mux.HandleFunc("POST "+wire.PathItems, g.serveItems)
	mux.HandleFunc("POST "+wire.PathRelease, g.serveRelease)
	mux.HandleFunc("POST "+wire.PathPlan, g.servePlan)
	mux.HandleFunc("POST "+wire.PathPlace, g.servePlace)
	mux.HandleFunc("POST "+wire.PathRead, g.serveRead)
	mux.HandleFunc("GET "+wire.PathView, g.serveView)
	return mux
}

func readMessage(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, wire.MaxAnswerBytes)).Decode(into)
	if err != nil {
		http.Error(w, "the message does not read", http.StatusBadRequest)
	}
	return err == nil
}

func writeMessage(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (g *Gateway) serveItems(w http.ResponseWriter, r *http.Request) {
	var in message.ItemGroup
	if !readMessage(w, r, &in) {
		return
	}
	now := g.now()
	answer := &itemWriter{w: w}
	results, err := g.batches.makeHere(r.Context(), in.Service, groupOf(now, in), answer.started)
	answer.finish(answerMessage(results, err))
}

// itemWriter writes the answer to a group; the news that the inputs are read may
// come at any moment before the end.
type itemWriter struct {
	mu    sync.Mutex
	w     http.ResponseWriter
	ended bool
}

func (a *itemWriter) started() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	writeMessage(a.w, message.ItemResults{Results: []message.ItemResult{}, Started: true})
	_ = http.NewResponseController(a.w).Flush()
}

func (a *itemWriter) finish(out message.ItemResults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	writeMessage(a.w, out)
}

func (g *Gateway) serveRelease(w http.ResponseWriter, r *http.Request) {
	var in message.ItemRelease
	if readMessage(w, r, &in) {
		g.batches.releaseHere(in.Service, resultsOf(in.Results))
	}
}

func (g *Gateway) servePlan(w http.ResponseWriter, r *http.Request) {
	var in message.ItemPlan
	if !readMessage(w, r, &in) {
		return
	}
	out := message.ItemBacklogs{BacklogMs: make([]int, len(in.Stages))}
	for i, stage := range stagesOf(g.now(), in) {
		if in.Cancelled {
			g.batches.cancelHere(in.Request, stage)
			continue
		}
		out.BacklogMs[i] = int(g.batches.planHere(r.Context(), in.Request, stage).Milliseconds())
	}
	writeMessage(w, out)
}

func (g *Gateway) serveGossip(w http.ResponseWriter, r *http.Request) {
	var in message.Gossip
	if !readMessage(w, r, &in) {
		return
	}
	writeMessage(w, g.gossip.answer(in))
	g.gossip.answered()
}

func (g *Gateway) serveView(w http.ResponseWriter, r *http.Request) {
	v := g.views.load()
	if v.Catalog == nil {
		http.Error(w, "no configuration is known", http.StatusServiceUnavailable)
		return
	}
	now := g.now()
	// A revision that does not parse counts as none: the answer is the whole view.
	since, _ := strconv.ParseInt(r.FormValue(paramSince), 10, 64)
	if r.FormValue(paramVersion) == strconv.FormatInt(v.Version(), 10) && since > 0 {
		if d, known := v.DeltaSince(since); known {
			writeMessage(w, deltaMessage(now, d))
			return
		}
	}
	writeMessage(w, snapshotMessage(now, v))
}
