package node

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

func TestNewNodeServesOnceItsSourcesHaveAnsweredOrHadTheirTime(t *testing.T) {
	both := startRule{hasPeers: true, hasService: true}
	cases := []struct {
		name string
		rule startRule
		age  time.Duration
		met  bool
	}{
		{"a node without peers serves at once", startRule{hasService: true}, 0, true},
		{"silent sources are waited for", both, aloneWait, false},
		{"the service alone is not enough", startRule{hasPeers: true, hasService: true, serviceAnswered: true}, aloneWait, false},
		{"all silent peers have had their time", both, aloneWait + 1, true},
		{"a peer and the service have answered", startRule{hasPeers: true, hasService: true, peerAnswered: true, serviceAnswered: true}, 0, true},
		{"a peer has answered and there is no service", startRule{hasPeers: true, peerAnswered: true}, 0, true},
		{"after a peer the service is waited for", startRule{hasPeers: true, hasService: true, peerAnswered: true}, startWait, false},
		{"after a peer the service has had its time", startRule{hasPeers: true, hasService: true, peerAnswered: true}, startWait + 1, true},
	}
	for _, c := range cases {
		convey.Convey(c.name, t, func() { convey.So(c.rule.met(c.age), convey.ShouldEqual, c.met) })
	}
}

func TestPausedNodeActsOnlyOnFreshUpdates(t *testing.T) {
	convey.Convey("Given a pause detector that beats", t, func() {
		age := time.Minute
		p := &pauseDetector{age: func() time.Duration { return age }}
		p.beat()
		p.refreshed()
		convey.So(p.check(), convey.ShouldBeNil)

		convey.Convey("a gap of the limit is no pause", func() {
			age += pauseLimit
			convey.So(p.check(), convey.ShouldBeNil)
			convey.So(p.beat(), convey.ShouldBeFalse)
		})
		convey.Convey("a longer one is, before and after the beat that finds it", func() {
			age += pauseLimit + 1
			shouldRefuseAsPaused(p)
			convey.So(p.beat(), convey.ShouldBeTrue)
			shouldRefuseAsPaused(p)
			convey.Convey("until an update arrives", func() {
				p.refreshed()
				convey.So(p.check(), convey.ShouldBeNil)
			})
			convey.Convey("or until the wait for one is over", func() {
				for waited := time.Duration(0); waited < refreshLimit; waited += pauseBeat {
					shouldRefuseAsPaused(p)
					age += pauseBeat
					p.beat()
				}
				convey.So(p.check(), convey.ShouldBeNil)
			})
		})
	})
	convey.Convey("A resumed node waits for an update longer than an exchange takes", t, func() {
		convey.So(refreshLimit, convey.ShouldBeGreaterThan, peerTimeout)
	})
}

func shouldRefuseAsPaused(p *pauseDetector) {
	err := verdict.From(p.check())
	convey.So(err, convey.ShouldNotBeNil)
	convey.So(err.Verdict(), convey.ShouldEqual, verdict.NotRun)
	convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonNotReady)
}

func TestPlannedStopWaitsForWorkInFlight(t *testing.T) {
	convey.Convey("Given a planned stop", t, func() {
		calls := 0
		cut := make(chan struct{})
		d := &drain{
			now:      time.Now,
			inFlight: func() int { return calls },
			limit:    time.Minute,
			cut:      cut,
			log:      zerolog.Nop(),
		}
		convey.Convey("with nothing in flight it ends after the quiet time", func() {
			begun := time.Now()
			convey.So(d.wait(), convey.ShouldBeNil)
			convey.So(time.Since(begun), convey.ShouldBeGreaterThanOrEqualTo, drainQuiet)
		})
		convey.Convey("it ends after the announcement when that is longer", func() {
			d.announce = 2 * drainQuiet
			begun := time.Now()
			convey.So(d.wait(), convey.ShouldBeNil)
			convey.So(time.Since(begun), convey.ShouldBeGreaterThanOrEqualTo, d.announce)
		})
		convey.Convey("work in flight is cut at the limit of the settings, and counted", func() {
			calls = 3
			d.limit = drainPoll
			convey.So(d.wait(), convey.ShouldBeError, "the limit of the settings has passed: 3 calls in flight were cut")
		})
		convey.Convey("work in flight is cut at a second signal, and counted", func() {
			calls = 2
			close(cut)
			convey.So(d.wait(), convey.ShouldBeError, "a second signal came: 2 calls in flight were cut")
		})
		convey.Convey("an early end that cuts nothing is no error", func() {
			close(cut)
			convey.So(d.wait(), convey.ShouldBeNil)
		})
	})
}
