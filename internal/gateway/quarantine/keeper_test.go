package quarantine

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/message"
)

// testKeeper is a keeper whose time stands still until it is moved.
type testKeeper struct {
	*Tracker
	now     time.Time
	log     bytes.Buffer
	changes int
	held    int
	tries   bool
}

func newTestKeeper() *testKeeper {
	k := &testKeeper{now: start}
	k.Tracker = NewTracker(Config{
		Now: func() time.Time { return k.now }, Log: zerolog.New(&k.log),
		OnChange:  func(held int) { k.changes, k.held = k.changes+1, held },
		OwnsRole: func(string) bool { return k.tries },
	})
	return k
}

// hold has the keeper hold a request.
func (k *testKeeper) hold(d Digest) {
	k.now = at(200)
	k.TargetEnded(d, crash("a", 0, 100))
	k.TargetEnded(d, crash("b", 150, 200))
}

func TestKeeper(t *testing.T) {
	convey.Convey("A request is free until it is held, which members hear of at once", t, func() {
		k := newTestKeeper()
		convey.So(k.Admit(1), convey.ShouldResemble, Allowed{})
		k.TargetEnded(1, crash("a", 0, 100))
		convey.So(k.changes, convey.ShouldEqual, 0)
		list, _ := k.Recent()
		convey.So(list, convey.ShouldHaveLength, 1)
		convey.So(k.Suspected(1), convey.ShouldBeTrue)
		convey.So(k.Admit(1), convey.ShouldResemble, Allowed{})
		k.hold(1)
		convey.So(k.held, convey.ShouldEqual, 1)
		refused, is := k.Admit(1).(Refused)
		convey.So(is, convey.ShouldBeTrue)
		convey.So(refused.Hold.Until, convey.ShouldEqual, at(200).Add(holdFor))
		convey.So(k.log.String(), convey.ShouldContainSubstring, "quarantine: request held")
	})
	convey.Convey("The member that tries it lets one trial through, others none", t, func() {
		k := newTestKeeper()
		k.hold(1)
		k.now = k.now.Add(holdFor)
		convey.So(k.Admit(1), convey.ShouldHaveSameTypeAs, Refused{})
		k.tries = true
		convey.So(k.Admit(1), convey.ShouldResemble, Trial{})
		convey.So(k.Admit(1), convey.ShouldHaveSameTypeAs, Refused{})
		k.Answered(1)
		convey.So(k.Admit(1), convey.ShouldResemble, Allowed{})
		convey.So(k.held, convey.ShouldEqual, 0)
		convey.So(k.log.String(), convey.ShouldContainSubstring, "quarantine: request released")
	})
	convey.Convey("What one keeper tells has another hold the same, whatever its clock", t, func() {
		one, other := newTestKeeper(), newTestKeeper()
		one.hold(1)
		other.now = at(5_000_000)
		news, sum := one.Recent()
		convey.So(other.NeedsSync(sum), convey.ShouldBeTrue)
		other.Merge("10.0.0.1:80", news)
		refused, is := other.Admit(1).(Refused)
		convey.So(is, convey.ShouldBeTrue)
		convey.So(refused.Hold.Until, convey.ShouldEqual, other.now.Add(holdFor))
		convey.So(other.log.String(), convey.ShouldContainSubstring, `"from":"10.0.0.1:80"`)
		_, mine := other.Recent()
		convey.So(mine, convey.ShouldEqual, sum)
		convey.So(one.HeldRequests().Requests[0].HeldMs, convey.ShouldEqual, holdFor.Milliseconds())
	})
	convey.Convey("A member that holds something else is asked at most once a second, one that holds nothing never", t, func() {
		k := newTestKeeper()
		convey.So(k.NeedsSync(""), convey.ShouldBeFalse)
		convey.So(k.NeedsSync("1"), convey.ShouldBeTrue)
		convey.So(k.NeedsSync("1"), convey.ShouldBeFalse)
		k.now = k.now.Add(compareInterval)
		convey.So(k.NeedsSync("1"), convey.ShouldBeTrue)
	})
	convey.Convey("What a member tells that does not read is left out", t, func() {
		k := newTestKeeper()
		k.Merge("m", []message.SuspectRequest{
			{Digest: "no number", Ends: []message.SuspectEnd{{Target: "a"}}},
			{Digest: "1", Cleared: -1, Ends: []message.SuspectEnd{{Target: "a"}}},
			{Digest: "2", Ends: []message.SuspectEnd{{Target: "a", AgoMs: -5000, TookMs: -1}}},
		})
		convey.So(k.table.Len(), convey.ShouldEqual, 1)
		convey.So(k.table.entries[2].Crashes[0].BrokenAt, convey.ShouldEqual, k.now)
	})
}

func TestDigestOf(t *testing.T) {
	convey.Convey("A digest differs with the content and with the organisation", t, func() {
		convey.So(DigestOf("a", "s", 1), convey.ShouldEqual, DigestOf("a", "s", 1))
		convey.So(DigestOf("a", "s", 1), convey.ShouldNotEqual, DigestOf("b", "s", 1))
		convey.So(DigestOf("a", "s", 1), convey.ShouldNotEqual, DigestOf("a", "s", 2))
	})
}
