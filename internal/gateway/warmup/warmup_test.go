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

// margin and service limit a cold target, which sustains 10 requests a second, to 20 requests
// a second.
var (
	margin  = warmup.Margin{Overshoot: 1.5, Tolerance: 5}
	service = catalog.WarmUp{Duration: 3 * time.Second, RequestsPerSecond: 10}
)

func cold(id string) directory.Target {
	return directory.Target{ID: id, ColdUntil: start.Add(time.Minute)}
}

func newLimiter(b warmup.Bound) *warmup.Limiter {
	l := warmup.NewLimiter()
	l.SetBound(b)
	return l
}

func always() bool { return true }

func never() bool { return false }

// sendAllowed sends a target as many requests as are allowed within d and returns their
// number.
func sendAllowed(l *warmup.Limiter, t directory.Target, d time.Duration) int {
	n := 0
	for at := start; at.Before(start.Add(d)); at = at.Add(time.Millisecond) {
		if l.Allows(at, t, always) {
			l.Take(at, t)
			n++
		}
	}
	return n
}

func TestLimiter(t *testing.T) {
	bound := margin.Bound(service)
	convey.Convey("Six members together stay within the limit in a second", t, func() {
		convey.So(6*sendAllowed(newLimiter(bound), cold("a"), time.Second), convey.ShouldBeBetweenOrEqual, 12, 20)
		convey.So(sendAllowed(newLimiter(bound), cold("a"), 10*time.Second), convey.ShouldBeBetween, 20, 30)
	})
	convey.Convey("Each target has its own bucket", t, func() {
		l := newLimiter(bound)
		sendAllowed(l, cold("a"), time.Second)
		convey.So(l.Allows(start, cold("b"), always), convey.ShouldBeTrue)
	})
	convey.Convey("Warm targets and targets of a service without a limit are not limited", t, func() {
		convey.So(sendAllowed(newLimiter(bound), directory.Target{ID: "a"}, time.Second), convey.ShouldEqual, 1000)
		convey.So(sendAllowed(newLimiter(margin.Bound(catalog.WarmUp{Duration: time.Second})), cold("a"), time.Second), convey.ShouldEqual, 1000)
		convey.So((*warmup.Limiter)(nil).Allows(start, cold("a"), never), convey.ShouldBeTrue)
	})
	convey.Convey("A member that does not assign the requests of a cold target sends it none", t, func() {
		convey.So(newLimiter(bound).Allows(start, cold("a"), never), convey.ShouldBeFalse)
		convey.So(newLimiter(bound).Allows(start, directory.Target{ID: "a"}, never), convey.ShouldBeTrue)
	})
	convey.Convey("A cold target gets no requests if the limit is too small for six members", t, func() {
		l := newLimiter(warmup.Margin{Overshoot: 1}.Bound(catalog.WarmUp{RequestsPerSecond: 3}))
		convey.So(sendAllowed(l, cold("a"), time.Second), convey.ShouldEqual, 0)
	})
	convey.Convey("Prune removes the buckets of targets that are warm or no longer listed and keeps the others", t, func() {
		l := newLimiter(bound)
		sendAllowed(l, cold("a"), time.Second)
		l.Prune(start, directory.New(cold("a")))
		convey.So(l.Allows(start, cold("a"), always), convey.ShouldBeFalse)
		l.Prune(start, directory.New())
		convey.So(l.Allows(start, cold("a"), always), convey.ShouldBeTrue)
		sendAllowed(l, cold("a"), time.Second)
		convey.So(l.Allows(start, cold("a"), always), convey.ShouldBeFalse)
		l.Prune(start, directory.New(directory.Target{ID: "a"}))
		convey.So(l.Allows(start, cold("a"), always), convey.ShouldBeTrue)
	})
}
