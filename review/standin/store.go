package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's store, which nodes can only read.
type store struct {
	w       *world
	address string

	mu      sync.Mutex
	changed chan struct{}
	at      int64
	items   map[string]map[string]any
	events  []map[string]any
}

// newStore starts a store.
func newStore(w *world) *store {
	s := &store{w: w, changed: make(chan struct{}), items: map[string]map[string]any{}, at: 100}
	ln := listen()
	s.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names["range"], s.list)
	mux.HandleFunc("GET "+names["watch"], s.watch)
	go func() { _ = http.Serve(ln, mux) }()
	return s
}

// Ports are given out from a random one on, below those that the system gives to connections.
const firstPort, lastPort = 11_000, 31_000

var (
	portMu   sync.Mutex
	nextPort = firstPort + rand.IntN(lastPort-firstPort)
)

// listen returns a listener at a free loopback port, which is given to nobody else.
func listen() net.Listener {
	portMu.Lock()
	defer portMu.Unlock()
	for range lastPort - firstPort {
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		if ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort)); err == nil {
			return ln
		}
	}
	fail("no port is free")
	return nil
}

// put writes a key and returns when the store has taken it.
func (s *store) put(key string, document []byte) time.Time {
	return s.change(key, map[string]any{names["key"]: key, "value": base64.StdEncoding.EncodeToString(document), "lease": 0})
}

// remove removes a key and returns when the store has taken that.
func (s *store) remove(key string) time.Time { return s.change(key, nil) }

func (s *store) change(key string, item map[string]any) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	if item == nil {
		delete(s.items, key)
		item = map[string]any{names["key"]: key, "gone": true}
	} else {
		item["made"] = s.at
		if old := s.items[key]; old != nil {
			item["made"] = old["made"]
		}
		s.items[key] = item
	}
	item["revision"] = s.at
	s.events = append(s.events, item)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) list(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []any{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, r.FormValue(names["prefix"])) && key > r.FormValue("after") {
			entries = append(entries, s.items[key])
		}
	}
	answer(rw, map[string]any{"entries": entries, "more": false, "at": s.at})
}

func (s *store) watch(rw http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	over := false
	for {
		s.mu.Lock()
		events, at, changed := s.since(after), s.at, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			answer(rw, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// since returns what changed after a revision. The caller must hold the lock.
func (s *store) since(after int64) []map[string]any {
	events := []map[string]any{}
	for _, e := range s.events {
		if revision, _ := e["revision"].(int64); revision > after {
			events = append(events, e)
		}
	}
	return events
}

// answer writes an answer of the store, which takes 4 ms.
func answer(rw http.ResponseWriter, v any) {
	time.Sleep(4 * time.Millisecond)
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(v)
}
