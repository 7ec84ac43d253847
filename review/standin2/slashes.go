package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Case slashes: a configuration adds a route for all paths of a host, and clients send paths that begin with two
// slashes.

// slashPaths are the paths that clients send.
var slashPaths = []string{"/orders/17", "//orders/17", "//orders//17?copy=1"}

func slashConfig(version int, prefixes ...string) map[string]any {
	routes := make([]any, len(prefixes))
	for i, prefix := range prefixes {
		routes[i] = map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": "c.example", w("prefix"): prefix, "kind": "idempotent", "timeoutMs": 800,
			w("objective"): 100, "priority": 2, "service": "desk", "maxAttempts": 2, "public": false,
		}
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "desk", "healthCheckPath": "/health", w("connections"): 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "acme", w("keys"): []string{"key1"}, "priority": 1}},
	}
}

func playSlashes(s *scene) (bool, string, error) {
	d, err := newDeployment(s.rec, s.dir, 6)
	if err != nil {
		return false, "", err
	}
	defer d.stopAll()
	p := newPool(s.rec, d.store)
	var mu sync.Mutex
	seenBy := map[string]string{}
	p.prompts = func(_ *replica, req *http.Request, _ []*result) {
		mu.Lock()
		defer mu.Unlock()
		seenBy[req.Header.Get(w("attempt"))] = req.RequestURI
	}
	d.store.put(w("configKey"), slashConfig(1, "/orders/"))
	for i := range 3 {
		p.start("desk", zoneOf(i), 6, nil)
	}
	if err := d.startAll(); err != nil {
		return false, "", err
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		d.store.put(w("configKey"), slashConfig(2, "/orders/", "/"))
		s.rec.line("configuration 2 adds a route for all paths")
	}
	time.Sleep(3 * time.Second)
	c := newClient(s.rec)
	changed, first, run, plain := 0, "", 0, 0
	for i := range 30 {
		path := slashPaths[i%len(slashPaths)]
		id, a := c.send(d.nodes[i%len(d.nodes)], request{method: http.MethodGet, host: "c.example", path: path, key: "key1", deadline: 1500 * time.Millisecond})
		mu.Lock()
		got, ran := seenBy[id]
		mu.Unlock()
		if !ran {
			continue
		}
		run++
		if got == "/orders/17" && a.status == http.StatusOK {
			plain++
		}
		if got != path {
			changed++
			s.rec.line("UNASKED: request %s for %s ran at a replica as %s, status %d", id, path, got, a.status)
			first = fmt.Sprintf("%s ran as %s", path, got)
		}
	}
	if err := d.lostNodes(); err != nil {
		return false, "", err
	}
	if plain < 10 {
		return false, "", fmt.Errorf("%d of 10 requests for %s were served", plain, slashPaths[0])
	}
	return changed > 0, fmt.Sprintf("30 requests, %d run by replicas, %d with another path; the last: %s", run, changed, first), nil
}
