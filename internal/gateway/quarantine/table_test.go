package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// heldTable returns a table that holds a request for two crashes.
func heldTable(d Digest) *Table {
	t := NewTable()
	t.RecordCrash(at(100), d, crash("a", 0, 100))
	t.RecordCrash(at(200), d, crash("b", 150, 200))
	return t
}

func always() bool { return true }

func assertHeld(t *Table, d Digest) {
	_, is := t.Held(d)
	convey.So(is, convey.ShouldBeTrue)
}

func assertNotHeld(t *Table, d Digest) {
	_, is := t.Held(d)
	convey.So(is, convey.ShouldBeFalse)
}

func TestHeldAndReleased(t *testing.T) {
	convey.Convey("A request is suspected after one crash and held after the second, with both crashes", t, func() {
		table := NewTable()
		convey.So(table.Suspected(1), convey.ShouldBeFalse)
		convey.So(table.RecordCrash(at(100), 1, crash("a", 0, 100)), convey.ShouldBeTrue)
		convey.So(table.RecordCrash(at(101), 1, crash("a", 0, 100)), convey.ShouldBeFalse)
		convey.So(table.Suspected(1), convey.ShouldBeTrue)
		assertNotHeld(table, 1)
		table.RecordCrash(at(200), 1, crash("b", 150, 200))
		hold, is := table.Held(1)
		convey.So(is, convey.ShouldBeTrue)
		convey.So(hold.Crashes, convey.ShouldHaveLength, 2)
		convey.So(hold.Until, convey.ShouldEqual, at(200).Add(initialHold))
	})
	convey.Convey("Another request is not affected", t, func() {
		table := heldTable(1)
		convey.So(table.Suspected(2), convey.ShouldBeFalse)
		assertNotHeld(table, 2)
		convey.So(table.RecordAnswer(at(300), 2), convey.ShouldBeFalse)
		convey.So(table.Len(), convey.ShouldEqual, 1)
	})
	convey.Convey("An answer releases it, and reports of earlier crashes have no effect", t, func() {
		table := heldTable(1)
		old := table.Recent(at(300))
		convey.So(table.RecordAnswer(at(300), 1), convey.ShouldBeTrue)
		assertNotHeld(table, 1)
		convey.So(table.Suspected(1), convey.ShouldBeFalse)
		convey.So(table.Merge(at(400), old), convey.ShouldBeFalse)
		assertNotHeld(table, 1)
		convey.Convey("and merging the entry releases it at a member", func() {
			member := heldTable(1)
			convey.So(member.Merge(at(400), table.Recent(at(400))), convey.ShouldBeTrue)
			assertNotHeld(member, 1)
		})
		convey.Convey("and it is held again only after two more crashes", func() {
			table.RecordCrash(at(500), 1, crash("c", 450, 500))
			assertNotHeld(table, 1)
			table.RecordCrash(at(600), 1, crash("d", 550, 600))
			assertHeld(table, 1)
		})
	})
	convey.Convey("Crashes that different members saw are added up", t, func() {
		one, other := NewTable(), NewTable()
		one.RecordCrash(at(100), 1, crash("a", 0, 100))
		other.RecordCrash(at(200), 1, crash("b", 150, 200))
		one.Merge(at(300), other.Recent(at(300)))
		other.Merge(at(300), one.Recent(at(300)))
		assertHeld(one, 1)
		assertHeld(other, 1)
		convey.So(one.HeldSum(), convey.ShouldEqual, other.HeldSum())
	})
}

func TestStartTrial(t *testing.T) {
	holdEnd := at(200).Add(initialHold)
	convey.Convey("A held request is tried after the end of its hold, by one member and with a pause between trials", t, func() {
		table := heldTable(1)
		convey.So(table.StartTrial(holdEnd.Add(-1), 1, always), convey.ShouldBeFalse)
		convey.So(table.StartTrial(holdEnd, 1, func() bool { return false }), convey.ShouldBeFalse)
		convey.So(table.StartTrial(holdEnd, 1, always), convey.ShouldBeTrue)
		convey.So(table.StartTrial(holdEnd.Add(time.Second), 1, always), convey.ShouldBeFalse)
		convey.So(table.StartTrial(holdEnd.Add(minTrialInterval), 1, always), convey.ShouldBeTrue)
	})
	convey.Convey("It stays held during a trial, and a failed trial lengthens the hold", t, func() {
		table := heldTable(1)
		table.StartTrial(holdEnd, 1, always)
		assertHeld(table, 1)
		table.RecordCrash(holdEnd.Add(time.Second), 1, Crash{Target: "c", SentAt: holdEnd, BrokenAt: holdEnd.Add(time.Second), Silent: true})
		hold, _ := table.Held(1)
		convey.So(hold.Until, convey.ShouldEqual, holdEnd.Add(time.Second).Add(10*initialHold))
	})
	convey.Convey("A request that is not held is not tried", t, func() {
		table := NewTable()
		table.RecordCrash(at(100), 1, crash("a", 0, 100))
		convey.So(table.StartTrial(holdEnd, 1, always), convey.ShouldBeFalse)
		convey.So(table.StartTrial(holdEnd, 2, always), convey.ShouldBeFalse)
	})
}

