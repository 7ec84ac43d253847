package warmup_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
)

var start = time.Unix(1000, 0)

// margin and service are of a deployment whose cold targets bear 10 requests a second,
// and 20 at most.
var (
	margin  = warmup.Margin{Overshoot: 1.5, Tolerance: 5}
	service = catalog.WarmUp{Duration: 3 * time.Second, RequestsPerSecond: 10}
)

func cold(id string) directory.Target {
	return directory.Target{ID: id, ColdUntil: start.Add(time.Minute)}
}

func limitsOf(b warmup.Bound) *warmup.Limiter {
	l := warmup.NewLimiter()
	l.SetBound(b)
	return l
}

func always() bool { return true }

func never() bool { return false }

// sentWithin gives a target as many requests as it may get in a time and counts them.
func sentWithin(l *warmup.Limiter, t directory.Target, d time.Duration) int {
	n := 0
	for at := start; at.Before(start.Add(d)); at = at.Add(time.Millisecond) {
		if l.Allows(at, t, always) {
			l.Take(at, t)
			n++
		}
	}
	return n
}

func TestLimits(t *testing.T) {
	bound := margin.Bound(service)
	convey.Convey("Six members together give out no more than the bound in a second", t, func() {
		convey.So(6*sentWithin(limitsOf(bound), cold("a"), time.Second), convey.ShouldBeBetweenOrEqual, 12, 20)
		convey.So(sentWithin(limitsOf(bound), cold("a"), 10*time.Second), convey.ShouldBeBetween, 20, 30)
	})
	convey.Convey("Each target has a bucket of its own", t, func() {
		l := limitsOf(bound)
		sentWithin(l, cold("a"), time.Second)
		convey.So(l.Allows(start, cold("b"), always), convey.ShouldBeTrue)
	})
	convey.Convey("A warm target, and one of a service without a bound, get everything", t, func() {
		convey.So(sentWithin(limitsOf(bound), directory.Target{ID: "a"}, time.Second), convey.ShouldEqual, 1000)
		convey.So(sentWithin(limitsOf(margin.Bound(catalog.WarmUp{Duration: time.Second})), cold("a"), time.Second), convey.ShouldEqual, 1000)
		convey.So((*warmup.Limiter)(nil).Allows(start, cold("a"), never), convey.ShouldBeTrue)
	})
	convey.Convey("A member that does not give out a cold target's requests sends it none", t, func() {
		convey.So(limitsOf(bound).Allows(start, cold("a"), never), convey.ShouldBeFalse)
		convey.So(limitsOf(bound).Allows(start, directory.Target{ID: "a"}, never), convey.ShouldBeTrue)
	})
	convey.Convey("Where six members cannot share the bound, nobody sends anything until the target is warm", t, func() {
		l := limitsOf(warmup.Margin{Overshoot: 1}.Bound(catalog.WarmUp{RequestsPerSecond: 3}))
		convey.So(sentWithin(l, cold("a"), time.Second), convey.ShouldEqual, 0)
	})
	convey.Convey("Buckets of targets that are gone or warm are forgotten, others kept", t, func() {
		l := limitsOf(bound)
		sentWithin(l, cold("a"), time.Second)
		l.Prune(start, directory.New(cold("a")))
		convey.So(l.Allows(start, cold("a"), always), convey.ShouldBeFalse)
		l.Prune(start, directory.New())
		convey.So(l.Allows(start, cold("a"), always), convey.ShouldBeTrue)
	})
}
