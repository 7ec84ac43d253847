package contract

import (
	"net"
	"strings"
	"testing"
)

// TestExitCodes holds the exit code of each kind of end of a command.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		name string
		args []string
		code int
		errs string
	}{
		{"good", []string{"version"}, 0, ""},
		{"good bundle", []string{"bundle", "check", "../../examples/kowhai/bundle.hujson"}, 0, ""},
		{"failed", []string{"bundle", "show", "nothing"}, 1, "honeydyke: "},
		{"unknown verb", []string{"fly"}, 2, "unknown command"},
		{"unknown flag", []string{"version", "--loud"}, 2, "unknown flag"},
		{"missing flag", []string{"node"}, 2, "--settings is required"},
		{"not run", send("http://127.0.0.1:1"), 3, "(not-run)"},
		{"may have run", send("http://" + deafServer(t)), 4, "(may-have-run)"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := honeydyke(t, "", c.args...)
			if r.code != c.code {
				t.Errorf("exit code %d, want %d; %s", r.code, c.code, r.errs)
			}
			if !strings.Contains(r.errs, c.errs) {
				t.Errorf("standard error is %q, want %q in it", r.errs, c.errs)
			}
		})
	}
}

func send(node string) []string {
	return []string{"send", "--node", node, "--once", "--pipeline", "p", "x"}
}

// deafServer reads each request and closes the connection without an answer. It
// returns its address.
func deafServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return // the listener is closed
			}
			_, _ = conn.Read(make([]byte, 1<<10)) // whatever was read, the connection ends
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}
