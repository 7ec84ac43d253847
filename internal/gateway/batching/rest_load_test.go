package batching_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
)

// TestLoadRestsOfStreams guards against streams that clients take up and whose items wait behind
// all that arrives, since their objective is over, until their clients leave.
func TestLoadRestsOfStreams(t *testing.T) {
	const s = time.Second
	convey.Convey("Beside streams that begin at 1.3 times the capacity, those that clients take up", t, func() {
		l := newLoad(withdrawSpec(), 4, batching.Admission{},
			loadRoute{name: "begin", perSecond: during(0, 10*s, 112, 0), items: 4, bytes: 2000, hold: 100 * time.Millisecond, objective: 2 * s, timeout: 10 * s},
			loadRoute{name: "rest", perSecond: during(3*s, 9*s, 3, 0), items: 4, bytes: 2000, hold: 100 * time.Millisecond, objective: 100 * time.Millisecond, timeout: 8 * s, priority: 2, rest: true},
		)
		l.quote = func(time.Time, batching.Plan) time.Duration { return 0 }
		l.run(10 * s)
		rest := l.results["rest"]
		convey.Convey("are done within three full batches, however late for their objective", func() {
			convey.So(rest.asked, convey.ShouldBeGreaterThan, 15)
			convey.So(rest.inTime+rest.late, convey.ShouldEqual, rest.asked)
			convey.So(rest.lateBy, convey.ShouldBeLessThan, 3*(l.spec.CallLatency+time.Duration(l.spec.MaxItems)*l.spec.PerItem))
		})
		convey.Convey("and those that begin are served as far as the targets carry them", func() {
			convey.So(l.results["begin"].inTime, convey.ShouldBeGreaterThan, l.results["begin"].asked/2)
		})
	})
}
