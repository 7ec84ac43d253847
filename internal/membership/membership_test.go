package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/membership"
	"github.com/honeydyke/honeydyke/internal/message"
)

var start = time.Unix(1000, 0)

func word(node, dataCentre string) message.Exchange {
	return message.Exchange{Node: node, Incarnation: "1", DataCentre: dataCentre}
}

func TestReaders(t *testing.T) {
	convey.Convey("Given seven nodes of one data centre that hear each other", t, func() {
		var views []membership.View
		for i := range 7 {
			v := membership.New(fmt.Sprint("n", i), "d")
			for j := range 7 {
				v, _ = v.WithWord(start, word(fmt.Sprint("n", j), "d"))
			}
			views = append(views, v)
		}
		count := func(now time.Time) int {
			n := 0
			for _, v := range views {
				if v.Reads(now) {
					n++
				}
			}
			return n
		}
		convey.Convey("two of them read the service", func() {
			convey.So(count(start), convey.ShouldEqual, 2)
		})
		convey.Convey("all of them do when none hears any other", func() {
			convey.So(count(start.Add(time.Minute)), convey.ShouldEqual, 7)
		})
	})
}

func TestPeers(t *testing.T) {
	convey.Convey("Given a view of one peer", t, func() {
		v, _ := membership.New("self", "d").WithWord(start, word("peer", "d"))
		convey.Convey("its leaving holds for the incarnation whatever comes later", func() {
			gone := word("peer", "d")
			gone.Leaving = true
			v, _ = v.WithWord(start, gone)
			v, _ = v.WithWord(start, word("peer", "d"))
			convey.So(v.Peers()[0].Leaving, convey.ShouldBeTrue)
			again := word("peer", "d")
			again.Incarnation = "2"
			v, _ = v.WithWord(start, again)
			convey.So(v.Peers()[0].Leaving, convey.ShouldBeFalse)
		})
		convey.Convey("its own word does not make the node its own peer", func() {
			v, _ = v.WithWord(start, word("self", "d"))
			convey.So(len(v.Peers()), convey.ShouldEqual, 1)
		})
		convey.Convey("it is forgotten after a long silence", func() {
			convey.So(v.WithTime(start.Add(time.Hour)).Peers(), convey.ShouldBeEmpty)
		})
	})
}

// TestMarksEndTheSame gives one set of marks to two views in different orders,
// with losses made good and repetitions.
func TestMarksEndTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var marks []message.LeavingMark
		for i := range rapid.IntRange(1, 12).Draw(t, "marks") {
			marks = append(marks, message.LeavingMark{Target: fmt.Sprint("t", i%4), Incarnation: fmt.Sprint(i)})
		}
		apply := func(label string) []message.LeavingMark {
			v := membership.New("self", "d")
			for _, m := range rapid.Permutation(marks).Draw(t, label) {
				for range rapid.IntRange(1, 2).Draw(t, "times") {
					v, _ = v.WithMarks([]message.LeavingMark{m})
				}
			}
			got := slices.Clone(v.Marks())
			slices.SortFunc(got, func(a, b message.LeavingMark) int {
				return slices.Compare([]string{a.Target, a.Incarnation}, []string{b.Target, b.Incarnation})
			})
			return got
		}
		if diff := cmp.Diff(apply("one"), apply("two")); diff != "" {
			t.Fatal(diff)
		}
	})
}
