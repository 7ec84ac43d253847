package quarantine

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/message"
)

// testTracker is a tracker with a manual clock, which records calls of OnChange.
type testTracker struct {
	*Tracker
	now      time.Time
	log      bytes.Buffer
	changes  int
	held     int
	ownsRole bool
}

func newTestTracker() *testTracker {
	tr := &testTracker{now: start}
	tr.Tracker = NewTracker(Config{
		Now: func() time.Time { return tr.now }, Log: zerolog.New(&tr.log),
		OnChange: func(held int) { tr.changes, tr.held = tr.changes+1, held },
		OwnsRole: func(string) bool { return tr.ownsRole },
	})
	return tr
}

// hold records two crashes, for which the tracker holds the request.
func (tr *testTracker) hold(d Digest) {
	tr.now = at(200)
	tr.RecordCrash(d, crash("a", 0, 100))
	tr.RecordCrash(d, crash("b", 150, 200))
}

func TestTracker(t *testing.T) {
	convey.Convey("A request is admitted until it is held, which is reported at once", t, func() {
		tr := newTestTracker()
		convey.So(tr.Admit(1), convey.ShouldResemble, Allowed{})
		tr.RecordCrash(1, crash("a", 0, 100))
		convey.So(tr.changes, convey.ShouldEqual, 0)
		list, _ := tr.Recent()
		convey.So(list, convey.ShouldHaveLength, 1)
		convey.So(tr.Suspected(1), convey.ShouldBeTrue)
		convey.So(tr.Admit(1), convey.ShouldResemble, Allowed{})
		tr.hold(1)
		convey.So(tr.held, convey.ShouldEqual, 1)
		refused, is := tr.Admit(1).(Refused)
		convey.So(is, convey.ShouldBeTrue)
		convey.So(refused.Hold.Until, convey.ShouldEqual, at(200).Add(initialHold))
		convey.So(tr.log.String(), convey.ShouldContainSubstring, "quarantine: request held")
	})
	convey.Convey("Only the member with the role admits a trial, and only one", t, func() {
		tr := newTestTracker()
		tr.hold(1)
		tr.now = tr.now.Add(initialHold)
		convey.So(tr.Admit(1), convey.ShouldHaveSameTypeAs, Refused{})
		tr.ownsRole = true
		convey.So(tr.Admit(1), convey.ShouldResemble, Trial{})
		convey.So(tr.Admit(1), convey.ShouldHaveSameTypeAs, Refused{})
		tr.RecordAnswer(1)
		convey.So(tr.Admit(1), convey.ShouldResemble, Allowed{})
		convey.So(tr.held, convey.ShouldEqual, 0)
		convey.So(tr.log.String(), convey.ShouldContainSubstring, "quarantine: request released")
	})
	convey.Convey("A tracker that merges the entries of another holds the same requests, even if their clocks differ", t, func() {
		one, other := newTestTracker(), newTestTracker()
		one.hold(1)
		other.now = at(5_000_000)
		recent, sum := one.Recent()
		convey.So(other.NeedsSync(sum), convey.ShouldBeTrue)
		other.Merge("10.0.0.1:80", recent)
		refused, is := other.Admit(1).(Refused)
		convey.So(is, convey.ShouldBeTrue)
		convey.So(refused.Hold.Until, convey.ShouldEqual, other.now.Add(initialHold))
		convey.So(other.log.String(), convey.ShouldContainSubstring, `"from":"10.0.0.1:80"`)
		_, mine := other.Recent()
		convey.So(mine, convey.ShouldEqual, sum)
		convey.So(one.HeldRequests()[0].HeldMs, convey.ShouldEqual, initialHold.Milliseconds())
	})
	convey.Convey("Members that hold other requests are asked at most once per second, members that hold none never", t, func() {
		tr := newTestTracker()
		convey.So(tr.NeedsSync(""), convey.ShouldBeFalse)
		convey.So(tr.NeedsSync("1"), convey.ShouldBeTrue)
		convey.So(tr.NeedsSync("1"), convey.ShouldBeFalse)
		tr.now = tr.now.Add(syncInterval)
		convey.So(tr.NeedsSync("1"), convey.ShouldBeTrue)
	})
	convey.Convey("Invalid reports are skipped", t, func() {
		tr := newTestTracker()
		tr.Merge("m", []message.SuspectRequest{
			{Digest: "not a number", Ends: []message.SuspectEnd{{Target: "a"}}},
			{Digest: "1", Cleared: -1, Ends: []message.SuspectEnd{{Target: "a"}}},
			{Digest: "2", Ends: []message.SuspectEnd{{Target: "a", AgoMs: -5000, TookMs: -1}}},
		})
		convey.So(tr.table.Len(), convey.ShouldEqual, 1)
		convey.So(tr.table.entries[2].Crashes[0].BrokenAt, convey.ShouldEqual, tr.now)
	})
}

func TestDigestOf(t *testing.T) {
	convey.Convey("Digests differ by content and organisation", t, func() {
		convey.So(DigestOf("a", "s", 1), convey.ShouldEqual, DigestOf("a", "s", 1))
		convey.So(DigestOf("a", "s", 1), convey.ShouldNotEqual, DigestOf("b", "s", 1))
		convey.So(DigestOf("a", "s", 1), convey.ShouldNotEqual, DigestOf("a", "s", 2))
	})
}
