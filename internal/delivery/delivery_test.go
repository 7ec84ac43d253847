package delivery_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/delivery"
	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const loopback = "127.0.0.1:0"

func startTarget(t *testing.T) *standin.Target {
	t.Helper()
	target := standin.NewTarget("t", standin.WithLateBy(50*time.Millisecond))
	if err := target.Start(loopback); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Crash)
	return target
}

func stageCall(address, id string) delivery.Call {
	body, _ := json.Marshal(message.StageCall{Stage: "s", Organisation: "o", Input: id})
	return delivery.Call{Address: address, Path: wire.PathStage, Identity: id, Deadline: time.Now().Add(5 * time.Second), Body: body}
}

// warm leaves an idle connection behind, which the next call reuses.
func warm(t *testing.T, c *delivery.Client, address string) {
	t.Helper()
	if _, err := c.Do(context.Background(), stageCall(address, "warm")); err != nil {
		t.Fatal(err)
	}
}

func TestFaultsGetTheirVerdict(t *testing.T) {
	cases := []struct {
		fault   standin.Fault
		verdict verdict.Verdict
		reason  verdict.Reason
		runs    int
	}{
		{standin.Refuse, verdict.NotRun, verdict.ReasonRefused, 0},
		{standin.RefuseBare, verdict.MayHaveRun, verdict.ReasonTargetError, 0},
		{standin.Redirect, verdict.MayHaveRun, verdict.ReasonTargetError, 0},
		{standin.ResetBefore, verdict.MayHaveRun, verdict.ReasonConnection, 0},
		{standin.ResetDuring, verdict.MayHaveRun, verdict.ReasonCut, 1},
		{standin.ResetAfter, verdict.MayHaveRun, verdict.ReasonConnection, 1},
		{standin.Cut, verdict.MayHaveRun, verdict.ReasonCut, 1},
		{standin.WrongIdentity, verdict.MayHaveRun, verdict.ReasonIdentity, 1},
		{standin.WrongBody, verdict.MayHaveRun, verdict.ReasonIdentity, 1},
	}
	for _, c := range cases {
		t.Run(string(c.fault), func(t *testing.T) {
			convey.Convey("A call over a kept connection that meets the fault runs at most once and says so", t, func() {
				target := startTarget(t)
				client := delivery.New()
				warm(t, client, target.Address())
				target.Fail(c.fault, 1)
				_, err := client.Do(context.Background(), stageCall(target.Address(), "id"))
				e := verdict.From(err)
				convey.So(e, convey.ShouldNotBeNil)
				convey.So(e.Verdict(), convey.ShouldEqual, c.verdict)
				convey.So(e.Reason(), convey.ShouldEqual, c.reason)
				convey.So(len(target.Runs())-1, convey.ShouldEqual, c.runs)
				convey.So(target.Calls(), convey.ShouldEqual, 2)
			})
		})
	}
}

