package node

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// gatewaySettings are those of a gateway whose store is not there, with a short
// time to stop.
const gatewaySettings = `{
	"dataCentre": "z",
	"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "admin": "127.0.0.1:0"},
	"gateway": {"store": "127.0.0.1:1", "ready": "127.0.0.1:0", "graceMs": 600},
}`

// output collects what a process writes.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// TestLastLinesOfAGateway holds a fault once found: the log's writer was not
// drained at the end of the process, so the line on the end of a planned stop
// never came out (incident inc-0bd3).
func TestLastLinesOfAGateway(t *testing.T) {
	convey.Convey("A gateway that has stopped has written its last line", t, func() {
		file := filepath.Join(t.TempDir(), "settings.hujson")
		convey.So(os.WriteFile(file, []byte(gatewaySettings), 0o600), convey.ShouldBeNil)
		// Until the gateway waits for signals, nothing but this keeps them from ending
		// the test.
		caught := make(chan os.Signal, 1)
		signal.Notify(caught, syscall.SIGTERM)
		defer signal.Stop(caught)
		out := &output{}
		f := factory.New("test")
		f.Out = out
		ended := make(chan error, 1)
		go func() { ended <- run(context.Background(), &Options{Factory: f, Settings: file}) }()
		for {
			select {
			case err := <-ended:
				convey.So(err, convey.ShouldBeNil)
				convey.So(out.String(), convey.ShouldContainSubstring, "stop: ended")
				return
			case <-time.After(50 * time.Millisecond):
				convey.So(syscall.Kill(os.Getpid(), syscall.SIGTERM), convey.ShouldBeNil)
			}
		}
	})
}
