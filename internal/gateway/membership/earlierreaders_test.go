package membership_test

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/membership"
	"github.com/honeydyke/honeydyke/internal/message"
)

// TestReadersOfAnEarlierVersion guards against leaving the source to members of an earlier
// version, which do not detect that it was restored from an older copy.
func TestReadersOfAnEarlierVersion(t *testing.T) {
	const (
		members     = 80
		wantReaders = 6
	)
	convey.Convey("Given a fleet whose first half runs an earlier version, and which all reaches the source", t, func() {
		var all []message.GossipMember
		for i := range members {
			m := member(fmt.Sprintf("10.0.0.%d:1", i), 1, 1)
			m.Hears, m.Epochs = true, i >= members/2
			all = append(all, m)
		}
		readers := 0
		for _, self := range all[members/2:] {
			r := membership.NewRoster(self.Address, 1, nil)
			r.SetStatus(membership.Status{Serving: true, ReachesSource: true})
			r.Merge(rosterStart, message.Gossip{Members: all})
			if r.IsReader(rosterStart) {
				readers++
			} else {
				convey.So(r.FollowsReaders(rosterStart), convey.ShouldBeTrue)
			}
		}
		convey.So(readers, convey.ShouldEqual, wantReaders)
	})
	convey.Convey("A member reads if all others run an earlier version", t, func() {
		r := membership.NewRoster("10.0.1.1:1", 1, nil)
		r.SetStatus(membership.Status{Serving: true})
		var others []message.GossipMember
		for i := range members {
			m := member(fmt.Sprintf("10.0.0.%d:1", i), 1, 1)
			m.Hears, m.Epochs = true, false
			others = append(others, m)
		}
		r.Merge(rosterStart, message.Gossip{Members: others})
		convey.So(r.IsReader(rosterStart), convey.ShouldBeTrue)
		convey.So(r.FollowsReaders(rosterStart), convey.ShouldBeFalse)
	})
	convey.Convey("Members of an earlier version are not followed, even if only they reach the source", t, func() {
		var all []message.GossipMember
		for i := range members {
			m := member(fmt.Sprintf("10.0.0.%d:1", i), 1, 1)
			m.Epochs = i >= members/2
			m.Hears = !m.Epochs
			all = append(all, m)
		}
		for _, self := range all[members/2:] {
			r := membership.NewRoster(self.Address, 1, nil)
			r.SetStatus(membership.Status{Serving: true})
			r.Merge(rosterStart, message.Gossip{Members: all})
			convey.So(r.FollowsReaders(rosterStart), convey.ShouldBeFalse)
		}
	})
	convey.Convey("A report forwarded by a member of an earlier version does not reset Epochs within an incarnation", t, func() {
		r := membership.NewRoster("10.0.1.1:1", 1, nil)
		mergeReport := func(incarnation, beat int, epochs bool) bool {
			m := member("10.0.0.1:1", incarnation, beat)
			m.Epochs = epochs
			r.Merge(rosterStart, message.Gossip{Members: []message.GossipMember{m}})
			return r.Members()[1].Epochs
		}
		convey.So(mergeReport(1, 1, true), convey.ShouldBeTrue)
		convey.So(mergeReport(1, 2, false), convey.ShouldBeTrue)
		convey.So(mergeReport(2, 1, false), convey.ShouldBeFalse)
	})
}
