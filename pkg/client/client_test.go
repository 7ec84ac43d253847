package client_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/client"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const refusal = `{"request":"id","verdict":"not-run","reason":"overload","text":"full","stage":"s","safeToRetry":true,"retryAfterMs":250}`

// closedAddress is a URL that nothing listens at.
func closedAddress() string {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	return s.URL
}

// answering is a node that gives every request one answer, with its identity.
func answering(status int, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderIdentity, r.Header.Get(wire.HeaderIdentity))
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, body)
	}
}

func answeringStream(events string) http.HandlerFunc {
	return answering(http.StatusOK, "text/event-stream", events)
}

func hangingUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func otherIdentity(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(wire.HeaderIdentity, "other")
}

func shorterThanSaid(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderIdentity, r.Header.Get(wire.HeaderIdentity))
	w.Header().Set("Content-Length", "100")
	_, _ = fmt.Fprint(w, `{"output":`)
}

func TestWhatAFailedRequestMayClaim(t *testing.T) {
	const notRun, may = verdict.NotRun, verdict.MayHaveRun
	cases := []struct {
		question string
		// node is nil for an address that nothing listens at.
		node    http.HandlerFunc
		ticket  string
		verdict verdict.Verdict
		reason  verdict.Reason
		safe    bool
	}{
		{"nothing listens", nil, "", notRun, verdict.ReasonDial, true},
		{"nothing listens, and it has a ticket", nil, "t", may, verdict.ReasonDial, false},
		{"the connection is lost", hangingUp, "", may, verdict.ReasonConnection, true},
		{"the answer is another request's", otherIdentity, "", may, verdict.ReasonIdentity, true},
		{"the node refuses it", answering(503, "application/json", refusal), "", notRun, verdict.ReasonOverload, true},
		{"something else than a node refuses it", answering(502, "text/html", "<html>"), "", may, verdict.ReasonTargetError, true},
		{"the answer is cut", shorterThanSaid, "", may, verdict.ReasonCut, true},
		{"the answer is not an answer", answering(200, "application/json", "1"), "", may, verdict.ReasonTargetError, true},
		{"the stream ends without its end mark", answeringStream("data: {\"text\":\"a\"}\n\n"), "", may, verdict.ReasonCut, true},
		{"the stream holds something else", answeringStream("data: 1\n\n"), "", may, verdict.ReasonTargetError, true},
		{"the stream ends in a refusal", answeringStream("data: {\"refusal\":" + refusal + "}\n\n"), "", notRun, verdict.ReasonOverload, true},
	}
	convey.Convey("A request fails when", t, func() {
		for _, c := range cases {
			convey.Convey(c.question, func() {
				base := closedAddress()
				if c.node != nil {
					server := httptest.NewServer(c.node)
					defer server.Close()
					base = server.URL
				}
				_, err := client.New(base, "key").Run(context.Background(), client.Request{Pipeline: "p", Identity: "id", Ticket: c.ticket}, nil)
				e := verdict.From(err)
				convey.So(e, convey.ShouldNotBeNil)
				convey.So(e.Verdict(), convey.ShouldEqual, c.verdict)
				convey.So(e.Reason(), convey.ShouldEqual, c.reason)
				convey.So(e.SafeToRetry(), convey.ShouldEqual, c.safe)
			})
		}
	})
}

func TestWholeAnswers(t *testing.T) {
	whole := map[string]http.HandlerFunc{
		"at once": answering(200, "application/json", `{"output":"ab"}`),
		"in pieces": answeringStream("data: {\"text\":\"a\"}\n\ndata: {\"text\":\"b\"}\n\n" +
			"data: {\"answer\":{}}\n\n"),
	}
	for name, node := range whole {
		convey.Convey("An answer that comes "+name+" is returned whole and passed on", t, func() {
			server := httptest.NewServer(node)
			defer server.Close()
			passed := ""
			answer, err := client.New(server.URL, "key").Run(context.Background(), client.Request{Pipeline: "p"}, func(s string) { passed += s })
			convey.So(err, convey.ShouldBeNil)
			convey.So(answer.Output, convey.ShouldEqual, "ab")
			convey.So(passed, convey.ShouldEqual, "ab")
		})
	}
}

func TestRefusalsKeepWhatTheNodeSaid(t *testing.T) {
	convey.Convey("A refusal names its stage, text and time after which to retry", t, func() {
		server := httptest.NewServer(answering(503, "application/json", refusal))
		defer server.Close()
		_, err := client.New(server.URL, "key").Run(context.Background(), client.Request{Pipeline: "p"}, nil)
		e := verdict.From(err)
		convey.So(e.Stage(), convey.ShouldEqual, "s")
		convey.So(e.Text(), convey.ShouldEqual, "full")
		convey.So(e.RetryAfter(), convey.ShouldEqual, 250*time.Millisecond)
	})
}
