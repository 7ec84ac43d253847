package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program is the project's own program, as the deploy file builds it.
const program = "target/honeydyke"

// node is one node of the system, a process of its own.
type node struct {
	w              *world
	name           string
	callers, ready string
	settings       string
	cmd            *exec.Cmd
	log            *os.File
	done           chan struct{}
}

// freeAddress returns a loopback address that is free.
func freeAddress() string {
	ln := listen()
	defer ln.Close()
	return ln.Addr().String()
}

// settingsText are the settings of a node, as deploy/settings.hujson has them once the platform has
// filled it for the site kowhai-fleet.
const settingsText = `{
  "dataCentre": %q,
  "listen": {"callers": %q, "peers": %q, "admin": %q},
  "peers": [%s],
  "gateway": {
    "store": %q,
    "ready": %q,
    "memoryMb": 284, "cores": 0.4, "linkMbps": 1000.0, "descriptors": 4100,
    "graceMs": 8000, "drainMs": 2000,
    "retries": {"ratio": 0.2, "windowMs": 10000, "extra": 54},
    "admission": {"minObjectiveRatio": 2.5, "byPosition": true, "withdraw": true, "reserve": false, "fairShares": true},
    "targetSpeed": {"reported": true, "sample": false},
  },
}
`

// startNodes starts some nodes and waits until each is ready.
func (w *world) startNodes(n int) {
	if _, err := os.Stat(program); err != nil {
		fail("the program is not built: %v", err)
	}
	peers := make([]string, n)
	for i := range peers {
		peers[i] = freeAddress()
	}
	seeds := `"` + strings.Join(peers[:min(n, 3)], `", "`) + `"`
	for i := range n {
		nd := &node{
			w: w, name: fmt.Sprintf("node-%d", i+1), callers: freeAddress(), ready: freeAddress(),
			settings: filepath.Join(w.dir, fmt.Sprintf("node-%d.hujson", i+1)), done: make(chan struct{}),
		}
		text := fmt.Sprintf(settingsText, zone(i), nd.callers, peers[i], freeAddress(), seeds, w.store.address, nd.ready)
		if err := os.WriteFile(nd.settings, []byte(text), 0o600); err != nil {
			fail("settings: %v", err)
		}
		nd.start()
		w.nodes = append(w.nodes, nd)
	}
	for _, nd := range w.nodes {
		nd.awaitReady()
	}
}

// zone returns the zone of the machine or replica with a number.
func zone(i int) string { return "akl-" + string(rune('a'+i%4)) }

// start starts the node's process. It ends with this one.
func (nd *node) start() {
	out, err := os.Create(filepath.Join(nd.w.dir, nd.name+".log"))
	if err != nil {
		fail("log: %v", err)
	}
	nd.log = out
	nd.cmd = exec.Command(program, "node", "--settings", nd.settings)
	nd.cmd.Stdout, nd.cmd.Stderr = out, out
	nd.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := nd.cmd.Start(); err != nil {
		fail("%s: %v", nd.name, err)
	}
	nd.w.note("%s started, process %d, clients at %s", nd.name, nd.cmd.Process.Pid, nd.callers)
	go func() {
		_ = nd.cmd.Wait()
		close(nd.done)
	}()
}

// awaitReady waits until the node counts as ready.
func (nd *node) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + nd.ready + names["readiness"])
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	fail("%s is not ready", nd.name)
}

// endNodes ends the processes that were started, and keeps their logs if the environment names a folder.
func (w *world) endNodes() {
	for _, nd := range w.nodes {
		_ = nd.cmd.Process.Signal(syscall.SIGKILL)
		<-nd.done
		_ = nd.log.Close()
		if dir := os.Getenv("KEEP_LOGS"); dir != "" {
			if text, err := os.ReadFile(nd.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(dir, nd.name+".log"), text, 0o600)
			}
		}
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
