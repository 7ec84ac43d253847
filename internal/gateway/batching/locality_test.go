package batching

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestLocalityOfUrgentItems guards against items of streams that clients take up that wait for a
// target in their data centre until their deadline.
func TestLocalityOfUrgentItems(t *testing.T) {
	shouldWait := func(place time.Duration, want bool) {
		const steps = 40
		q := &queuedItem{Item: Item{DataCentre: "d0", Due: testNow.Add(place + steps*PriorityStep), Priority: -steps}}
		loc := newLocality(testNow, testSpec(), poolOf(testTarget("f", "far"), testTarget("n", "d0")))
		convey.So(loc.shouldWait(q, "far"), convey.ShouldEqual, want)
	}
	convey.Convey("An item that is due late and goes before others waits for a local target", t, func() {
		convey.Convey("while a full batch there, of 320 ms, ends before its place in the order", func() { shouldWait(320*time.Millisecond+1, true) })
		convey.Convey("and no longer", func() { shouldWait(320*time.Millisecond, false) })
	})
}

func TestLocality(t *testing.T) {
	// A full batch takes 320 ms.
	const due = 2 * time.Second
	backsOff := testTarget("n", "d0")
	backsOff.recordFailure(testNow)
	drains := testTarget("n", "d0")
	drains.usable = false
	stuck := busyTarget("n", "d0", 100*time.Millisecond)
	stuck.running.stuck = true
	slow := slowTarget("n", 10)
	for _, c := range []struct {
		name       string
		dataCentre string
		due        time.Duration
		near       []*target
		want       bool
	}{
		{"An item without a data centre goes anywhere", "", due, []*target{testTarget("n", "")}, false},
		{"An item goes to a target in its data centre", "far", due, []*target{testTarget("n", "d0")}, false},
		{"An item waits for an idle target in its data centre", "d0", due, []*target{testTarget("n", "d0")}, true},
		{"and for one that will be idle in 300 ms", "d0", due, []*target{busyTarget("n", "d0", 300*time.Millisecond)}, true},
		{"but no later", "d0", due, []*target{busyTarget("n", "d0", 300*time.Millisecond+1)}, false},
		{"and not past its due time", "d0", 420 * time.Millisecond, []*target{busyTarget("n", "d0", 100*time.Millisecond)}, false},
		{"An item that would finish just before its due time waits", "d0", 420*time.Millisecond + 1, []*target{busyTarget("n", "d0", 100*time.Millisecond)}, true},
		{"It does not wait when there is no target in the data centre", "d0", due, nil, false},
		{"nor for one that backs off", "d0", due, []*target{backsOff}, false},
		{"nor for one that drains", "d0", due, []*target{drains}, false},
		{"nor for one with a stuck batch", "d0", due, []*target{stuck}, false},
		{"nor for one with an overdue batch", "d0", due, []*target{busyTarget("n", "d0", -1)}, false},
		{"nor for one that is too slow", "d0", due, []*target{slow}, false},
		{"One of several local targets is enough", "d0", due, []*target{drains, stuck, testTarget("m", "d0")}, true},
	} {
		convey.Convey(c.name, t, func() {
			q := &queuedItem{Item: Item{DataCentre: c.dataCentre, Due: testNow.Add(c.due)}}
			far := testTarget("f", "far")
			loc := newLocality(testNow, testSpec(), poolOf(append([]*target{far}, c.near...)...))
			convey.So(loc.shouldWait(q, far.DataCentre), convey.ShouldEqual, c.want)
		})
	}
}
