package main

import (
	_ "embed"
	"sync"
	"time"
)

//go:embed config.json
var configFile []byte

// cases are the cases by name. Each enters itself.
var cases = map[string]func(*world){}

// deploy starts the store, and some nodes once the replicas have been started.
func (w *world) deploy(nodes int, replicas func()) {
	w.store = newStore(w)
	w.store.put(names["config"], configFile)
	replicas()
	w.startNodes(nodes)
	// The nodes get to know each other, and count as in touch.
	time.Sleep(4 * time.Second)
}

// spoiler has some replicas send a part of their answers a second time, late, in a span of time.
type spoiler struct {
	mu     sync.Mutex
	active bool
	// answers and spoiled count since the span began.
	answers, spoiled int
	// wants decides by how many answers there were.
	wants func(s *spoiler, status int, path string) bool
}

func (s *spoiler) spoil(status int, path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active {
		return false
	}
	s.answers++
	if !s.wants(s, status, path) {
		return false
	}
	s.spoiled++
	return true
}

func (s *spoiler) set(active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if active {
		s.answers, s.spoiled = 0, 0
	}
	s.active = active
}

// fewestAnswers is of how many answers at least one may come a second time: under three in a hundred.
const fewestAnswers = 34

// counts returns how many answers there were since the span began, and how many came a second time.
func (s *spoiler) counts() (answers, spoiled int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers, s.spoiled
}
