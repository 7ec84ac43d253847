package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// held returns a table that holds a request since the given time.
func held(d Digest) *Table {
	t := NewTable()
	t.Crashed(at(100), d, crash("a", 0, 100))
	t.Crashed(at(200), d, crash("b", 150, 200))
	return t
}

func yes() bool { return true }

func shouldHold(t *Table, d Digest) {
	_, is := t.Held(d)
	convey.So(is, convey.ShouldBeTrue)
}

func shouldNotHold(t *Table, d Digest) {
	_, is := t.Held(d)
	convey.So(is, convey.ShouldBeFalse)
}

func TestHeldAndReleased(t *testing.T) {
	convey.Convey("A request is suspected after one end and held after the second, with its ends", t, func() {
		table := NewTable()
		convey.So(table.Suspected(1), convey.ShouldBeFalse)
		convey.So(table.Crashed(at(100), 1, crash("a", 0, 100)), convey.ShouldBeTrue)
		convey.So(table.Crashed(at(101), 1, crash("a", 0, 100)), convey.ShouldBeFalse)
		convey.So(table.Suspected(1), convey.ShouldBeTrue)
		shouldNotHold(table, 1)
		table.Crashed(at(200), 1, crash("b", 150, 200))
		hold, is := table.Held(1)
		convey.So(is, convey.ShouldBeTrue)
		convey.So(hold.Crashes, convey.ShouldHaveLength, 2)
		convey.So(hold.Until, convey.ShouldEqual, at(200).Add(holdFor))
	})
	convey.Convey("Another request is not", t, func() {
		table := held(1)
		convey.So(table.Suspected(2), convey.ShouldBeFalse)
		shouldNotHold(table, 2)
		convey.So(table.Answered(at(300), 2), convey.ShouldBeFalse)
		convey.So(table.Len(), convey.ShouldEqual, 1)
	})
	convey.Convey("An answer releases it, and what a member still tells of the ends before changes nothing", t, func() {
		table := held(1)
		old := table.Recent(at(300))
		convey.So(table.Answered(at(300), 1), convey.ShouldBeTrue)
		shouldNotHold(table, 1)
		convey.So(table.Suspected(1), convey.ShouldBeFalse)
		convey.So(table.Merge(at(400), old), convey.ShouldBeFalse)
		shouldNotHold(table, 1)
		convey.Convey("and the member is released by what it is told", func() {
			member := held(1)
			convey.So(member.Merge(at(400), table.Recent(at(400))), convey.ShouldBeTrue)
			shouldNotHold(member, 1)
		})
		convey.Convey("and it takes two more ends to hold it again", func() {
			table.Crashed(at(500), 1, crash("c", 450, 500))
			shouldNotHold(table, 1)
			table.Crashed(at(600), 1, crash("d", 550, 600))
			shouldHold(table, 1)
		})
	})
	convey.Convey("Of ends that members saw apart all count", t, func() {
		one, other := NewTable(), NewTable()
		one.Crashed(at(100), 1, crash("a", 0, 100))
		other.Crashed(at(200), 1, crash("b", 150, 200))
		one.Merge(at(300), other.Recent(at(300)))
		other.Merge(at(300), one.Recent(at(300)))
		shouldHold(one, 1)
		shouldHold(other, 1)
		convey.So(one.HeldSum(), convey.ShouldEqual, other.HeldSum())
	})
}

func TestTry(t *testing.T) {
	over := at(200).Add(holdFor)
	convey.Convey("A held request is tried once its hold is over, by the member that tries it, one trial at a time", t, func() {
		table := held(1)
		convey.So(table.Try(over.Add(-1), 1, yes), convey.ShouldBeFalse)
		convey.So(table.Try(over, 1, func() bool { return false }), convey.ShouldBeFalse)
		convey.So(table.Try(over, 1, yes), convey.ShouldBeTrue)
		convey.So(table.Try(over.Add(time.Second), 1, yes), convey.ShouldBeFalse)
		convey.So(table.Try(over.Add(trialPause), 1, yes), convey.ShouldBeTrue)
	})
	convey.Convey("It stays held meanwhile, and a trial that fails holds it for longer", t, func() {
		table := held(1)
		table.Try(over, 1, yes)
		shouldHold(table, 1)
		table.Crashed(over.Add(time.Second), 1, Crash{Target: "c", SentAt: over, BrokenAt: over.Add(time.Second), Silent: true})
		hold, _ := table.Held(1)
		convey.So(hold.Until, convey.ShouldEqual, over.Add(time.Second).Add(10*holdFor))
	})
	convey.Convey("A request that is not held is not tried", t, func() {
		table := NewTable()
		table.Crashed(at(100), 1, crash("a", 0, 100))
		convey.So(table.Try(over, 1, yes), convey.ShouldBeFalse)
		convey.So(table.Try(over, 2, yes), convey.ShouldBeFalse)
	})
}

