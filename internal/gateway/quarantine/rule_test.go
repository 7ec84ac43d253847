package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
)

// start is the time from which tests count.
var start = time.Unix(1000, 0)

// at is so many milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// crash is a silent end of a target that had the request from one time to another, in
// milliseconds after the start.
func crash(target string, began, ended int) Crash {
	return Crash{Target: target, SentAt: at(began), BrokenAt: at(ended), Silent: true}
}

// partial is an end after a part of the answer had come.
func partial(target string, began, ended int) Crash {
	c := crash(target, began, ended)
	c.Silent = false
	return c
}

func TestSuffices(t *testing.T) {
	convey.Convey("A request is held for two targets that ended one after the other, or four that had begun to answer", t, func() {
		for _, c := range []struct {
			what    string
			crashes []Crash
			want    bool
		}{
			{"nothing", nil, false},
			{"one end", []Crash{crash("a", 0, 100)}, false},
			{"a second one, sent after the first had ended", []Crash{crash("a", 0, 100), crash("b", 100, 200)}, true},
			{"the same, hours later", []Crash{crash("a", 0, 100), crash("b", 8_000_000, 8_000_100)}, true},
			{"two at one moment", []Crash{crash("a", 0, 100), crash("b", 20, 100)}, false},
			{"three at one moment", []Crash{crash("a", 0, 100), crash("b", 20, 100), crash("c", 90, 101)}, true},
			{"many at one moment that had begun to answer", []Crash{partial("a", 0, 100), partial("b", 20, 100), partial("c", 90, 101), partial("d", 50, 110)}, false},
			{"one after the other, of attempts that were under way together", []Crash{crash("a", 0, 100), crash("b", 50, 900)}, false},
			{"a second one that overlaps by less than clocks tell", []Crash{crash("a", 0, 100), crash("b", 96, 200)}, true},
			{"a silent one and one that had begun to answer", []Crash{crash("a", 0, 100), partial("b", 200, 300)}, false},
			{"three that had begun to answer", []Crash{partial("a", 0, 1), partial("b", 10, 11), partial("c", 20, 21)}, false},
			{"four that had begun to answer", []Crash{partial("a", 0, 1), partial("b", 10, 11), partial("c", 20, 21), partial("d", 30, 31)}, true},
		} {
			convey.Convey("with "+c.what, func() {
				convey.So(suffices(c.crashes), convey.ShouldEqual, c.want)
				slices.Reverse(c.crashes)
				convey.So(suffices(c.crashes), convey.ShouldEqual, c.want)
			})
		}
	})
}

func TestHoldUntil(t *testing.T) {
	minute := int(time.Minute.Milliseconds())
	convey.Convey("A hold lasts a minute from the last end", t, func() {
		convey.So(holdUntil([]Crash{crash("a", 0, 100), crash("b", 100, 200)}), convey.ShouldEqual, at(200+minute))
		convey.So(holdUntil([]Crash{crash("a", 0, 100), crash("b", 100, 200), crash("c", 100, 500)}), convey.ShouldEqual, at(500+minute))
	})
	convey.Convey("One for ends on one occasion lasts five seconds, and a minute from the trial on that fails", t, func() {
		together := []Crash{crash("a", 0, 100), crash("b", 20, 100), crash("c", 90, 101)}
		convey.So(holdUntil(together), convey.ShouldEqual, at(5101))
		convey.So(holdUntil(append(together, crash("d", 5200, 5300))), convey.ShouldEqual, at(5300+minute))
	})
	convey.Convey("Two ends that lie far apart make it no longer", t, func() {
		convey.So(holdUntil([]Crash{crash("a", 0, 100), crash("b", 5*minute, 5*minute)}), convey.ShouldEqual, at(6*minute))
	})
	convey.Convey("Each trial that fails makes the next hold ten times as long, up to a day", t, func() {
		crashes := []Crash{crash("a", 0, 0), crash("b", 10, 10)}
		for i, want := range []time.Duration{10 * time.Minute, 100 * time.Minute, 1000 * time.Minute, 24 * time.Hour, 24 * time.Hour} {
			tried := holdUntil(crashes).Add(time.Second)
			crashes = append(crashes, Crash{Target: fmt.Sprint("trial-", i), SentAt: tried, BrokenAt: tried, Silent: true})
			convey.So(holdUntil(crashes), convey.ShouldEqual, tried.Add(want))
		}
	})
}

// drawCrash draws an end of one of six targets within two seconds.
func drawCrash(t *rapid.T) Crash {
	began := rapid.IntRange(0, 2000).Draw(t, "began")
	return Crash{
		Target: rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "target"),
		SentAt:  at(began), BrokenAt: at(began + rapid.IntRange(0, 500).Draw(t, "took")), Silent: rapid.Bool().Draw(t, "silent"),
	}
}

// TestMergeInAnyOrder holds that what members know in the end does not depend on the order,
// the number or the repetition of reports.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
			e := Entry{Digest: 1, Cleared: rapid.IntRange(0, 2).Draw(t, "cleared")}
			if e.Cleared > 0 {
				e.ClearedAt = at(rapid.IntRange(0, 2000).Draw(t, "clearedAt"))
			}
			for range rapid.IntRange(0, 4).Draw(t, "crashes") {
				e = e.withCrash(drawCrash(t))
			}
			return e
		}), 1, 6).Draw(t, "entries")
		one, other := NewTable(), NewTable()
		now := at(3000)
		for _, e := range entries {
			one.Merge(now, []Entry{e})
		}
		again := slices.Concat(rapid.Permutation(entries).Draw(t, "order"), rapid.Permutation(entries).Draw(t, "again"))
		other.Merge(now, again)
		a, b := one.entries[1].Entry, other.entries[1].Entry
		for _, e := range []Entry{a, b} {
			if suffices(e.Crashes) && !e.Held {
				t.Fatalf("%+v is not held", e)
			}
		}
		// A member may have decided by a part of it.
		a.Held, b.Held = true, true
		if !a.same(b) || !a.last().Equal(b.last()) || !holdUntil(a.Crashes).Equal(holdUntil(b.Crashes)) {
			t.Fatalf("%+v is not %+v", a, b)
		}
	})
}
