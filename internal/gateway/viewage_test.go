package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/streamorigin"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
)

// streamCatalog returns a catalog with one route of streams that may be resumed.
func streamCatalog(t *testing.T) *catalog.Catalog {
	t.Helper()
	route := &catalog.Route{Host: "h", Prefix: "/", Kind: catalog.Stream, Resumable: true, Split: []catalog.Share{{Service: "s", Weight: 1}}, Timeout: 10 * time.Second}
	c, err := catalog.New(1, []*catalog.Route{route}, []*catalog.Service{{Name: "s"}}, nil, catalog.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// versionTargets returns changes that list targets of a version.
func versionTargets(version string, ids ...string) []view.Change {
	var list []view.Change
	for _, id := range ids {
		list = append(list, view.TargetChange{Target: directory.Target{ID: id, Service: "s", Version: directory.VersionOf(version)}})
	}
	return list
}

// TestReportedViewAge guards against another version that is named for a lost stream than the one that
// began it, since the node that names it does not learn how old the view of another one was.
func TestReportedViewAge(t *testing.T) {
	convey.Convey("Given a node that saw v2 join beside v1 8 s ago", t, func() {
		now := time.Unix(10_000, 0)
		clock := func() time.Time { return now }
		members := newMembers(clock, "10.0.0.2:1", 1, nil, 0)
		taker := newStreamOrigins(clock, zerolog.Nop(), members, newPeerClient(clock), newMetrics(), streamorigin.FromStart())
		v := view.New()
		observe := func(list ...view.Change) {
			ch := view.Changes{Revision: v.Revision + 1, List: list}
			old := v
			v = old.WithChanges(now, ch, time.Time{})
			taker.observe(now, old, v, ch)
		}
		observe(append(versionTargets("v1", "a", "b", "c"), view.CatalogChange{Catalog: streamCatalog(t)})...)
		now = now.Add(time.Minute)
		observe(versionTargets("v2", "x", "y", "z")...)
		now = now.Add(8 * time.Second)
		// others counts the streams for which v2 is named.
		others := func() (n int) {
			for _, k := range keys(200) {
				v, unknown := taker.Infer(t.Context(), streamorigin.Lost{Key: k, Service: "s", Host: "h", Path: "/x", Age: time.Second, Named: true})
				if unknown == "" && v == directory.VersionOf("v2") {
					n++
				}
			}
			return n
		}
		// report has a member report, with a view of an age, until this node knows it well.
		report := func(age time.Duration) {
			g := newSingleTargetGateway(t, &blockingTargets{})
			g.health.age.confirm(g.now(), g.now().Add(-age))
			for range 4 {
				now = now.Add(time.Second)
				g.members.beginRound(0)
				g.gossip.publishStatus()
				members.mergeAndReport(g.members.report())
			}
		}
		convey.Convey("it names v2 for streams of now while members' views are confirmed", func() {
			report(time.Second)
			convey.So(others(), convey.ShouldBeGreaterThan, 50)
		})
		convey.Convey("it does not for streams that a member may have begun without having seen v2", func() {
			report(20 * time.Second)
			convey.So(others(), convey.ShouldEqual, 0)
		})
	})
}

// TestViewAge guards against views that count as confirmed although the source did not answer, or not so
// that streams cannot begin without a report.
func TestViewAge(t *testing.T) {
	convey.Convey("Given a node that follows a source", t, func() {
		f, _ := newHistoryFollower(1)
		age := &f.health.age
		convey.So(age.current(f.now()), convey.ShouldEqual, maxOriginKeep)
		convey.So(f.readSnapshot(t.Context()), convey.ShouldBeNil)
		later := f.now().Add(8 * time.Second)
		convey.Convey("its view is confirmed by an answer, and ages from then on", func() {
			convey.So(age.current(f.now()), convey.ShouldBeLessThan, time.Second)
			convey.So(age.current(later), convey.ShouldBeBetween, 7*time.Second, 9*time.Second)
		})
		convey.Convey("an age that is over is reported for a while", func() {
			age.confirm(later, later)
			convey.So(age.reported(later), convey.ShouldBeGreaterThan, 7*time.Second)
			convey.So(age.reported(later.Add(reportedFor+time.Millisecond)), convey.ShouldBeLessThan, 6*time.Second)
		})
		convey.Convey("a member confirms it that has the same revision or an older one, and tells its age", func() {
			for _, c := range []struct {
				member message.GossipMember
				age    time.Duration
			}{
				{message.GossipMember{Revision: 2, ViewAgeMs: 1000}, time.Second},
				{message.GossipMember{Revision: 3, ViewAgeMs: 1000}, 8 * time.Second},
				{message.GossipMember{Revision: 2, Version: 2, ViewAgeMs: 1000}, 8 * time.Second},
				{message.GossipMember{Revision: 2}, 8 * time.Second},
			} {
				a := &viewAge{}
				a.confirm(later, later.Add(-8*time.Second))
				a.confirmByMember(later, later, c.member, 1, 2)
				convey.So(a.current(later), convey.ShouldEqual, c.age)
			}
		})
	})
}
