package quarantine

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/message"
)

// testKeeper is a keeper with a manual clock, which records calls of Changed.
type testKeeper struct {
	*Tracker
	now      time.Time
	log      bytes.Buffer
	changes  int
	held     int
	ownsRole bool
}

func newTestKeeper() *testKeeper {
	k := &testKeeper{now: start}
	k.Tracker = NewTracker(Config{
		Now: func() time.Time { return k.now }, Log: zerolog.New(&k.log),
		OnChange:  func(held int) { k.changes, k.held = k.changes+1, held },
		OwnsRole: func(string) bool { return k.ownsRole },
	})
	return k
}

// hold records two crashes, for which the keeper holds the request.
func (k *testKeeper) hold(d Digest) {
	k.now = at(200)
	k.RecordCrash(d, crash("a", 0, 100))
	k.RecordCrash(d, crash("b", 150, 200))
}

func TestKeeper(t *testing.T) {
	convey.Convey("A request is admitted until it is held, which is reported at once", t, func() {
		k := newTestKeeper()
		convey.So(k.Admit(1), convey.ShouldResemble, Allowed{})
		k.RecordCrash(1, crash("a", 0, 100))
		convey.So(k.changes, convey.ShouldEqual, 0)
		list, _ := k.Recent()
		convey.So(list, convey.ShouldHaveLength, 1)
		convey.So(k.Suspected(1), convey.ShouldBeTrue)
		convey.So(k.Admit(1), convey.ShouldResemble, Allowed{})
		k.hold(1)
		convey.So(k.held, convey.ShouldEqual, 1)
		refused, is := k.Admit(1).(Refused)
		convey.So(is, convey.ShouldBeTrue)
		convey.So(refused.Hold.Until, convey.ShouldEqual, at(200).Add(initialHold))
		convey.So(k.log.String(), convey.ShouldContainSubstring, "quarantine: request held")
	})
	convey.Convey("Only the member with the role admits a trial, and only one", t, func() {
		k := newTestKeeper()
		k.hold(1)
		k.now = k.now.Add(initialHold)
		convey.So(k.Admit(1), convey.ShouldHaveSameTypeAs, Refused{})
		k.ownsRole = true
		convey.So(k.Admit(1), convey.ShouldResemble, Trial{})
		convey.So(k.Admit(1), convey.ShouldHaveSameTypeAs, Refused{})
		k.RecordAnswer(1)
		convey.So(k.Admit(1), convey.ShouldResemble, Allowed{})
		convey.So(k.held, convey.ShouldEqual, 0)
		convey.So(k.log.String(), convey.ShouldContainSubstring, "quarantine: request released")
	})
	convey.Convey("A keeper that merges the entries of another holds the same requests, even if their clocks differ", t, func() {
		one, other := newTestKeeper(), newTestKeeper()
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
		convey.So(one.HeldRequests().Requests[0].HeldMs, convey.ShouldEqual, initialHold.Milliseconds())
	})
	convey.Convey("Members that hold other requests are asked at most once per second, members that hold none never", t, func() {
		k := newTestKeeper()
		convey.So(k.NeedsSync(""), convey.ShouldBeFalse)
		convey.So(k.NeedsSync("1"), convey.ShouldBeTrue)
		convey.So(k.NeedsSync("1"), convey.ShouldBeFalse)
		k.now = k.now.Add(syncInterval)
		convey.So(k.NeedsSync("1"), convey.ShouldBeTrue)
	})
	convey.Convey("Invalid reports are skipped", t, func() {
		k := newTestKeeper()
		k.Merge("m", []message.SuspectRequest{
			{Digest: "not a number", Ends: []message.SuspectEnd{{Target: "a"}}},
			{Digest: "1", Cleared: -1, Ends: []message.SuspectEnd{{Target: "a"}}},
			{Digest: "2", Ends: []message.SuspectEnd{{Target: "a", AgoMs: -5000, TookMs: -1}}},
		})
		convey.So(k.table.Len(), convey.ShouldEqual, 1)
		convey.So(k.table.entries[2].Crashes[0].BrokenAt, convey.ShouldEqual, k.now)
	})
}

func TestDigestOf(t *testing.T) {
	convey.Convey("Digests differ by content and organisation", t, func() {
		convey.So(DigestOf("a", "s", 1), convey.ShouldEqual, DigestOf("a", "s", 1))
		convey.So(DigestOf("a", "s", 1), convey.ShouldNotEqual, DigestOf("b", "s", 1))
		convey.So(DigestOf("a", "s", 1), convey.ShouldNotEqual, DigestOf("a", "s", 2))
	})
}
