package main

import (
	"net/http"
	"time"
)

func init() { cases["twice"] = runTwice }

// deskAsk returns a request of the desk: three of five may not be repeated.
func deskAsk(i int) ask {
	if i%5 < 3 {
		return ask{method: http.MethodPost, host: "desk.example", path: "/avail/2f", deadlineMs: 1500, body: 600}
	}
	return ask{method: http.MethodGet, host: "desk.example", path: "/key/2f", deadlineMs: 1500}
}

// runTwice restarts replicas at their addresses, under new identities, and has them send one of their
// answers a second time, late: one that tells a caller that they are not the replica it expects.
func runTwice(w *world) {
	// The second such answer of each span, and no other.
	refused := 0
	s := &spoiler{wants: func(s *spoiler, status int, _ string) bool {
		if s.answers == 1 {
			refused = 0
		}
		if status != http.StatusMisdirectedRequest {
			return false
		}
		refused++
		return refused == 2
	}}
	replicas := make([]*replica, 4)
	w.deploy(3, func() {
		for i := range replicas {
			replicas[i] = w.startReplica("desk", "", i, plainWork)
		}
		replicas[0].spoil, replicas[1].spoil = s.spoil, s.spoil
	})
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		for round := range 8 {
			time.Sleep(2 * time.Second)
			if !w.trouble {
				time.Sleep(7 * time.Second)
				continue
			}
			old := replicas[round%2]
			old.crash()
			// The process is started again after a short delay.
			time.Sleep(100 * time.Millisecond)
			// The entry goes after three heartbeats without a write, of which the last was up to one before.
			time.AfterFunc(3*time.Second, func() { w.store.remove(old.key()) })
			s.set(true)
			replicas[round%2] = w.startReplica("desk", old.ln.Addr().String(), round%2, plainWork)
			replicas[round%2].spoil = s.spoil
			time.Sleep(5 * time.Second)
			answers, spoiled := s.counts()
			s.set(false)
			w.note("%d of %d answers of the two faulty replicas came a second time", spoiled, answers)
			if spoiled > 0 && answers < fewestAnswers {
				w.tooFew = true
			}
			time.Sleep(time.Second)
		}
		time.Sleep(time.Second)
	}()
	w.traffic(24, stop, deskAsk, func(a ask, id string, status int) {
		w.mu.Lock()
		runs := w.runs[id]
		w.mu.Unlock()
		switch {
		case a.method != http.MethodPost:
		case len(runs) > 1:
			w.breaks("request %s, which is not idempotent, ran %d times: %v", id, len(runs), runs)
		case len(runs) == 1 && status == http.StatusServiceUnavailable:
			w.breaks("request %s, which is not idempotent, ran at %v and was answered 503", id, runs)
		}
	})
	if w.tooFew {
		fail("there were too few answers for one that comes twice")
	}
}