func TestForgotten(t *testing.T) {
	convey.Convey("Ends that did not suffice are forgotten after ten minutes, a held request a day after its last end", t, func() {
		table := held(1)
		table.Crashed(at(200), 2, crash("c", 100, 200))
		table.Prune(at(200).Add(suspectFor - 1))
		convey.So(table.Len(), convey.ShouldEqual, 2)
		table.Prune(at(200).Add(suspectFor))
		convey.So(table.Len(), convey.ShouldEqual, 1)
		shouldHold(table, 1)
		table.Prune(at(200).Add(maxHold))
		convey.So(table.Len(), convey.ShouldEqual, 0)
	})
	convey.Convey("What is too old is not taken from a member", t, func() {
		table := NewTable()
		convey.So(table.Merge(at(200).Add(suspectFor), []Entry{{Digest: 2, Crashes: []Crash{crash("c", 100, 200)}}}), convey.ShouldBeFalse)
		convey.So(table.Len(), convey.ShouldEqual, 0)
	})
	convey.Convey("A table that is full forgets suspects before what it holds, the oldest first", t, func() {
		table := held(1)
		for i := range 2 * maxEntries {
			table.Crashed(at(1000+i), Digest(10+i), crash(fmt.Sprint("t", i), 999+i, 1000+i))
		}
		convey.So(table.Len(), convey.ShouldBeLessThanOrEqualTo, maxEntries)
		shouldHold(table, 1)
		convey.So(table.Suspected(Digest(10+2*maxEntries-1)), convey.ShouldBeTrue)
		convey.So(table.Suspected(10), convey.ShouldBeFalse)
	})
	convey.Convey("Of one request no more than a bounded number of ends is kept", t, func() {
		table := NewTable()
		for i := range 4 * maxCrashes {
			table.Crashed(at(1000*i), 1, crash(fmt.Sprint("t", i), 1000*i, 1000*i))
		}
		hold, is := table.Held(1)
		convey.So(is, convey.ShouldBeTrue)
		convey.So(hold.Crashes, convey.ShouldHaveLength, maxCrashes)
	})
	convey.Convey("A trial that fails after so many ends still lengthens the hold", t, func() {
		table := NewTable()
		for i := range maxCrashes {
			table.Crashed(at(i), 1, crash(fmt.Sprint("t", i), 0, 100+i))
		}
		hold, _ := table.Held(1)
		tried := hold.Until.Add(time.Second)
		convey.So(table.Try(tried, 1, yes), convey.ShouldBeTrue)
		table.Crashed(tried, 1, Crash{Target: "trial", SentAt: tried, BrokenAt: tried.Add(time.Second), Silent: true})
		hold, _ = table.Held(1)
		convey.So(hold.Until, convey.ShouldHappenAfter, tried.Add(holdFor))
	})
}

func TestRecent(t *testing.T) {
	convey.Convey("What was learnt lately is passed on, the newest first, and a bounded number", t, func() {
		table := NewTable()
		for i := range 2 * maxNews {
			table.Crashed(at(i), Digest(1+i), crash("t", 0, i))
		}
		news := table.Recent(at(2 * maxNews))
		convey.So(news, convey.ShouldHaveLength, maxNews)
		convey.So(news[0].Digest, convey.ShouldEqual, Digest(2*maxNews))
		convey.So(table.Recent(at(2*maxNews).Add(newsFor)), convey.ShouldBeEmpty)
	})
	convey.Convey("The hash of what is held differs with it, and is 0 for nothing", t, func() {
		convey.So(NewTable().HeldSum(), convey.ShouldEqual, 0)
		one := held(1)
		sum := one.HeldSum()
		convey.So(sum, convey.ShouldNotEqual, 0)
		one.Crashed(at(100), 2, crash("c", 0, 100))
		convey.So(one.HeldSum(), convey.ShouldEqual, sum)
		one.Crashed(at(200), 2, crash("d", 150, 200))
		convey.So(one.HeldSum(), convey.ShouldNotEqual, sum)
		convey.So(one.AllHeld(), convey.ShouldHaveLength, 2)
	})
}

// BenchmarkHeld times what each send costs: with nothing known, and with a table that is
// full.
func BenchmarkHeld(b *testing.B) {
	full := held(1)
	for i := range maxEntries - 1 {
		full.Crashed(at(1000), Digest(10+i), crash("t", 999, 1000))
	}
	for name, table := range map[string]*Table{"empty": NewTable(), "full": full} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				table.Held(1)
			}
		})
	}
}

// BenchmarkRecent times what each exchange of gossip costs.
func BenchmarkRecent(b *testing.B) {
	full := NewTable()
	for i := range maxEntries {
		full.Crashed(at(1000), Digest(10+i), crash("t", 999, 1000))
	}
	for name, table := range map[string]*Table{"empty": NewTable(), "full": full} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				table.Recent(at(1001))
				table.HeldSum()
			}
		})
	}
}
