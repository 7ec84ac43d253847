package main

import (
	"fmt"
	"net/http"
	"time"
)

// Case appended: a new version of the configuration appends a stage, and an earlier stage reads its results.

// appendedConfig returns a configuration with a route whose stages are given by their services and what they read,
// and with a plain route for each prefix.
func appendedConfig(version int, services []string, after [][]int, prefixes ...string) map[string]any {
	c := slashConfig(version, prefixes...)
	stages := make([]any, len(services))
	for i, service := range services {
		stages[i] = map[string]any{"service": service, "after": after[i], w("bytes"): 8000}
	}
	staged := diamondConfig()
	route := staged["routes"].([]any)[0].(map[string]any)
	route["stages"] = stages
	c["routes"] = append(c["routes"].([]any), route)
	c["services"] = append(c["services"].([]any), staged["services"].([]any)...)
	return c
}

const (
	// appendedApply is within what time a configuration has to be in force, appendedWatch for how long requests
	// are sent.
	appendedApply = 2 * time.Second
	appendedWatch = 15 * time.Second
)

func playAppended(s *scene) (bool, string, error) {
	d, err := newDeployment(s.rec, s.dir, 6)
	if err != nil {
		return false, "", err
	}
	defer d.stopAll()
	p := newPool(s.rec, d.store)
	before := [][]int{{}, {0}}
	d.store.put(w("configKey"), appendedConfig(1, []string{"encode", "rerank"}, before, "/orders/"))
	for i := range 3 {
		p.start("desk", zoneOf(i), 6, nil)
		p.start("pool", zoneOf(i), 64, nil)
		for _, service := range []string{"encode", "retrieve", "rerank"} {
			p.start(service, zoneOf(i), 1, &stageSpec{queue: 2, call: 200 * time.Millisecond, item: 10 * time.Millisecond, life: 4 * time.Second})
		}
	}
	if err := d.startAll(); err != nil {
		return false, "", err
	}
	time.Sleep(2 * time.Second)
	services, after := []string{"encode", "retrieve", "rerank"}, [][]int{{}, {0}, {0, 1}}
	if s.trouble {
		services, after = []string{"encode", "rerank", "retrieve"}, [][]int{{}, {0, 2}, {0}}
	}
	acked := d.store.put(w("configKey"), appendedConfig(2, services, after, "/orders/", "/returns/"))
	s.rec.line("configuration 2 acknowledged: stages %v, which read %v, and a new route", services, after)
	time.Sleep(appendedApply)
	c := newClient(s.rec)
	late, sent, served := 0, 0, 0
	for end := time.Now().Add(appendedWatch); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		_, a := c.send(d.nodes[sent%len(d.nodes)], request{method: http.MethodGet, host: "c.example", path: "/returns/17", key: "key1", deadline: 1500 * time.Millisecond})
		sent++
		if a.status == http.StatusOK {
			served++
		}
		_, old := c.send(d.nodes[sent%len(d.nodes)], request{method: http.MethodGet, host: "c.example", path: "/orders/17", key: "key1", deadline: 1500 * time.Millisecond})
		if old.status != http.StatusOK {
			return false, "", fmt.Errorf("the old route was answered %d, %v", old.status, old.err)
		}
		if a.status == http.StatusNotFound {
			late++
			s.rec.line("CONFIG: 404 on the new route %d ms after its configuration was acknowledged", time.Since(acked).Milliseconds())
		}
	}
	if err := d.lostNodes(); err != nil {
		return false, "", err
	}
	if late+served < sent {
		return false, "", fmt.Errorf("%d of %d requests got neither 200 nor 404", sent-late-served, sent)
	}
	return late > 0, fmt.Sprintf("%d requests on the new route more than %v after its configuration was acknowledged, %d answered 404", sent, appendedApply, late), nil
}
