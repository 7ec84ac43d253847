package rules

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// targetFailure returns a failure of a target that may be retried at another one.
func targetFailure() Response {
	return Response{Status: 503, Retryable: true, MaxAttempts: 2, Budget: 1, Left: 2 * time.Second, Objective: 2 * time.Second}
}

func shouldDecide(a Response, want ResponseDecision) {
	convey.So(AfterResponse(a), convey.ShouldResemble, want)
}

func TestAfterResponse(t *testing.T) {
	convey.Convey("A failure of the target itself is retried at another target", t, func() {
		shouldDecide(targetFailure(), TryAnotherTarget{})
	})
	for _, c := range []struct {
		what   string
		change func(*Response)
	}{
		{"a success, whatever its status", func(a *Response) { a.Succeeded = true }},
		{"a failure that another target would report as well", func(a *Response) { a.Status = 404 }},
		{"a failure of a request that must not run twice", func(a *Response) { a.Retryable = false }},
		{"a failure of the last attempt", func(a *Response) { a.PossibleRuns = 1 }},
		{"a failure while the retry budget is exhausted", func(a *Response) { a.Budget = 0.9 }},
		{"a failure when no more than half of the objective is left", func(a *Response) { a.Left = time.Second }},
	} {
		a := targetFailure()
		c.change(&a)
		convey.Convey("The client gets "+c.what, t, func() { shouldDecide(a, Forward{}) })
		a.Started = true
		convey.Convey("A stream that has started is aborted by "+c.what, t, func() { shouldDecide(a, AbortStream{}) })
	}
}

// TestClaimOfNotRun guards against a request that runs twice because its client was told by the
// status of a target that ran it that it had not run.
func TestClaimOfNotRun(t *testing.T) {
	claim := Response{Status: 503, ClaimsNotRun: true, MaxAttempts: 1}
	convey.Convey("A response that claims that its request did not run is withheld", t, func() {
		shouldDecide(claim, Withhold{})
	})
	convey.Convey("It is forwarded if the request may run twice", t, func() {
		claim.Retryable = true
		shouldDecide(claim, Forward{})
	})
}

func TestEventForwarded(t *testing.T) {
	convey.Convey("A resumed stream skips the events that the client already has", t, func() {
		for _, c := range []struct {
			id, last string
			want     bool
		}{
			{"3", "3", true},
			{"2", "3", true},
			{"10", "9", false},
			{"4", "3", false},
			{"1", "", false},
			{"", "3", false},
			{"a", "b", false},
		} {
			convey.So(EventForwarded(c.id, c.last), convey.ShouldEqual, c.want)
		}
	})
}

// TestEndsTooEarly guards against clients that get an empty stream as a whole one because its target ended
// after its header, and against streams taken up after their last event that never end.
func TestEndsTooEarly(t *testing.T) {
	for _, c := range []struct {
		name        string
		undelimited bool
		bytes       int64
		last        string
		want        bool
	}{
		{"a header and the end of the connection", true, 0, "", true},
		{"a header and a length, or a last chunk", false, 0, "", false},
		{"events and the end of the connection", true, 14, "", false},
		{"nothing left after the last event", true, 0, "3", false},
	} {
		convey.Convey(c.name, t, func() {
			convey.So(EndsTooEarly(c.undelimited, c.bytes, c.last), convey.ShouldEqual, c.want)
		})
	}
}
