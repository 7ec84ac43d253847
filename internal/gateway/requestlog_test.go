package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/delivery"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// loggedLine returns the log line of a decision.
func loggedLine(d relay.Decision) map[string]any {
	var out bytes.Buffer
	l := &requestLog{log: zerolog.New(&out)}
	l.Decided("r", d)
	var line map[string]any
	convey.So(json.Unmarshal(out.Bytes(), &line), convey.ShouldBeNil)
	return line
}

// loggedEnd returns the log line of a request's end.
func loggedEnd(o *relay.Outcome) map[string]any {
	var out bytes.Buffer
	l := &requestLog{log: zerolog.New(&out)}
	l.logRequest(o)
	var line map[string]any
	convey.So(json.Unmarshal(out.Bytes(), &line), convey.ShouldBeNil)
	return line
}

func TestAttemptFailedLog(t *testing.T) {
	shouldLog := func(next rules.NextAttempt, again bool, want string) {
		line := loggedLine(relay.AttemptFailed{Attempt: relay.Attempt{Target: "t"}, WillRetry: again, Next: next})
		convey.So(line["message"], convey.ShouldEqual, "request: attempt failed")
		convey.So(line["again"], convey.ShouldEqual, again)
		convey.So(line["next"], convey.ShouldEqual, want)
	}
	convey.Convey("The log line of a failed attempt shows what follows, or why nothing does", t, func() {
		shouldLog(rules.OtherTarget{}, true, "other target")
		shouldLog(rules.Recompute{}, true, "recompute inputs")
		shouldLog(rules.GiveUp{Reason: rules.MayHaveRun}, false, "given up, may have run")
		shouldLog(rules.GiveUp{Reason: rules.RequestEnded}, false, "given up, request ended")
	})
}

// evidentFailure returns the failure of a request that got the copy of an earlier answer.
func evidentFailure(t *testing.T) *verdict.Error {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Id", "one") }))
	t.Cleanup(target.Close)
	client := delivery.New()
	send := func(id string) *verdict.Error {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, target.URL, nil)
		convey.So(err, convey.ShouldBeNil)
		resp, _, failure := client.Exchange(req, delivery.Sending{
			Target: delivery.Target{Address: target.Listener.Addr().String()}, Identity: id, IdentityHeader: "Id", Permit: func() error { return nil },
		})
		if failure == nil {
			_ = resp.Body.Close()
		}
		return failure
	}
	convey.So(send("one"), convey.ShouldBeNil)
	return send("two")
}

// TestEvidenceLog guards against log lines that lack the answer that a failure was concluded from.
func TestEvidenceLog(t *testing.T) {
	convey.Convey("A failed attempt and the end of its request show the answer, its connection and what came before", t, func() {
		err := evidentFailure(t)
		for _, line := range []map[string]any{
			loggedLine(relay.AttemptFailed{Attempt: relay.Attempt{Target: "t", Err: err}, Next: rules.OtherTarget{}}),
			loggedEnd(&relay.Outcome{Request: &relay.Request{}, Err: err.WithVerdict(verdict.NotRun)}),
		} {
			convey.So(line["answer"], convey.ShouldEqual, `200 of "one" to call 2`)
			convey.So(line["connection"], convey.ShouldContainSubstring, " from 127.0.0.1:")
			convey.So(line["before"], convey.ShouldResemble, []any{`200 of "one" to call 1`})
		}
	})
}

func TestRefusedLog(t *testing.T) {
	convey.Convey("The log line of a refusal shows the planned stages, what was compared and the terms of the bound", t, func() {
		decision := rules.Admit(rules.Admission{
			Estimated: 1533 * time.Millisecond, Alone: 280 * time.Millisecond, Left: 1800 * time.Millisecond, Objective: 2 * time.Second,
			Priority: 2,
		})
		refused, ok := decision.(rules.Refused)
		convey.So(ok, convey.ShouldBeTrue)
		line := loggedLine(relay.Refused{
			Stages:   []relay.PlannedStage{{Service: "rank", Stage: 1, Items: 4}, {Service: "scan", Stage: 2, Items: 6}},
			Backlogs: []time.Duration{1253 * time.Millisecond, 900 * time.Millisecond},
			Arrivals: []time.Duration{0, 300 * time.Millisecond}, Estimated: 1533 * time.Millisecond, Left: 1800 * time.Millisecond,
			Comparison: refused.Comparison,
		})
		convey.So(line, convey.ShouldResemble, map[string]any{
			"level": "info", "request": "r", "message": "request: refused, the stages would take too long",
			"lasts": 1533.0, "left": 1800.0, "stage1": "rank 4 items behind 1.253s",
			"stage2": "scan 6 items behind 900ms, 300ms of it expected arrivals",
			"waitMs": 1253.0, "boundMs": 800.0, "windowMs": 1800.0, "planShare": 0.85,
			"aloneMs": 280.0, "leadMs": 150.0, "priorityMarginMs": 300.0, "minWaitMs": 150.0, "retried": false,
		})
	})
	convey.Convey("It shows whether capacity had been reserved, and when the client is to return for capacity", t, func() {
		line := loggedLine(relay.Refused{Reserved: true, ReturnAfter: 400 * time.Millisecond})
		convey.So(line["reserved"], convey.ShouldEqual, true)
		convey.So(line["returnAfter"], convey.ShouldEqual, 400.0)
	})
	convey.Convey("It says so if the request's organisation is over its share", t, func() {
		convey.So(loggedLine(relay.Refused{OverShare: true})["overShare"], convey.ShouldEqual, true)
		convey.So(loggedLine(relay.Refused{}), convey.ShouldNotContainKey, "overShare")
	})
}

func TestFormatAttempts(t *testing.T) {
	convey.Convey("Each attempt shows its target, the reason if it failed, its status and its milliseconds", t, func() {
		failed := verdict.New(verdict.MayHaveRun, verdict.ReasonCut, "why")
		text := formatAttempts([]relay.Attempt{
			{Target: "a", Status: 200, Err: failed, Took: 1387 * time.Millisecond}, {Target: "b", Status: 200, Took: 2900 * time.Microsecond},
		})
		convey.So(text, convey.ShouldEqual, "a:answer-cut/200:1387 b:200:2")
		convey.So(formatAttempts(nil), convey.ShouldBeEmpty)
	})
}
