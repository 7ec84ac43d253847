package membership_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/membership"
	"github.com/honeydyke/honeydyke/internal/message"
)

// TestAllAssign guards against versions that are inferred although a member begins streams at any.
func TestAllAssign(t *testing.T) {
	const (
		within  = time.Minute
		settled = 3 * time.Second
	)
	start := time.Unix(10_000, 0)
	member := func(beat int, assigns bool) message.Gossip {
		return message.Gossip{Members: []message.GossipMember{{Address: "other", Incarnation: 1, Beat: beat, Serving: true, Assigns: assigns}}}
	}
	convey.Convey("Given a member that knows another", t, func() {
		r := membership.NewRoster("self", 1, []string{"other"})
		convey.Convey("all assign streams if both do and know each other for a while", func() {
			r.Merge(start, member(1, true))
			convey.So(r.AllAssign(start, within), convey.ShouldBeFalse)
			r.Merge(start.Add(settled), member(2, true))
			convey.So(r.AllAssign(start.Add(settled), within), convey.ShouldBeTrue)
		})
		convey.Convey("not while the other does not, and as long after it as its streams may last", func() {
			r.Merge(start, member(1, false))
			r.Merge(start.Add(settled), member(2, false))
			convey.So(r.AllAssign(start.Add(settled), within), convey.ShouldBeFalse)
			next := member(1, true)
			next.Members[0].Incarnation = 2
			for at := start.Add(settled); !at.After(start.Add(settled + within)); at = at.Add(time.Second) {
				next.Members[0].Beat++
				r.Merge(at, next)
				convey.So(r.AllAssign(at, within), convey.ShouldBeFalse)
			}
			end := start.Add(settled + within + time.Second)
			next.Members[0].Beat++
			r.Merge(end, next)
			convey.So(r.AllAssign(end, within), convey.ShouldBeTrue)
		})
	})
}
