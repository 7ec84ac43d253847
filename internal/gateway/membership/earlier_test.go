package membership_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/membership"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/message"
)

// budgetWindow is the window of the retry budget.
const budgetWindow = 10 * time.Second

// TestEarlierProcesses guards against members that tell a process which started what nobody can
// know of the one before, so that its node spends the retry budget again.
func TestEarlierProcesses(t *testing.T) {
	start := time.Unix(1000, 0)
	report := func(incarnation, beat, retries int) message.Gossip {
		return message.Gossip{Members: []message.GossipMember{{Address: "b", Incarnation: incarnation, Beat: beat, Counts: true, Service: 7, Retries: retries, Firsts: 40}}}
	}
	convey.Convey("Given a member that has known another one for a window", t, func() {
		r := membership.NewRoster("a", 1, nil)
		r.SetRetryWindow(budgetWindow, false)
		now := start
		hear := func(after time.Duration, g message.Gossip) {
			now = now.Add(after)
			r.Merge(now, g)
		}
		hear(0, report(1, 1, 0))
		hear(budgetWindow, report(1, 2, 3))
		convey.Convey("it says nothing of one that has run for as long", func() {
			convey.So(r.Earlier(now, "b"), convey.ShouldBeNil)
		})
		convey.Convey("it tells the next process what the last report said, until a window is over", func() {
			hear(time.Second, report(2, 1, 0))
			convey.So(*r.Earlier(now, "b"), convey.ShouldResemble, message.EarlierProcess{Retries: 3, Firsts: 40, Service: 7, Members: 2})
			convey.So(r.Earlier(now.Add(budgetWindow), "b"), convey.ShouldBeNil)
			convey.Convey("and the one after that what any of them spent", func() {
				hear(time.Second, report(3, 1, 0))
				convey.So(r.Earlier(now, "b").Retries, convey.ShouldEqual, 3)
			})
		})
		convey.Convey("it cannot tell after a silence, in which there may have been retries", func() {
			hear(3*time.Second, report(2, 1, 0))
			convey.So(r.Earlier(now, "b"), convey.ShouldBeNil)
		})
		convey.Convey("it cannot tell if the last process did not count, as in an earlier version", func() {
			old := report(2, 1, 0)
			old.Members[0].Counts = false
			hear(time.Second, old)
			hear(time.Second, report(3, 1, 0))
			convey.So(r.Earlier(now, "b"), convey.ShouldBeNil)
		})
		convey.Convey("it knows that a node which it never heard of spent nothing", func() {
			hear(0, message.Gossip{Members: []message.GossipMember{{Address: "c", Incarnation: 1}}})
			convey.So(r.Earlier(now, "c").Retries, convey.ShouldEqual, 0)
		})
	})
	convey.Convey("A member that started itself lately can tell nothing, unless it was among the first", t, func() {
		for _, first := range []bool{false, true} {
			r := membership.NewRoster("a", 1, nil)
			r.SetRetryWindow(budgetWindow, first)
			r.SetStatus(membership.Status{Serving: true})
			for beat := range 5 {
				r.Merge(start.Add(time.Duration(beat)*time.Second), report(1, beat, 1))
			}
			r.Merge(start.Add(5*time.Second), report(2, 1, 0))
			convey.So(r.Earlier(start.Add(5*time.Second), "b") != nil, convey.ShouldEqual, first)
		}
	})
	convey.Convey("A process that started learns the most that it is told, and how many members there were", t, func() {
		r := membership.NewRoster("a", 1, nil)
		r.SetRetryWindow(budgetWindow, false)
		_, known := r.EarlierSpent()
		convey.So(known, convey.ShouldBeFalse)
		for _, retries := range []int{2, 5, 1} {
			r.SetEarlier(message.EarlierProcess{Retries: retries, Firsts: 10 * retries, Service: 7, Members: 20 + retries})
		}
		spent, known := r.EarlierSpent()
		convey.So(known, convey.ShouldBeTrue)
		convey.So(spent, convey.ShouldResemble, retrybudget.Spent{Service: 7, Retries: 5, FirstAttempts: 50})
		convey.So(r.PeakSize(), convey.ShouldEqual, 25)
	})
}
