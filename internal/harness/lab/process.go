package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/pkg/client"
)

// Process is a node in an operating system process of its own. Only tests and
// experiments start processes; a daemon never does.
type Process struct {
	// Callers, Peers and Admin are the addresses that it listens on.
	Callers string
	Peers   string
	Admin   string

	cmd   *exec.Cmd
	mu    sync.Mutex
	log   strings.Builder
	ended chan struct{}
	err   error
}

// startedLine is the line of the log that names a node's addresses.
type startedLine struct {
	Message string `json:"message"`
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Admin   string `json:"admin"`
}

// StartProcess starts a node of the lab's deployment as a process; its number decides
// its data centre. The command must run honeydyke with the arguments that are added
// to it.
func (l *Lab) StartProcess(ctx context.Context, number int, peers, command []string, env ...string) (*Process, error) {
	cfg := l.settings()
	cfg.Peers = peers
	cfg.DataCentre = l.dataCentre(number)
	raw, err := json.Marshal(cfg)
	if err != nil {
		return nil, err
	}
	args := append(append([]string{}, command[1:]...), "node", "--settings", "-")
	p := &Process{cmd: exec.CommandContext(l.ctx, command[0], args...), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdin = strings.NewReader(string(raw))
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	started := make(chan startedLine, 1)
	l.mu.Lock()
	l.processes = append(l.processes, p)
	l.mu.Unlock()
	go p.follow(stderr, started)
	select {
	case line := <-started:
		p.Callers, p.Peers, p.Admin = line.Callers, line.Peers, line.Admin
		return p, nil
	case <-p.ended:
		return nil, errors.Errorf("the node ended at once: %s", p.Log())
	case <-ctx.Done():
		_ = p.cmd.Process.Kill() // fails only for a process that has ended
		return nil, ctx.Err()
	}
}

// follow keeps the node's log and waits for its end.
func (p *Process) follow(stderr io.Reader, started chan<- startedLine) {
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		p.mu.Lock()
		p.log.WriteString(lines.Text() + "\n")
		p.mu.Unlock()
		var line startedLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "node: started" {
			started <- line
		}
	}
	p.err = p.cmd.Wait()
	close(p.ended)
}

// URL returns the address for callers.
func (p *Process) URL() string { return "http://" + p.Callers }

// State reads the node's state.
func (p *Process) State(ctx context.Context) (*client.State, error) {
	return client.New("http://"+p.Admin, "").ReadState(ctx)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Wait waits for the end of the process and returns its error.
func (p *Process) Wait() error {
	<-p.ended
	return p.err
}

// Log returns what the node has logged.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}
