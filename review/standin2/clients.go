package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got.
type answer struct {
	status int
	body   string
	err    error
	took   time.Duration
	retry  string
	// kept is whether the connection had carried an earlier request, closed whether it was closed without an
	// answer, or before its end.
	kept, closed bool
}

// client sends requests as the pages say.
type client struct {
	rec  *record
	http *http.Client
	next atomic.Int64
}

func newClient(rec *record) *client {
	return &client{rec: rec, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second}}}
}

// request is one attempt.
type request struct {
	method, host, path string
	header             map[string]string
	body               string
	deadline           time.Duration
	key                string
}

// send sends one attempt to a node and returns its id and the answer.
func (c *client) send(n *node, q request) (string, answer) {
	id := fmt.Sprintf("%016x", 0xa000000000000000+uint64(c.next.Add(1)))
	begun := time.Now()
	req, err := http.NewRequest(q.method, "http://"+n.callers+q.path, strings.NewReader(q.body))
	if err != nil {
		panic(err)
	}
	req.Host = q.host
	req.Header.Set(w("attempt"), id)
	req.Header.Set(w("deadline"), fmt.Sprint(q.deadline.Milliseconds()))
	if q.key != "" {
		req.Header.Set("Authorization", "Bearer "+q.key)
	}
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	http := *c.http
	http.Timeout = q.deadline
	a := answer{}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.kept = info.Reused }}
	resp, err := http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		a.status, a.retry = resp.StatusCode, resp.Header.Get("Retry-After")
		var body []byte
		body, err = io.ReadAll(resp.Body)
		a.body = string(body)
		_ = resp.Body.Close()
	}
	var timeout net.Error
	a.err, a.took = err, time.Since(begun)
	a.closed = err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
	c.rec.line("client: request %s to %s%s at %s: status %d, %d bytes, error %v, after %d ms", id, q.host, q.path, n.name, a.status, len(a.body), err, a.took.Milliseconds())
	return id, a
}

// every calls f with numbers from 0 at a rate until a time has passed, and waits for all calls.
func every(gap, length time.Duration, f func(i int)) {
	var all sync.WaitGroup
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		all.Go(func() { f(i) })
		time.Sleep(gap)
	}
	all.Wait()
}
