package backpressure_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/backpressure"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// brittleTarget is a brittle target as one of several nodes sees it.
type brittleTarget struct {
	now     time.Time
	tracker *backpressure.Tracker
	gate    backpressure.Gate
	target  directory.Incarnation
}

// newBrittleTarget returns a target that has just said that it can refuse some requests a second.
func newBrittleTarget(refusals float64, nodes int) *brittleTarget {
	b := &brittleTarget{now: start, target: directory.Incarnation{ID: "t"}}
	b.tracker = backpressure.NewTracker(backpressure.Config{
		Now: func() time.Time { return b.now }, Log: zerolog.Nop(), Changed: func(int) {},
		Nodes: func() int { return nodes }, Rank: func(string) (int, int) { return 0, nodes },
	})
	b.gate = b.tracker.RequestGate()
	b.answers(backpressure.Signal{Brittle: backpressure.Brittleness{Set: true, RefusalsPerSecond: refusals}})
	return b
}

// answers has the target answer, which says that it is brittle unless the signal is empty.
func (b *brittleTarget) answers(s backpressure.Signal) {
	s.Sent = b.now
	b.tracker.Observe(b.target, s)
}

func (b *brittleTarget) refuses(refusals float64) {
	b.answers(backpressure.Signal{NoRoom: true, Brittle: backpressure.Brittleness{Set: true, RefusalsPerSecond: refusals}})
}

func (b *brittleTarget) pass(d time.Duration) { b.now = b.now.Add(d) }

// shouldTake holds how many requests the target may get at this moment.
func (b *brittleTarget) shouldTake(n int) {
	for range n {
		convey.So(b.gate.Take(b.target), convey.ShouldBeTrue)
	}
	convey.So(b.gate.Take(b.target), convey.ShouldBeFalse)
}

// TestBrittleTarget guards against refusals that crash a brittle target, and against a target that
// is left unused although it refuses nothing.
func TestBrittleTarget(t *testing.T) {
	convey.Convey("Given a brittle target of three nodes", t, func() {
		b := newBrittleTarget(5, 3)
		convey.Convey("as many requests are under way as this node may cause refusals", func() { b.shouldTake(1) })
		convey.Convey("a request that was not refused makes way for the next", func() {
			for range 10 {
				b.shouldTake(1)
				b.pass(60 * time.Millisecond)
			}
		})
		convey.Convey("after a refusal the target gets nothing until this node's share allows another", func() {
			b.shouldTake(1)
			b.refuses(5)
			b.pass(900 * time.Millisecond)
			b.shouldTake(0)
			b.pass(200 * time.Millisecond)
			b.shouldTake(1)
		})
		convey.Convey("a refusal that comes late is paid for", func() {
			b.shouldTake(1)
			b.pass(60 * time.Millisecond)
			b.shouldTake(1)
			b.refuses(5)
			b.refuses(5)
			b.pass(1500 * time.Millisecond)
			b.shouldTake(0)
		})
		convey.Convey("free slots that it reports are used, this node's part of them", func() {
			b.answers(backpressure.Signal{
				Brittle: backpressure.Brittleness{Set: true, RefusalsPerSecond: 5}, Load: backpressure.Load{Taken: 2, Slots: 8},
			})
			b.shouldTake(2)
			b.pass(time.Second)
			b.shouldTake(1)
		})
		convey.Convey("it is as any other when an answer no longer says so", func() {
			b.shouldTake(1)
			b.pass(time.Millisecond)
			b.answers(backpressure.Signal{})
			for range 10 {
				convey.So(b.gate.Take(b.target), convey.ShouldBeTrue)
			}
		})
	})
}
