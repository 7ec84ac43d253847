package rules

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestStreamAge guards against streams that count as younger than they can be, so that targets which
// may have begun them are left out.
func TestStreamAge(t *testing.T) {
	const most, allowed = 30 * time.Second, 15 * time.Second
	var clients ClientTimeouts
	for range minFirstAttempts {
		clients = clients.With(allowed, false)
	}
	shouldBe := func(clients ClientTimeouts, route, left, held, want time.Duration) {
		convey.So(StreamAge(StreamAgeInput{Clients: clients, RouteTimeout: route, Left: left, Held: held, Most: most}), convey.ShouldEqual, want)
	}
	convey.Convey("A stream is as old as what its client waits less", t, func() {
		shouldBe(clients, allowed, 5*time.Second, 0, 10*time.Second)
		shouldBe(clients, allowed, 5*time.Second, 100*time.Millisecond, 10100*time.Millisecond)
	})
	convey.Convey("It can be as old as any", t, func() {
		convey.Convey("if its client does not count down, or says nothing", func() {
			shouldBe(clients, allowed, allowed, 0, most)
			shouldBe(clients, allowed, allowed-100*time.Millisecond, 0, most)
			shouldBe(clients, allowed, 0, 0, most)
		})
		convey.Convey("if clients wait longer than the route allows, or it allows any time", func() {
			shouldBe(clients.With(allowed+1, true), allowed, 5*time.Second, 0, most)
			shouldBe(clients, 0, 5*time.Second, 0, most)
		})
		convey.Convey("if few requests have begun a stream since the node started", func() {
			few := ClientTimeouts{Longest: allowed, Begun: minFirstAttempts - 1}
			shouldBe(few, allowed, 5*time.Second, 0, most)
			shouldBe(few.With(allowed, true), allowed, 5*time.Second, 0, most)
		})
	})
	convey.Convey("It is never older than any", t, func() { shouldBe(clients, time.Minute, time.Second, 0, most) })
}
