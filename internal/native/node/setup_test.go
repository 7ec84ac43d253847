package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/node"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/client"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// testTimeout ends a test that hangs.
const testTimeout = 60 * time.Second

// deployment starts Kōwhai's deployment for one test.
func deployment(t *testing.T, opts ...lab.Option) (*lab.Lab, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	l, err := lab.Start(ctx, examples.Kowhai(), opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l, ctx
}

// clientOf returns a client of the node with the organisation's key.
func clientOf(m *lab.Member, organisation string) *client.Client {
	return client.New(m.URL(), examples.Key(organisation))
}

// post sends a raw call to the native endpoint.
func post(m *lab.Member, pipeline, key, body string, h http.Header) (*http.Response, message.Refusal) {
	req, _ := http.NewRequest(http.MethodPost, m.URL()+wire.PathPipelines+pipeline, strings.NewReader(body))
	req.Header = h.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		panic(err)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	var refusal message.Refusal
	_ = json.Unmarshal(raw, &refusal)
	return resp, refusal
}

// shouldBeRefusedAsNotRun asserts a refusal of the call with the identity id.
func shouldBeRefusedAsNotRun(resp *http.Response, refusal message.Refusal, status int, id string) {
	convey.So(resp.StatusCode, convey.ShouldEqual, status)
	convey.So(refusal.Verdict, convey.ShouldEqual, message.RefusalVerdictNotRun)
	convey.So(refusal.SafeToRetry, convey.ShouldBeTrue)
	convey.So(resp.Header.Get(wire.HeaderVerdict), convey.ShouldEqual, "not-run")
	convey.So(resp.Header.Get(wire.HeaderIdentity), convey.ShouldEqual, id)
	convey.So(refusal.Request, convey.ShouldEqual, id)
}

// shouldNeverRetry asserts an error after which the request may have run.
func shouldNeverRetry(err error) {
	convey.So(verdict.From(err).Verdict(), convey.ShouldNotEqual, verdict.NotRun)
	convey.So(verdict.From(err).SafeToRetry(), convey.ShouldBeFalse)
}

// stream is one streamed call in flight.
type stream struct {
	// begun is closed with the first text.
	begun chan struct{}
	// ended gets the call's error.
	ended chan error
}

// startStream streams an answer to input and checks that it is whole.
func startStream(ctx context.Context, l *lab.Lab, m *lab.Member, input string) *stream {
	s := &stream{begun: make(chan struct{}), ended: make(chan error, 1)}
	go func() {
		first := true
		answer, err := clientOf(m, "members-app").Run(ctx, client.Request{Pipeline: "chat-reply", Input: input, Stream: true}, func(string) {
			if first {
				close(s.begun)
			}
			first = false
		})
		if err == nil && answer.Output != lab.Expected(l.Plan, "members-app", "chat-reply", input) {
			err = fmt.Errorf("%s got another answer", input)
		}
		s.ended <- err
	}()
	return s
}

// stopAndWaitUntilLeaving begins a planned stop of the node.
func stopAndWaitUntilLeaving(ctx context.Context, m *lab.Member) {
	m.Stop()
	convey.So(lab.Poll(ctx, func() bool { return m.Phase() == node.Leaving }), convey.ShouldBeNil)
}

// failOnce lets the next call of each target end with the fault, and clears the
// faults that are left when the test ends.
func failOnce(targets []*standin.Target, fault standin.Fault) {
	for _, target := range targets {
		target.Fail(fault, 1)
	}
	convey.Reset(func() {
		for _, target := range targets {
			target.ClearFaults()
		}
	})
}

// runsOf counts the runs of an input at the targets of a pool.
func runsOf(l *lab.Lab, pool, input string) int {
	n := 0
	for _, t := range l.Pool(pool) {
		for _, r := range t.Runs() {
			if r.Input == input {
				n++
			}
		}
	}
	return n
}

// shouldAnswerPosts asserts the status of a POST without a key to each path.
func shouldAnswerPosts(address string, status int, paths ...string) {
	for _, path := range paths {
		resp, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(nil))
		convey.So(err, convey.ShouldBeNil)
		_ = resp.Body.Close()
		convey.So(resp.StatusCode, convey.ShouldEqual, status)
	}
}

// takeTicket returns the request of a ticket whose home is node 0.
func takeTicket(ctx context.Context, l *lab.Lab) client.Request {
	ticket, err := clientOf(l.Nodes[0], "depots").TakeTicket(ctx, "release-locker")
	convey.So(err, convey.ShouldBeNil)
	return client.Request{Pipeline: "release-locker", Ticket: ticket.Ticket}
}
