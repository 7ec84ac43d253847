package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Case storm: configurations of nearly the largest size in quick succession.

const (
	// stormValue is the most bytes of a value in the store.
	stormValue = 1 << 20
	// stormLength is how long configurations come, stormGap the time between two, calmGap the same without
	// the disruption.
	stormLength = 2 * time.Second
	stormGap    = 80 * time.Millisecond
	calmGap     = time.Second
	// stormApply is within what time a configuration has to be in force.
	stormApply = 2 * time.Second
	// stormWatch is for how long requests are sent after the last configuration.
	stormWatch = 30 * time.Second
)

// stormConfig returns a configuration with a number of routes.
func stormConfig(version, routes int) []byte {
	list := make([]any, routes)
	for i := range list {
		list[i] = map[string]any{
			"name": fmt.Sprintf("r-%06d", i), "host": "b.example", w("prefix"): fmt.Sprintf("/r%06d/", i), "kind": "idempotent",
			"timeoutMs": 800, w("objective"): 100, "priority": 2, "service": "desk", "maxAttempts": 2, "public": false,
		}
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []any{map[string]any{"name": "desk", "healthCheckPath": "/health", w("connections"): 280, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "acme", w("keys"): []string{"key1"}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// stormRoutes returns how many routes fit into a value, with room for those that are added later.
func stormRoutes() int {
	one := len(stormConfig(1, 1001)) - len(stormConfig(1, 1000))
	return stormValue/one - 100
}

func playStorm(s *scene) (bool, string, error) {
	d, err := newDeployment(s.rec, s.dir, 6)
	if err != nil {
		return false, "", err
	}
	defer d.stopAll()
	p := newPool(s.rec, d.store)
	routes := stormRoutes()
	text := stormConfig(1, routes)
	s.rec.line("the first configuration has %d routes, %d bytes", routes, len(text))
	d.store.putText(w("configKey"), text)
	for i := range 4 {
		p.start("desk", zoneOf(i), 6, nil)
	}
	if err := d.startAll(); err != nil {
		return false, "", err
	}
	time.Sleep(2 * time.Second)
	gap, changes := calmGap, int(stormLength/stormGap)
	if s.trouble {
		gap = stormGap
	}
	texts := make([][]byte, changes)
	for i := range texts {
		texts[i] = stormConfig(i+2, routes+i+1)
	}
	var acked time.Time
	begun := time.Now()
	for _, text := range texts {
		acked = d.store.putText(w("configKey"), text)
		s.rec.line("configuration of %d bytes acknowledged", len(text))
		time.Sleep(gap)
	}
	took := acked.Sub(begun)
	last := fmt.Sprintf("/r%06d/x", routes+changes-1)
	c := newClient(s.rec)
	var mu sync.Mutex
	late, sent, answered := 0, 0, 0
	var longest time.Duration
	every(500*time.Millisecond, stormWatch, func(int) {
		for _, n := range d.nodes {
			after := time.Since(acked)
			_, a := c.send(n, request{method: http.MethodGet, host: "b.example", path: last, key: "key1", deadline: 1500 * time.Millisecond})
			mu.Lock()
			if after > stormApply {
				sent++
				if a.status == http.StatusNotFound || a.status == http.StatusOK {
					answered++
				}
				if a.status == http.StatusNotFound {
					late++
					longest = max(longest, after)
				}
			}
			mu.Unlock()
		}
	})
	mu.Lock()
	defer mu.Unlock()
	if err := d.lostNodes(); err != nil {
		return false, "", err
	}
	if answered*10 < sent*9 {
		return false, "", fmt.Errorf("%d of %d requests got neither 200 nor 404", sent-answered, sent)
	}
	if s.trouble && took < stormLength-stormGap {
		return false, "", fmt.Errorf("the configurations came within %v", took)
	}
	seen := fmt.Sprintf("%d requests on the last route more than %v after its configuration was acknowledged, %d answered 404, the last %.1f s after; the longest answer of the store to a watch had %d bytes",
		sent, stormApply, late, longest.Seconds(), d.store.longest)
	return late > 0, seen, nil
}
