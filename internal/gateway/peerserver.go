package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/gossipcodec"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/streamorigin"
	"github.com/honeydyke/honeydyke/internal/gateway/targetspeed"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wire"
)

// peerServer serves the other members. It has no state of its own: each handler decodes a
// message and passes it to the part that handles it.
type peerServer struct {
	now          func() time.Time
	views        *viewKeeper
	gossip       *gossiper
	coordinators *coordinators
	prompts      *promptPlacer
	quarantine   *quarantine.Tracker
	parts        *quarantine.Tracker
	tunnels      *tunnelServer
	streams      *streamOrigins
	loans        *sendLoans
}

func (s *peerServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathGossip, s.serveGossip)
	mux.HandleFunc("POST "+wire.PathItems, s.serveItems)
	mux.HandleFunc("POST "+wire.PathRelease, s.serveRelease)
	mux.HandleFunc("POST "+wire.PathPlan, s.servePlan)
	mux.HandleFunc("POST "+wire.PathPlace, s.servePlace)
	mux.HandleFunc("POST "+wire.PathRead, s.servePrefill)
	mux.HandleFunc("GET "+wire.PathView, s.serveView)
	mux.HandleFunc("GET "+wire.PathSuspects, s.serveHeld)
	mux.HandleFunc("GET "+wire.PathTunnel, s.tunnels.serve)
	mux.HandleFunc("POST "+wire.PathLend, s.loans.serve)
	mux.HandleFunc("POST "+wire.PathStream, s.serveStreamBegun)
	mux.HandleFunc("GET "+wire.PathStream, s.serveStreamOrigin)
	return mux
}

// readJSON decodes the body of a request, and answers with an error if it is malformed.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, wire.MaxAnswerBytes)).Decode(into)
	if err != nil {
		http.Error(w, "the message does not read", http.StatusBadRequest)
	}
	return err == nil
}

// writeJSON writes a message. An error means that the connection is broken, which the other
// end notices itself.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// serveHeld answers with the requests and the parts of prompts that this node holds.
func (s *peerServer) serveHeld(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, message.SuspectList{Requests: s.quarantine.HeldRequests(), Parts: s.parts.HeldRequests()})
}

func (s *peerServer) serveGossip(w http.ResponseWriter, r *http.Request) {
	in, err := gossipcodec.Decode(http.MaxBytesReader(w, r.Body, wire.MaxAnswerBytes), r.Header.Get("Content-Type"))
	if err != nil {
		http.Error(w, "the message does not read", http.StatusBadRequest)
		return
	}
	body, contentType, err := gossipcodec.Encode(s.gossip.reply(in), r.Header.Get("Accept") == gossipcodec.CompactMediaType)
	if err != nil {
		http.Error(w, "the answer cannot be written", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	// As with writeJSON, an error means that the connection is broken.
	_, _ = w.Write(body)
	s.gossip.triggerIfBehind()
}

func (s *peerServer) serveItems(w http.ResponseWriter, r *http.Request) {
	var in message.ItemGroup
	if !readJSON(w, r, &in) {
		return
	}
	now := s.now()
	answer := &itemsReplyWriter{w: w}
	results, err := s.coordinators.run(r.Context(), in.Service, decodeGroup(now, in), answer.inputsRead)
	out := encodeAnswer(results, err)
	out.Withdrawn = encodeWithdrawn(s.now(), err)
	answer.finish(out)
}

// itemsReplyWriter writes the answer to a group. The report that the inputs have been read
// may be written at any time before the end.
type itemsReplyWriter struct {
	mu    sync.Mutex
	w     http.ResponseWriter
	ended bool
}

func (a *itemsReplyWriter) inputsRead() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	writeJSON(a.w, message.ItemResults{Results: []message.ItemResult{}, Started: true})
	// As with writeJSON, an error means that the connection is broken.
	_ = http.NewResponseController(a.w).Flush()
}

func (a *itemsReplyWriter) finish(out message.ItemResults) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	writeJSON(a.w, out)
}

func (s *peerServer) serveRelease(w http.ResponseWriter, r *http.Request) {
	var in message.ItemRelease
	if readJSON(w, r, &in) {
		s.coordinators.release(in.Service, decodeResults(in.Results))
	}
}

func (s *peerServer) servePlan(w http.ResponseWriter, r *http.Request) {
	var in message.ItemPlan
	if !readJSON(w, r, &in) {
		return
	}
	// The error is that the member has gone, or waits no longer.
	answers, err := s.coordinators.plan(r.Context(), decodePlans(s.now(), in))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, encodeQuotes(answers))
}

func (s *peerServer) servePlace(w http.ResponseWriter, r *http.Request) {
	var in message.PromptPlace
	if !readJSON(w, r, &in) {
		return
	}
	q, err := decodePrompt(in)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// An empty target means that there is no engine.
	placed, _ := s.prompts.placeLocally(in.Service, q)
	writeJSON(w, message.PromptPlaced{Target: placed.Engine, CopyFrom: placed.CopyFrom})
}

func (s *peerServer) servePrefill(w http.ResponseWriter, r *http.Request) {
	var in message.PromptRead
	if readJSON(w, r, &in) {
		s.prompts.prefilledLocally(in.Service, in.Request, in.Whole, targetspeed.FromPercent(in.SlowdownPercent))
	}
}

// serveView answers with a delta from the requesting node's revision if the history covers it
// and the node has the same catalog or accepts a new one in a delta, and with a snapshot
// otherwise.
func (s *peerServer) serveView(w http.ResponseWriter, r *http.Request) {
	v := s.views.load()
	if v.Catalog == nil {
		http.Error(w, "no configuration is known", http.StatusServiceUnavailable)
		return
	}
	now := s.now()
	// A malformed revision counts as none: the answer is a snapshot.
	since, _ := strconv.ParseInt(r.FormValue(paramSince), 10, 64)
	d, known := v.DeltaSince(view.Revision(since))
	sameCatalog := r.FormValue(paramVersion) == strconv.FormatInt(v.CatalogVersion(), 10)
	switch {
	case since <= 0 || !known:
		writeJSON(w, encodeSnapshot(now, v))
	case sameCatalog:
		writeJSON(w, encodeDelta(now, d, nil))
	case r.FormValue(paramCatalog) != "":
		writeJSON(w, encodeDelta(now, d, v.Document))
	default:
		writeJSON(w, encodeSnapshot(now, v))
	}
}

// serveStreamBegun keeps where a stream began.
func (s *peerServer) serveStreamBegun(w http.ResponseWriter, r *http.Request) {
	var in message.StreamOrigin
	if !readJSON(w, r, &in) {
		return
	}
	k, ok := streamorigin.ParseKey(in.Key)
	o, known := decodeOrigin(in)
	if !ok || !known {
		http.Error(w, "the message does not read", http.StatusBadRequest)
		return
	}
	s.streams.put(k, o, millis(in.KeepMs), false)
}

// serveStreamOrigin answers where a stream began; the service is empty if this node does not
// know.
func (s *peerServer) serveStreamOrigin(w http.ResponseWriter, r *http.Request) {
	k, ok := streamorigin.ParseKey(r.FormValue(paramKey))
	if !ok {
		http.Error(w, "the key does not read", http.StatusBadRequest)
		return
	}
	o, _, _ := s.streams.find(k)
	writeJSON(w, message.StreamOrigin{Service: o.Service, Version: o.Version.String(), Attempt: o.Attempt})
}
