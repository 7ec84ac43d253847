package contract

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// startMoments is how many moments after the start of a process a signal is tried at.
	startMoments = 24
	// startStep is the time between two of them; a process has its sockets after some 15 ms.
	startStep = 2 * time.Millisecond
	// startGrace is the grace time of the processes in milliseconds, and startEnd the
	// longest that one may take to end after its signal.
	startGrace = 4000
	startEnd   = 15 * time.Second
)

// startGateway starts a gateway whose store and seed are not there.
func startGateway(t *testing.T, log string) *exec.Cmd {
	t.Helper()
	settings := filepath.Join(t.TempDir(), "node.hujson")
	const free = "127.0.0.1:0"
	text := fmt.Sprintf(`{"dataCentre":"d","listen":{"callers":%q,"peers":%q,"admin":%q},"peers":["127.0.0.1:9"],
		"gateway":{"store":"127.0.0.1:9","ready":%q,"graceMs":%d}}`, free, free, free, free, startGrace)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := os.Create(log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = out.Close() })
	cmd := exec.Command(os.Args[0], "node", "--settings", settings)
	cmd.Env = append(os.Environ(), childVariable+"=1")
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return cmd
}

// TestStopAtEachMomentOfTheStart holds that a process which is told to stop while it
// starts ends: a signal between two handlers was lost, and the process was killed at the
// end of its grace time with all that it had taken meanwhile.
func TestStopAtEachMomentOfTheStart(t *testing.T) {
	var all sync.WaitGroup
	for i := range startMoments {
		log := filepath.Join(t.TempDir(), "log")
		cmd := startGateway(t, log)
		time.Sleep(time.Duration(i) * startStep)
		_ = cmd.Process.Signal(syscall.SIGTERM)
		all.Go(func() {
			kill := time.AfterFunc(startEnd, func() {
				t.Errorf("a signal %v after the start was lost", time.Duration(i)*startStep)
				_ = cmd.Process.Kill()
			})
			defer kill.Stop()
			// How it ends is not asked: before its first line a signal ends it at once.
			_ = cmd.Wait()
		})
	}
	all.Wait()
}
