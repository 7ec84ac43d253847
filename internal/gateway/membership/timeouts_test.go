package membership

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// heartbeat is the gateway's gossipInterval.
const heartbeat = 500 * time.Millisecond

// TestTimeoutsHangTogether holds the relations that liveness.go states.
func TestTimeoutsHangTogether(t *testing.T) {
	convey.Convey("A suspicion outlasts two heartbeats, so that the next report can come", t, func() {
		convey.So(suspectFor, convey.ShouldBeGreaterThan, 2*heartbeat)
	})
	convey.Convey("A member that lives may miss some heartbeats, and a suspicion decides nothing about its death", t, func() {
		convey.So(liveFor, convey.ShouldBeGreaterThan, 3*heartbeat)
		convey.So(liveFor, convey.ShouldBeGreaterThan, suspectFor)
	})
	convey.Convey("A silent member is remembered until nobody reports it any more", t, func() {
		convey.So(forgetAfter, convey.ShouldBeGreaterThanOrEqualTo, 10*liveFor)
	})
}
