package contract

import (
	"bytes"
	"context"
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/honeydyke/honeydyke/pkg/cmd/root"
)

const (
	// childVariable makes the test's own binary run as honeydyke.
	childVariable = "HONEYDYKE_CONTRACT_CHILD"
	// commandLimit ends a command that hangs. Not measured; a command here
	// takes well under a second.
	commandLimit = time.Minute
)

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(root.Main(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// result is what a command line printed and its exit code.
type result struct {
	out, errs string
	code      int
}

// honeydyke runs a command line in a process of its own.
func honeydyke(t *testing.T, stdin string, args ...string) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), commandLimit)
	defer cancel()
	var out, errs bytes.Buffer
	cmd := exec.CommandContext(ctx, os.Args[0], args...)
	cmd.Env = append(os.Environ(), childVariable+"=1")
	cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(stdin), &out, &errs
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return result{out: out.String(), errs: errs.String(), code: cmd.ProcessState.ExitCode()}
}