func TestDoubledAnswerStaysWithItsCall(t *testing.T) {
	convey.Convey("An answer sent twice is never taken for the next call's", t, func() {
		target := startTarget(t)
		client := delivery.New()
		target.Fail(standin.Twice, 1)
		_, err := client.Do(context.Background(), stageCall(target.Address(), "one"))
		convey.So(err, convey.ShouldBeNil)
		answer, err := client.Do(context.Background(), stageCall(target.Address(), "two"))
		if err != nil {
			convey.So(verdict.From(err).Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
			return
		}
		convey.So(answer.Request, convey.ShouldEqual, "two")
	})
}

// closingServer reads whole requests and closes every kept connection without
// an answer to its second request.
func closingServer(t *testing.T, got *atomic.Int64) string {
	t.Helper()
	var served atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		got.Add(1)
		if served.Add(1) == 2 {
			panic(http.ErrAbortHandler)
		}
		id := r.Header.Get(wire.HeaderIdentity)
		w.Header().Set(wire.HeaderIdentity, id)
		_ = json.NewEncoder(w).Encode(message.StageAnswer{Request: id})
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestTransportDoesNotSendAgain(t *testing.T) {
	convey.Convey("A call with an idempotency key on a kept connection that breaks is delivered once", t, func() {
		var got atomic.Int64
		address := closingServer(t, &got)
		client := delivery.New()
		warm(t, client, address)
		call := stageCall(address, "id")
		call.Key = "a-key"
		_, err := client.Do(context.Background(), call)
		convey.So(verdict.From(err).Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
		convey.So(got.Load(), convey.ShouldEqual, 2)
	})
}

func TestRedirectsAreNotFollowed(t *testing.T) {
	convey.Convey("A target that sends its callers elsewhere gets one call, and elsewhere gets none", t, func() {
		var calls atomic.Int64
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			w.Header().Set(wire.HeaderIdentity, r.Header.Get(wire.HeaderIdentity))
			http.Redirect(w, r, "/elsewhere", http.StatusSeeOther)
		}))
		defer s.Close()
		_, err := delivery.New().Do(context.Background(), stageCall(strings.TrimPrefix(s.URL, "http://"), "id"))
		convey.So(verdict.From(err).Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
		convey.So(calls.Load(), convey.ShouldEqual, 1)
	})
}

// closedPort returns an address on which nothing listens.
func closedPort() string {
	ln, err := net.Listen("tcp", loopback)
	convey.So(err, convey.ShouldBeNil)
	convey.So(ln.Close(), convey.ShouldBeNil)
	return ln.Addr().String()
}

func TestNothingDialledIsNotRun(t *testing.T) {
	convey.Convey("A call to a closed port is not run", t, func() {
		_, err := delivery.New().Do(context.Background(), stageCall(closedPort(), "id"))
		convey.So(verdict.From(err).Verdict(), convey.ShouldEqual, verdict.NotRun)
		convey.So(verdict.From(err).Reason(), convey.ShouldEqual, verdict.ReasonDial)
	})
}

// saysWhere holds that the error names the method, the address and the cause, and not
// the path.
func saysWhere(err error, address string) {
	want := fmt.Sprintf("the call got no answer: POST %s: dial tcp %s: connect: connection refused", address, address)
	convey.So(err.Error(), convey.ShouldEndWith, want)
	convey.So(errors.Is(err, syscall.ECONNREFUSED), convey.ShouldBeTrue)
}

func TestErrorsNameNoPath(t *testing.T) {
	convey.Convey("The error of a call without an answer leaves out the path, which a client wrote", t, func() {
		address := closedPort()
		call := stageCall(address, "id")
		call.Path = "/a-client's-text"
		_, err := delivery.New().Do(context.Background(), call)
		saysWhere(err, address)
		convey.Convey("and so does that of a request sent as it is", func() {
			req, err := http.NewRequest(http.MethodPost, "http://"+address+call.Path, http.NoBody)
			convey.So(err, convey.ShouldBeNil)
			_, _, failure := delivery.New().Exchange(req, delivery.Sending{Permit: func() error { return nil }})
			saysWhere(failure, address)
		})
	})
}

func TestPauseBeforeTheWrite(t *testing.T) {
	convey.Convey("Given a process that is paused between its decision and the first byte", t, func() {
		target := startTarget(t)
		var late atomic.Bool
		now := func() time.Time {
			if late.Load() {
				return time.Now().Add(time.Hour)
			}
			return time.Now()
		}
		client := delivery.New(delivery.WithClock(now))
		warm(t, client, target.Address())
		call := stageCall(target.Address(), "id")
		convey.Convey("a deadline that passed meanwhile keeps the byte from being written", func() {
			late.Store(true)
			_, err := client.Do(context.Background(), call)
			e := verdict.From(err)
			convey.So(e.Verdict(), convey.ShouldEqual, verdict.NotRun)
			convey.So(e.Reason(), convey.ShouldEqual, verdict.ReasonDeadline)
			convey.So(target.Calls(), convey.ShouldEqual, 1)
		})
		convey.Convey("a permit that ran out keeps it from being written too", func() {
			call.Permit = func() error { return verdict.New(verdict.MayHaveRun, verdict.ReasonNotReady, "paused") }
			_, err := client.Do(context.Background(), call)
			e := verdict.From(err)
			convey.So(e.Verdict(), convey.ShouldEqual, verdict.NotRun)
			convey.So(e.Reason(), convey.ShouldEqual, verdict.ReasonNotReady)
			convey.So(target.Calls(), convey.ShouldEqual, 1)
		})
	})
}

func TestTimeout(t *testing.T) {
	convey.Convey("A call that outlasts its timeout is stalled, long before its deadline", t, func() {
		target := startTarget(t)
		target.Fail(standin.Stall, 1)
		call := stageCall(target.Address(), "id")
		call.Deadline = time.Now().Add(time.Hour)
		call.Timeout = 50 * time.Millisecond
		_, err := delivery.New().Do(context.Background(), call)
		convey.So(verdict.From(err).Reason(), convey.ShouldEqual, verdict.ReasonStalled)
		convey.So(verdict.From(err).Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
	})
}

func chatCall(address, id string) delivery.Call {
	call := stageCall(address, id)
	call.Path = wire.PathChat
	call.Body = []byte(`{"model":"m","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"` + id + `"}]}`)
	return call
}

func TestStreamsAreWholeOrBroken(t *testing.T) {
	cases := []struct {
		fault  standin.Fault
		reason verdict.Reason
	}{
		{"", ""},
		{standin.Late, ""},
		{standin.Twice, ""},
		{standin.Cut, verdict.ReasonCut},
		{standin.ResetDuring, verdict.ReasonCut},
		{standin.Stall, verdict.ReasonStalled},
		{standin.WrongIdentity, verdict.ReasonIdentity},
		{standin.WrongBody, verdict.ReasonIdentity},
	}
	for _, c := range cases {
		t.Run("fault "+string(c.fault), func(t *testing.T) {
			convey.Convey("A stream is whole with its end mark, and an error without", t, func() {
				target := startTarget(t)
				client := delivery.New(delivery.WithStall(200 * time.Millisecond))
				if c.fault != "" {
					target.Fail(c.fault, 1)
				}
				text := ""
				end, err := client.Stream(context.Background(), chatCall(target.Address(), "id"), func(s string) error {
					text += s
					return nil
				})
				if c.reason == "" {
					convey.So(err, convey.ShouldBeNil)
					convey.So(end.Finish, convey.ShouldEqual, "stop")
					convey.So(end.Tokens, convey.ShouldEqual, strings.Count(text, " "))
					return
				}
				convey.So(verdict.From(err).Reason(), convey.ShouldEqual, c.reason)
				convey.So(verdict.From(err).Verdict(), convey.ShouldEqual, verdict.MayHaveRun)
			})
		})
	}
}

// FuzzStream feeds an engine's stream with whatever a stranger sends. A stream
// counts as whole only with a finish reason, the end mark and no foreign chunk.
func FuzzStream(f *testing.F) {
	f.Add("data: {\"id\":\"chatcmpl-id\",\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	f.Add("data: [DONE]\n\n")
	f.Add("data: {\"id\":\"chatcmpl-other\"}\n\n")
	var body atomic.Value
	body.Store("")
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderIdentity, r.Header.Get(wire.HeaderIdentity))
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, body.Load().(string))
	}))
	f.Cleanup(s.Close)
	client := delivery.New()
	f.Fuzz(func(t *testing.T, text string) {
		body.Store(text)
		end, err := client.Stream(context.Background(), chatCall(strings.TrimPrefix(s.URL, "http://"), "id"), func(string) error { return nil })
		if err == nil && (end.Finish == "" || !strings.Contains(text, "[DONE]")) {
			t.Fatalf("taken for whole: %q", text)
		}
	})
}
