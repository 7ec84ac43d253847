package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// node is one process of the system.
type node struct {
	name                         string
	zone                         string
	callers, peers, admin, ready string
	settings                     string
	cmd                          *exec.Cmd
	exited                       chan struct{}
	// killed is set when the case kills the process.
	killed atomic.Bool
}

// lowestPort and highestPort bound the ports of nodes: below those that the system gives to outgoing connections,
// which could take a port between its choice and the node's start.
const (
	lowestPort  = 20_000
	highestPort = 32_000
)

// freeAddress returns a loopback address with a free port that no earlier call returned.
func freeAddress() string {
	for {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil || given[port] {
			continue
		}
		given[port] = true
		_ = l.Close()
		return address
	}
}

// given holds the ports that freeAddress returned.
var given = map[int]bool{}

// deployment is the nodes and what they depend on.
type deployment struct {
	rec   *record
	dir   string
	store *store
	// storeAddress is where the nodes reach the store.
	storeAddress string
	nodes        []*node
	restarted    bool

	mu sync.Mutex
	// stopping is set when the processes are ended, and lost holds the nodes whose process ended before, and
	// that were not killed by the case.
	stopping bool
	lost     []string
}

// newDeployment starts the store and prepares nodes, two in each zone.
func newDeployment(rec *record, dir string, count int) (*deployment, error) {
	d := &deployment{rec: rec, dir: dir, store: newStore(rec)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddress = l.Addr().String()
	go d.store.serve(l)
	for i := range count {
		d.nodes = append(d.nodes, &node{
			name: fmt.Sprintf("node-%d", i+1), zone: zoneOf(i),
			callers: freeAddress(), peers: freeAddress(), admin: freeAddress(), ready: freeAddress(),
		})
	}
	return d, nil
}

// zones are those of the deployment.
var zones = []string{"za", "zb", "zc"}

func zoneOf(i int) string { return zones[i%len(zones)] }

// writeSettings writes a node's settings as the template of the deploy file gives them for a small deployment.
func (d *deployment) writeSettings(n *node) error {
	var seeds []string
	for _, other := range d.nodes[:min(3, len(d.nodes))] {
		seeds = append(seeds, other.peers)
	}
	retries := map[string]any{"ratio": 0.2, "windowMs": 10000, "extra": 54}
	if d.restarted {
		retries["restarted"] = true
	}
	text, err := json.MarshalIndent(map[string]any{
		"dataCentre": n.zone,
		"listen":     map[string]any{"callers": n.callers, "peers": n.peers, "admin": n.admin},
		"peers":      seeds,
		"gateway": map[string]any{
			"store": d.storeAddress, "sourceHistoryMs": 20000, "ready": n.ready,
			"memoryMb": 284, "cores": 0.4, "linkMbps": 1000.0, "descriptors": 4100,
			"graceMs": 8000, "drainMs": 2000, "retries": retries,
			"admission":   map[string]any{"minObjectiveRatio": 2.5, "byPosition": true, "withdraw": true, "reserve": false, "fairShares": true},
			"targetSpeed": map[string]any{"reported": true, "sample": false},
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	n.settings = filepath.Join(d.dir, n.name+".hujson")
	return os.WriteFile(n.settings, text, 0o600)
}

// start starts a node with the command of the deploy file.
func (d *deployment) start(n *node) error {
	if err := d.writeSettings(n); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command("target/honeydyke", "node", "--settings", n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.exited = exited
	cmd := n.cmd
	n.killed.Store(false)
	go func() {
		err := cmd.Wait()
		d.rec.line("%s: process %d ended: %v", n.name, cmd.Process.Pid, err)
		d.mu.Lock()
		if !d.stopping && !n.killed.Load() {
			d.lost = append(d.lost, n.name)
		}
		d.mu.Unlock()
		close(exited)
	}()
	d.rec.line("%s: process %d started, callers %s", n.name, cmd.Process.Pid, n.callers)
	return nil
}

// startAll starts all nodes and waits until they are ready.
func (d *deployment) startAll() error {
	for _, n := range d.nodes {
		if err := d.start(n); err != nil {
			return err
		}
	}
	for _, n := range d.nodes {
		if !n.awaitReady(20 * time.Second) {
			return fmt.Errorf("%s did not become ready", n.name)
		}
	}
	return nil
}

// isReady asks a node whether it is ready, as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.ready + w("ready"))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (n *node) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if n.isReady() {
			return true
		}
	}
	return false
}

// signal sends a signal to a node's process.
func (n *node) signal(s syscall.Signal) {
	// A process that has ended gets none.
	_ = n.cmd.Process.Signal(s)
}

// lostNodes returns an error if a process ended that the case did not kill.
func (d *deployment) lostNodes() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.lost) > 0 {
		return fmt.Errorf("the processes of %v ended by themselves", d.lost)
	}
	return nil
}

// stopAll ends all processes.
func (d *deployment) stopAll() {
	d.mu.Lock()
	d.stopping = true
	d.mu.Unlock()
	for _, n := range d.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-n.exited
		}
	}
}
