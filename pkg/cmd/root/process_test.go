package root

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

	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/pkg/client"
)

// process is a node in an operating system process of its own: the test's binary,
// which childVariable makes run as honeydyke.
type process struct {
	// callers, peers and admin are the addresses that it listens on.
	callers string
	peers   string
	admin   string

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

// startProcess starts a node of the lab's deployment; its number decides its data
// centre. The process is killed when ctx ends.
func startProcess(ctx context.Context, l *lab.Lab, number int, peers []string) (*process, error) {
	raw, err := json.Marshal(l.Settings(number, peers))
	if err != nil {
		return nil, err
	}
	p := &process{cmd: exec.CommandContext(ctx, os.Args[0], "node", "--settings", "-"), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), childVariable+"=1")
	p.cmd.Stdin = strings.NewReader(string(raw))
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	started := make(chan startedLine, 1)
	go p.follow(stderr, started)
	select {
	case line := <-started:
		p.callers, p.peers, p.admin = line.Callers, line.Peers, line.Admin
		return p, nil
	case <-p.ended:
		return nil, errors.Errorf("the node ended at once: %s", p.logged())
	case <-ctx.Done():
		p.kill()
		return nil, ctx.Err()
	}
}

// follow keeps the node's log and waits for its end.
func (p *process) follow(stderr io.Reader, started chan<- startedLine) {
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

// url returns the address for callers.
func (p *process) url() string { return "http://" + p.callers }

// state reads the node's state.
func (p *process) state(ctx context.Context) (*client.State, error) {
	return client.New("http://"+p.admin, "").ReadState(ctx)
}

// signal sends a signal to the process.
func (p *process) signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// wait waits for the end of the process and returns its error.
func (p *process) wait() error {
	<-p.ended
	return p.err
}

// logged returns what the node has logged.
func (p *process) logged() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// kill ends the process, if it has not ended yet, and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // fails only for a process that has ended
	<-p.ended
}
