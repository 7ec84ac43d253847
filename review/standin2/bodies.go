package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Case bodies: many users come at once whose requests are nearly as long as the limit allows.

const (
	// bodiesBytes is the length of a request; the limit of the configuration is 4,194,304.
	bodiesBytes = 4_000_000
	// bodiesMemory is the memory of a machine, above which the platform kills the process: 284 MB, taken for the
	// larger of what that may mean.
	bodiesMemory = 284 << 20
	// bodiesMost is how many times the usual traffic the burst may have.
	bodiesMost = 1.7
	// bodiesLost is how many requests may be lost.
	bodiesLost = 3
	// bodiesGap is the time between two requests, bodiesBurstGap that in the burst: 1.7 times the traffic.
	bodiesGap      = 20 * time.Millisecond
	bodiesBurstGap = bodiesGap * 10 / 17
	// bodiesBefore and bodiesAfter are for how long the usual traffic comes before and after the burst.
	bodiesBefore = 8 * time.Second
	bodiesFor    = 4 * time.Second
	bodiesAfter  = 8 * time.Second
	// bodiesWork is how long a replica works on a request, bodiesSlots how many it runs at once, bodiesQueue
	// how many may wait.
	bodiesWork  = 1600 * time.Millisecond
	bodiesSlots = 8
	bodiesQueue = 24
)

func bodiesConfig() map[string]any {
	c := slashConfig(1, "/photos/")
	r := c["routes"].([]any)[0].(map[string]any)
	r["timeoutMs"], r[w("objective")] = 6000, 2000
	c["services"].([]any)[0].(map[string]any)[w("connections")] = 360
	return c
}

// memory returns the resident memory of a process in bytes, without that of its files; 0 if it has ended.
func memory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// enforce kills each process that has more memory than its machine, and starts it again, until stop is closed. It
// returns how often that happened at each node.
func (d *deployment) enforce(stop <-chan struct{}) map[string]int {
	kills := map[string]int{}
	most := map[string]int64{}
	for {
		select {
		case <-stop:
			for _, n := range d.nodes {
				d.rec.line("%s: at most %d bytes of memory, killed %d times", n.name, most[n.name], kills[n.name])
			}
			return kills
		case <-time.After(20 * time.Millisecond):
		}
		for _, n := range d.nodes {
			used := memory(n.cmd.Process.Pid)
			most[n.name] = max(most[n.name], used)
			if used <= bodiesMemory {
				continue
			}
			d.rec.line("%s: %d bytes of memory, killed by the platform", n.name, used)
			kills[n.name]++
			n.killed.Store(true)
			n.signal(syscall.SIGKILL)
			<-n.exited
			d.restarted = true
			time.Sleep(200 * time.Millisecond)
			if err := d.start(n); err != nil {
				d.rec.line("%s: %v", n.name, err)
				return kills
			}
		}
	}
}

func playBodies(s *scene) (bool, string, error) {
	d, err := newDeployment(s.rec, s.dir, 6)
	if err != nil {
		return false, "", err
	}
	defer d.stopAll()
	p := newPool(s.rec, d.store)
	d.store.put(w("configKey"), bodiesConfig())
	for i := range 12 {
		p.startPlain("desk", zoneOf(i), bodiesSlots, bodiesQueue, bodiesWork)
	}
	if err := d.startAll(); err != nil {
		return false, "", err
	}
	time.Sleep(2 * time.Second)
	stop, ended := make(chan struct{}), make(chan map[string]int)
	go func() { ended <- d.enforce(stop) }()
	c, body := newClient(s.rec), strings.Repeat("x", bodiesBytes)
	var mu sync.Mutex
	sent, served := 0, 0
	ran := map[string]bool{}
	p.prompts = func(_ *replica, req *http.Request, _ []*result) {
		mu.Lock()
		defer mu.Unlock()
		ran[req.Header.Get(w("attempt"))] = true
	}
	var closed []string
	one := func(i int) {
		id, a := c.send(d.nodes[i%len(d.nodes)], request{method: http.MethodPut, host: "c.example", path: "/photos/1", key: "key1", body: body, deadline: 6 * time.Second})
		mu.Lock()
		defer mu.Unlock()
		sent++
		if a.status == http.StatusOK && a.err == nil {
			served++
		}
		if a.kept && a.closed {
			closed = append(closed, id)
		}
	}
	burst := bodiesGap
	if s.trouble {
		burst = bodiesBurstGap
	}
	var all sync.WaitGroup
	var rates []float64
	servedBefore := 0
	for _, part := range []struct{ gap, length time.Duration }{{bodiesGap, bodiesBefore}, {burst, bodiesFor}, {bodiesGap, bodiesAfter}} {
		begun, i := time.Now(), 0
		for ; time.Since(begun) < part.length; i++ {
			all.Go(func() { one(i) })
			time.Sleep(part.gap)
		}
		rates = append(rates, float64(i)/time.Since(begun).Seconds())
		if len(rates) == 1 {
			mu.Lock()
			servedBefore = served
			mu.Unlock()
		}
	}
	all.Wait()
	s.rec.line("requests a second: %.1f before, %.1f in the burst, %.1f after", rates[0], rates[1], rates[2])
	close(stop)
	kills := <-ended
	ends := 0
	for _, n := range kills {
		ends += n
	}
	if err := d.lostNodes(); err != nil {
		return false, "", err
	}
	if float64(servedBefore) < 0.75*rates[0]*bodiesBefore.Seconds() {
		return false, "", fmt.Errorf("%d requests were served before the burst, of %.1f a second", servedBefore, rates[0])
	}
	if rates[1] > bodiesMost*rates[0] {
		return false, "", fmt.Errorf("%.1f requests a second in the burst, %.1f before", rates[1], rates[0])
	}
	lost := 0
	for _, id := range closed {
		if ran[id] {
			lost++
			s.rec.line("LOST: request %s came on a kept connection, ran at a replica, and its connection was closed without an answer", id)
		}
	}
	return lost > bodiesLost, fmt.Sprintf("%d requests, %d served; %d requests of kept connections ran and got no answer; processes of %d machines ended for memory over the limit, %d times in all",
		sent, served, lost, len(kills), ends), nil
}
