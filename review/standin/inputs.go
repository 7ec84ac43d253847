package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { cases["inputs"] = foreignInputs }

// foreignInputs has replicas of a stage send a small part of their answers a second time, late.
func foreignInputs(w *world) {
	// Every 34th call of each span, so that no span has more than its share.
	calls := 0
	s := &spoiler{wants: func(s *spoiler, _ int, path string) bool {
		if s.answers == 1 {
			calls = 0
		}
		if path != names["stageRun"] {
			return false
		}
		calls++
		return calls%fewestAnswers == 0
	}}
	w.deploy(3, func() {
		for i := range 5 {
			r := w.startReplica("ledger", "", i, stageWork)
			r.perItem = 13 * time.Millisecond
			if i < 3 {
				r.spoil = s.spoil
			}
		}
		w.startReplica("yard", "", 0, stageWork).perItem = 9 * time.Millisecond
		for i := range 3 {
			w.startReplica("pool", "", i, engineWork).prefill = 400 * time.Millisecond
		}
	})
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		for range 13 {
			time.Sleep(2 * time.Second)
			s.set(w.trouble)
			time.Sleep(5 * time.Second)
			s.set(false)
		}
		time.Sleep(time.Second)
	}()
	w.traffic(16, stop, func(i int) ask {
		// A claim has one piece of one stage, a note one of this stage and some of another.
		a := ask{method: http.MethodPost, host: "pool.example", path: "/claim/2f", deadlineMs: 15000, body: 2400}
		id, pieces := fmt.Sprintf("%08x", rand.Uint32()), "1"
		if i%2 == 0 {
			a.path, a.deadlineMs, pieces = "/note/2f", 6000, "1,6"
		}
		a.header = map[string]string{
			names["count"]: pieces, names["source"]: id, names["tokens"]: "1800,20", names["prompt"]: "5c1e07a2:341," + id + ":1459", "Model": "m",
		}
		return a
	}, func(ask, string, int) {})
}