func TestExpiryAndLimits(t *testing.T) {
	convey.Convey("A suspected request is removed ten minutes after its last crash, a held one after a day", t, func() {
		table := heldTable(1)
		table.RecordCrash(at(200), 2, crash("c", 100, 200))
		table.Prune(at(200).Add(suspicionTTL - 1))
		convey.So(table.Len(), convey.ShouldEqual, 2)
		table.Prune(at(200).Add(suspicionTTL))
		convey.So(table.Len(), convey.ShouldEqual, 1)
		assertHeld(table, 1)
		table.Prune(at(200).Add(maxHold))
		convey.So(table.Len(), convey.ShouldEqual, 0)
	})
	convey.Convey("Expired entries are not merged", t, func() {
		table := NewTable()
		convey.So(table.Merge(at(200).Add(suspicionTTL), []Entry{{Digest: 2, Crashes: []Crash{crash("c", 100, 200)}}}), convey.ShouldBeFalse)
		convey.So(table.Len(), convey.ShouldEqual, 0)
	})
	convey.Convey("A full table evicts suspected requests before held ones, and the oldest first", t, func() {
		table := heldTable(1)
		for i := range 2 * maxEntries {
			table.RecordCrash(at(1000+i), Digest(10+i), crash(fmt.Sprint("t", i), 999+i, 1000+i))
		}
		convey.So(table.Len(), convey.ShouldBeLessThanOrEqualTo, maxEntries)
		assertHeld(table, 1)
		convey.So(table.Suspected(Digest(10+2*maxEntries-1)), convey.ShouldBeTrue)
		convey.So(table.Suspected(10), convey.ShouldBeFalse)
	})
	convey.Convey("The number of crashes per request is limited", t, func() {
		table := NewTable()
		for i := range 4 * maxCrashes {
			table.RecordCrash(at(1000*i), 1, crash(fmt.Sprint("t", i), 1000*i, 1000*i))
		}
		hold, is := table.Held(1)
		convey.So(is, convey.ShouldBeTrue)
		convey.So(hold.Crashes, convey.ShouldHaveLength, maxCrashes)
	})
	convey.Convey("A failed trial after the maximum number of crashes still lengthens the hold", t, func() {
		table := NewTable()
		for i := range maxCrashes {
			table.RecordCrash(at(i), 1, crash(fmt.Sprint("t", i), 0, 100+i))
		}
		hold, _ := table.Held(1)
		tried := hold.Until.Add(time.Second)
		convey.So(table.StartTrial(tried, 1, always), convey.ShouldBeTrue)
		table.RecordCrash(tried, 1, Crash{Target: "trial", SentAt: tried, BrokenAt: tried.Add(time.Second), Silent: true})
		hold, _ = table.Held(1)
		convey.So(hold.Until, convey.ShouldHappenAfter, tried.Add(initialHold))
	})
}

func TestRecent(t *testing.T) {
	convey.Convey("Recent returns a limited number of entries, the newest first", t, func() {
		table := NewTable()
		for i := range 2 * maxRecent {
			table.RecordCrash(at(i), Digest(1+i), crash("t", 0, i))
		}
		recent := table.Recent(at(2 * maxRecent))
		convey.So(recent, convey.ShouldHaveLength, maxRecent)
		convey.So(recent[0].Digest, convey.ShouldEqual, Digest(2*maxRecent))
		convey.So(table.Recent(at(2*maxRecent).Add(recentWindow)), convey.ShouldBeEmpty)
	})
	convey.Convey("HeldSum depends on the held requests only, and is 0 if there are none", t, func() {
		convey.So(NewTable().HeldSum(), convey.ShouldEqual, 0)
		one := heldTable(1)
		sum := one.HeldSum()
		convey.So(sum, convey.ShouldNotEqual, 0)
		one.RecordCrash(at(100), 2, crash("c", 0, 100))
		convey.So(one.HeldSum(), convey.ShouldEqual, sum)
		one.RecordCrash(at(200), 2, crash("d", 150, 200))
		convey.So(one.HeldSum(), convey.ShouldNotEqual, sum)
		convey.So(one.AllHeld(), convey.ShouldHaveLength, 2)
	})
}

// BenchmarkHeld measures the check before each send, with an empty and a full table.
func BenchmarkHeld(b *testing.B) {
	full := heldTable(1)
	for i := range maxEntries - 1 {
		full.RecordCrash(at(1000), Digest(10+i), crash("t", 999, 1000))
	}
	for name, table := range map[string]*Table{"empty": NewTable(), "full": full} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				table.Held(1)
			}
		})
	}
}

// BenchmarkRecent measures the cost of a gossip exchange, with an empty and a full table.
func BenchmarkRecent(b *testing.B) {
	full := NewTable()
	for i := range maxEntries {
		full.RecordCrash(at(1000), Digest(10+i), crash("t", 999, 1000))
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
