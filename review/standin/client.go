package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// key is the API key of the clients.
const key = "9dnn2ctnfzs989anu6ws"

// ask is what a client asks for.
type ask struct {
	method, host, path string
	deadlineMs         int
	body               int
	header             map[string]string
	// sent is when it is sent; not set by all cases.
	sent time.Time
}

// client is the connections of all clients. It sends nothing twice.
var client = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 12 * time.Second}}

// send sends a request to a node under an id of its own, and records its answer. It returns the id and the status; 0 for
// no answer.
func (w *world) send(nd *node, a ask) (id string, status int) {
	id = w.newID("a")
	req, err := http.NewRequest(a.method, "http://"+nd.callers+a.path, bytes.NewReader(bytes.Repeat([]byte("x"), a.body)))
	if err != nil {
		fail("request: %v", err)
	}
	// A request without this is not sent a second time by the transport.
	req.GetBody = nil
	req.Host = a.host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(names["attempt"], id)
	req.Header.Set(names["deadline"], fmt.Sprint(a.deadlineMs))
	for name, value := range a.header {
		req.Header.Set(name, value)
	}
	w.note("client sends %s %s %s to %s", a.method, a.path, id, nd.name)
	resp, err := client.Do(req)
	if err != nil {
		w.note("client gets no answer to %s: %v", id, err)
		return id, 0
	}
	defer resp.Body.Close()
	w.mu.Lock()
	w.statuses[resp.StatusCode]++
	w.mu.Unlock()
	body, err := io.ReadAll(resp.Body)
	w.note("client gets %d to %s, %d bytes, signature %q, end %v", resp.StatusCode, id, len(body), resp.Header.Get(names["signature"]), err)
	return id, resp.StatusCode
}

// traffic sends requests to the nodes in turn until stop is closed, at random times with a mean rate, and
// waits for their answers. done is called for each.
func (w *world) traffic(perSecond float64, stop <-chan struct{}, next func(i int) ask, done func(a ask, id string, status int)) {
	var all sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-stop:
			all.Wait()
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
		}
		a, nd := next(i), w.nodes[i%len(w.nodes)]
		all.Go(func() {
			id, status := w.send(nd, a)
			done(a, id, status)
		})
	}
}

// count returns how many answers had a status.
func (w *world) count(is func(status int) bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for status, answers := range w.statuses {
		if is(status) {
			n += answers
		}
	}
	return n
}
