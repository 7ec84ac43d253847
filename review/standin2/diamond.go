package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Case diamond: a stage that reads the results of two stages, of which one reads the other's.

// diamondAfter are the stages that each stage reads, the last entry those that the request reads.
var diamondAfter = [][]int{{}, {0}, {0, 1}, {2}}

// diamondCounts is how many pieces the stages of a request have.
var diamondCounts = []int{1, 4, 6}

func diamondConfig() map[string]any {
	stage := func(service string, after []int, bytes int) map[string]any {
		return map[string]any{"service": service, "after": after, w("bytes"): bytes}
	}
	pieces := func(name string, batch int, item, room float64) map[string]any {
		return map[string]any{"name": name, w("connections"): 360, "segments": map[string]any{
			"concurrencySlots": 1, "queue": 2, "batch": batch, w("call"): 200, w("item"): item,
			w("room"): room, w("life"): 4.0, "linkBandwidthMbps": 10000,
		}}
	}
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "answers", "host": "a.example", w("prefix"): "/answers/", "kind": "streaming", "timeoutMs": 15000,
			w("objective"): 2000, "priority": 0, "service": "pool", "maxAttempts": 1, "public": false,
			w("resumption"): false, w("pause"): 400,
			"stages": []any{stage("encode", diamondAfter[0], 8000), stage("retrieve", diamondAfter[1], 60000), stage("rerank", diamondAfter[2], 6000)},
		}},
		"services": []any{
			map[string]any{"name": "pool", w("connections"): 360, w("engine"): map[string]any{"concurrencySlots": 64, w("engineTokens"): 343821}},
			pieces("encode", 8, 21, 18), pieces("retrieve", 24, 7.1, 3.1), pieces("rerank", 40, 4.3, 0.52),
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "acme", w("keys"): []string{"key1"}, "priority": 1}},
	}
}

const (
	// diamondLength is for how long requests are sent, diamondGap the time between two.
	diamondLength = 16 * time.Second
	diamondGap    = 150 * time.Millisecond
)

func playDiamond(s *scene) (bool, string, error) {
	d, err := newDeployment(s.rec, s.dir, 6)
	if err != nil {
		return false, "", err
	}
	defer d.stopAll()
	p := newPool(s.rec, d.store)
	var mu sync.Mutex
	var faults []string
	note := func(what, request, fault string) {
		if fault == "" {
			return
		}
		s.rec.line("MIXED: %s of request %s was given %s", what, request, fault)
		mu.Lock()
		defer mu.Unlock()
		faults = append(faults, what+" of request "+request+" was given "+fault)
	}
	p.pieces = func(_ *replica, q piece, inputs []*result) {
		note(fmt.Sprintf("piece %d of stage %d", q.Index, q.Stage), q.ID, inputFault(q.ID, diamondAfter[q.Stage], diamondCounts, inputs))
	}
	p.prompts = func(_ *replica, req *http.Request, inputs []*result) {
		id := req.Header.Get(w("attempt"))
		note("the prompt", id, inputFault(id, diamondAfter[len(diamondCounts)], diamondCounts, inputs))
	}
	d.store.put(w("configKey"), diamondConfig())
	for i := range 12 {
		p.start("pool", zoneOf(i), 64, nil)
	}
	spec := func(item time.Duration) *stageSpec {
		return &stageSpec{queue: 2, call: 200 * time.Millisecond, item: item, life: 4 * time.Second}
	}
	for i := range 4 {
		p.start("encode", zoneOf(i), 1, spec(21*time.Millisecond))
	}
	var rerank []*replica
	for i := range 5 {
		p.start("retrieve", zoneOf(i), 1, spec(7100*time.Microsecond))
		rerank = append(rerank, p.start("rerank", zoneOf(i), 1, spec(4300*time.Microsecond)))
	}
	if err := d.startAll(); err != nil {
		return false, "", err
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		go crashInTurn(p, rerank, spec(4300*time.Microsecond))
	}
	c := newClient(s.rec)
	var served, sent int
	every(diamondGap, diamondLength, func(i int) {
		id, a := c.send(d.nodes[i%len(d.nodes)], request{
			method: http.MethodPost, host: "a.example", path: "/answers/x", key: "key1", body: "words", deadline: 15 * time.Second,
			header: map[string]string{
				w("pieces"): "1,4,6", w("source"): fmt.Sprintf("c%d", i),
				w("prompt"): fmt.Sprintf("aa:100,%x:50", i+1000), w("tokens"): "150,24", "Model": "m",
			},
		})
		mu.Lock()
		defer mu.Unlock()
		sent++
		if a.status == http.StatusOK && a.err == nil && strings.Count(a.body, id) == events {
			served++
		}
	})
	mu.Lock()
	defer mu.Unlock()
	if err := d.lostNodes(); err != nil {
		return false, "", err
	}
	seen := fmt.Sprintf("%d requests, %d served whole, %d pieces or prompts with wrong inputs", sent, served, len(faults))
	if served < sent/2 {
		return false, "", fmt.Errorf("too few requests were served: %s", seen)
	}
	if len(faults) > 0 {
		seen += "; the first: " + faults[0]
	}
	return len(faults) > 0, seen, nil
}

// crashFor is for how long a replica is down.
const crashFor = 4500 * time.Millisecond

// crashInTurn crashes two replicas, one after the other, each while it works, and starts another in its place.
func crashInTurn(p *pool, list []*replica, spec *stageSpec) {
	time.Sleep(2 * time.Second)
	for i := range 2 {
		r := busyOne(list, i)
		r.crash()
		time.Sleep(crashFor)
		for k := range list {
			if list[k] == r {
				list[k] = p.start(r.service, r.zone, 1, spec)
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// busyOne returns a replica that has worked for a tenth of a second or more; after a second, any.
func busyOne(list []*replica, i int) *replica {
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, r := range list {
			if n, since := r.working(); n > 0 && since > 100*time.Millisecond {
				return r
			}
		}
	}
	return list[i%len(list)]
}
