package membership

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// heartbeat is the gateway's gossipInterval.
const heartbeat = 500 * time.Millisecond

// TestTimeoutRelations checks the relations between timeouts that liveness.go states.
func TestTimeoutRelations(t *testing.T) {
	convey.Convey("A suspicion lasts more than two heartbeats, so that the next report can arrive", t, func() {
		convey.So(suspicionTimeout, convey.ShouldBeGreaterThan, 2*heartbeat)
	})
	convey.Convey("A live member may miss some heartbeats, and a suspicion ends before the member counts as failed", t, func() {
		convey.So(liveTimeout, convey.ShouldBeGreaterThan, 3*heartbeat)
		convey.So(liveTimeout, convey.ShouldBeGreaterThan, suspicionTimeout)
	})
	convey.Convey("A silent member stays in the roster until no other member reports it", t, func() {
		convey.So(dropTimeout, convey.ShouldBeGreaterThanOrEqualTo, 10*liveTimeout)
	})
}
