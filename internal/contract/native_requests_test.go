package contract

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/pkg/node"
)

// haste is by how much the tests put a clock forward at each look, so that a node
// soon takes its turn at reading the configuration service; not measured.
const haste = 200 * time.Millisecond

// jumpingClock can be put forward.
type jumpingClock struct{ ahead atomic.Int64 }

func (c *jumpingClock) now() time.Time { return time.Now().Add(time.Duration(c.ahead.Load())) }

func (c *jumpingClock) jump(d time.Duration) { c.ahead.Add(int64(d)) }

// TestNativeRequests holds what a node sends to targets and to the platform.
func TestNativeRequests(t *testing.T) {
	t.Parallel()
	clock := &jumpingClock{}
	d := startNative(t, nil, lab.WithNodeOptions(node.WithClock(clock.now)))
	address := d.Nodes[0].CallerAddress()
	var got strings.Builder
	d.eventually("a load report was asked for", func() bool { return d.toTargets.has("GET /v1/load") })
	got.WriteString(section("load report", d.toTargets.take("/v1/load")))
	cases := []struct {
		name string
		call call
	}{
		{"stages", run("plain", "x").with("Idempotency-Key", "not passed on").with("Honeydyke-Priority", "7")},
		{"a stage that may not be repeated", run("locker", "x")},
		{"a stage whose target checks keys", run("charge", "x").with("Idempotency-Key", "k")},
		{"an engine", callOf(http.MethodPost, "/v1/pipelines/chat", `{"input":"x","maxTokens":7}`)},
		{"an engine that goes on from where another stopped", run("chat", "again")},
		{"an engine for a chat", callOf(http.MethodPost, "/v1/chat/completions",
			`{"model":"chat","messages":[{"role":"user","content":[{"type":"text","text":"hello"}]}],"max_completion_tokens":5,"priority":3}`)},
	}
	for _, c := range cases {
		d.toTargets.take("")
		if resp, body := d.ask(address, c.call); resp.StatusCode != http.StatusOK {
			t.Errorf("%s: %s", c.name, answerText(resp, body))
		}
		got.WriteString(section(c.name, d.toTargets.take("POST ")))
	}
	d.eventually("the platform was asked", func() bool {
		clock.jump(haste)
		return d.toPlatform.has("GET /v1/instances") && d.toPlatform.has("?after=")
	})
	got.WriteString(section("platform", d.toPlatform.take("")))
	checkFile(t, "native/requests.txt", got.String())
}
