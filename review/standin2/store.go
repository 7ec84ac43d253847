package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeHistory is how long the store keeps its history, storeAnswer what an answer takes.
	storeHistory = 20 * time.Second
	storeAnswer  = 4 * time.Millisecond
	// storeLink is what the store's link carries: 1,000 Mbit/s, in bytes a second.
	storeLink = 125e6
	// pageItems is the most items of one page of a list.
	pageItems = 500
)

// change is one change of a key.
type change struct {
	key      string
	value    []byte
	gone     bool
	revision int64
	made     int64
	at       time.Time
}

// item returns the change as the store answers it.
func (c change) item() map[string]any {
	if c.gone {
		return map[string]any{w("key"): c.key, "revision": c.revision, "gone": true}
	}
	return map[string]any{
		w("key"): c.key, "value": base64.StdEncoding.EncodeToString(c.value),
		"revision": c.revision, "made": c.made, "lease": 0,
	}
}

// store is the platform's store.
type store struct {
	rec *record

	mu       sync.Mutex
	items    map[string]change
	history  []change
	revision int64
	// forgotten is the last revision that the history lacks.
	forgotten int64
	changed   chan struct{}
	// lists and watches count the calls, tooOld those that got 410.
	lists, watches, tooOld int
	// longest is the most bytes of an answer to a watch.
	longest int
	// linkFree is when the store's link has carried all answers so far.
	linkFree time.Time
}

func newStore(rec *record) *store {
	return &store{rec: rec, items: map[string]change{}, changed: make(chan struct{})}
}

func (s *store) put(key string, value any) time.Time {
	return s.putText(key, marshal(value))
}

func (s *store) putText(key string, text []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	made := s.revision
	if old, found := s.items[key]; found {
		made = old.made
	}
	c := change{key: key, value: text, revision: s.revision, made: made, at: time.Now()}
	s.items[key] = c
	s.note(c)
	return c.at
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(change{key: key, gone: true, revision: s.revision, at: time.Now()})
}

// note adds a change to the history and wakes the watches. The caller holds the lock.
func (s *store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops the history that is too old. The caller holds the lock.
func (s *store) forget() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > storeHistory {
		s.forgotten = s.history[0].revision
		s.history = s.history[1:]
	}
}

func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+w("range"), s.list)
	mux.HandleFunc("GET "+w("watch"), s.watch)
	// It ends with the process.
	_ = http.Serve(l, mux)
}

// carry waits until the store's link has carried so many bytes more.
func (s *store) carry(n int) {
	s.mu.Lock()
	now := time.Now()
	if s.linkFree.Before(now) {
		s.linkFree = now
	}
	s.linkFree = s.linkFree.Add(time.Duration(float64(n) / storeLink * float64(time.Second)))
	free := s.linkFree
	s.mu.Unlock()
	time.Sleep(free.Sub(now))
}

func (s *store) list(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	prefix, after := r.FormValue(w("prefix")), r.FormValue("after")
	s.mu.Lock()
	s.lists++
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageItems
	items := []any{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[key].item())
	}
	answer := map[string]any{"entries": items, "more": more, "at": s.revision}
	s.mu.Unlock()
	s.answer(rw, answer)
}

func (s *store) watch(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	prefix := r.FormValue(w("prefix"))
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.FormValue("waitMs"))
	timeout := time.After(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	s.count(func() { s.watches++ })
	for {
		events, at, changed, known := s.since(prefix, after)
		if !known {
			s.count(func() { s.tooOld++ })
			rw.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			n := s.answer(rw, map[string]any{"events": events, "at": at})
			s.count(func() { s.longest = max(s.longest, n) })
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(rw, map[string]any{"events": []any{}, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) count(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// since returns what changed after a revision; known is false if the history no longer has it.
func (s *store) since(prefix string, after int64) (events []any, at int64, changed <-chan struct{}, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget()
	if after < s.forgotten {
		return nil, 0, nil, false
	}
	for _, c := range s.history {
		if c.revision > after && strings.HasPrefix(c.key, prefix) {
			events = append(events, c.item())
		}
	}
	return events, s.revision, s.changed, true
}

// answer answers with JSON over the store's link, and returns its length.
func (s *store) answer(rw http.ResponseWriter, v any) int {
	text := marshal(v)
	s.carry(len(text))
	writeText(rw, text)
	return len(text)
}

func marshal(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}

// writeJSON answers with JSON.
func writeJSON(rw http.ResponseWriter, v any) { writeText(rw, marshal(v)) }

func writeText(rw http.ResponseWriter, text []byte) {
	rw.Header().Set("Content-Type", "application/json")
	// The caller sees a connection that broke.
	_, _ = rw.Write(text)
}
