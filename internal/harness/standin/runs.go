package standin

import (
	"slices"
	"sync"
)

// Run is one call that ran.
type Run struct {
	// Identity is the identity of the call.
	Identity string `json:"identity"`
	// Organisation and Input are what the call carried; a call of an engine carries
	// no organisation.
	Organisation string `json:"organisation,omitempty"`
	Input        string `json:"input,omitempty"`
	// Stage is empty for an engine.
	Stage string `json:"stage,omitempty"`
	// Whole is true when the whole answer was written.
	Whole bool `json:"whole"`
	// Tokens is what an engine generated.
	Tokens int `json:"tokens,omitempty"`
}

// KeyLedger records the idempotency keys that ran at the targets of a pool, which
// share it like the replicas of a service share a database.
type KeyLedger struct {
	mu   sync.Mutex
	seen map[string]bool
}

// NewKeyLedger returns an empty ledger.
func NewKeyLedger() *KeyLedger { return &KeyLedger{seen: make(map[string]bool)} }

// first says whether the key is new, and notes it. A call without a key, or at
// targets that check none, is always new.
func (l *KeyLedger) first(key string) bool {
	if l == nil || key == "" {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen[key] {
		return false
	}
	l.seen[key] = true
	return true
}

// runLog records the calls that ran.
type runLog struct {
	mu   sync.Mutex
	runs []Run
}

// begin records a run and returns its index.
func (l *runLog) begin(run Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run)
	return len(l.runs) - 1
}

// end records how a run ended.
func (l *runLog) end(i int, tokens int, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[i].Tokens = tokens
	l.runs[i].Whole = whole
}

// all returns a copy of the runs.
func (l *runLog) all() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}
