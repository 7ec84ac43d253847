package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/native/membership"
	"github.com/honeydyke/honeydyke/internal/native/routing"
)

var start = time.Unix(1000, 0)

func exchange(node, dataCentre string) message.Exchange {
	return message.Exchange{Node: node, Incarnation: "1", DataCentre: dataCentre}
}

// group is nodes of one data centre that exchange with random others.
type group struct {
	views []membership.View
	rng   *rand.Rand
	now   time.Time
	// alone is true for nodes that nobody hears and that hear nobody.
	alone []bool
}

func newGroup(n int) *group {
	g := &group{rng: rand.New(rand.NewPCG(1, 1)), now: start, alone: make([]bool, n)}
	for i := range n {
		g.views = append(g.views, membership.New(fmt.Sprint("n", i), "d"))
	}
	return g
}

// pass lets time pass; each second every node exchanges with one other.
func (g *group) pass(seconds int) {
	for range seconds {
		g.now = g.now.Add(time.Second)
		for i := range g.views {
			g.views[i] = g.views[i].WithReading(g.now)
			j := g.rng.IntN(len(g.views))
			if i != j && !g.alone[i] && !g.alone[j] {
				a, b := g.exchange(i), g.exchange(j)
				g.views[i], _ = g.views[i].WithExchange(g.now, b)
				g.views[j], _ = g.views[j].WithExchange(g.now, a)
			}
		}
	}
}

func (g *group) exchange(i int) message.Exchange {
	ex := exchange(fmt.Sprint("n", i), "d")
	ex.Readers = g.views[i].Readers(g.now)
	return ex
}

func (g *group) readers() (connected, alone int) {
	for i, v := range g.views {
		switch {
		case v.Reading() && g.alone[i]:
			alone++
		case v.Reading():
			connected++
		}
	}
	return connected, alone
}

func TestReaders(t *testing.T) {
	for _, n := range []int{1, 2, 7, 73, 200} {
		convey.Convey(fmt.Sprintf("Given %d nodes of one data centre", n), t, func() {
			g := newGroup(n)
			g.pass(60)
			few, _ := g.readers()
			convey.So(few, convey.ShouldBeBetweenOrEqual, 1, 4)
			convey.Convey("readers that die are replaced", func() {
				for i, v := range g.views {
					g.alone[i] = v.Reading()
				}
				if few == n {
					return
				}
				g.pass(60)
				again, _ := g.readers()
				convey.So(again, convey.ShouldBeBetweenOrEqual, 1, 4)
			})
			convey.Convey("nodes that hear nobody each read", func() {
				for i := range g.alone {
					g.alone[i] = true
				}
				g.pass(60)
				_, cut := g.readers()
				convey.So(cut, convey.ShouldEqual, n)
			})
		})
	}
}

func TestPeers(t *testing.T) {
	convey.Convey("Given a view of one peer", t, func() {
		v, _ := membership.New("self", "d").WithExchange(start, exchange("peer", "d"))
		convey.Convey("its leaving holds for the incarnation whatever comes later", func() {
			gone := exchange("peer", "d")
			gone.Leaving = true
			v, _ = v.WithExchange(start, gone)
			v, _ = v.WithExchange(start, exchange("peer", "d"))
			convey.So(v.Peers()[0].Leaving, convey.ShouldBeTrue)
			again := exchange("peer", "d")
			again.Incarnation = "2"
			v, _ = v.WithExchange(start, again)
			convey.So(v.Peers()[0].Leaving, convey.ShouldBeFalse)
		})
		convey.Convey("its own exchange does not make the node its own peer", func() {
			v, _ = v.WithExchange(start, exchange("self", "d"))
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
					v, _ = v.WithMarks(start, []message.LeavingMark{m})
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

// ranked returns addresses of two nodes above self's rank and two below.
func ranked(self string) (above, below []string) {
	for i := 0; len(above) < 2 || len(below) < 2; i++ {
		node := fmt.Sprint("n", i)
		if routing.Hash(node) > routing.Hash(self) {
			above = append(above, node)
		} else {
			below = append(below, node)
		}
	}
	return above[:2], below[:2]
}

func TestWhichNodesRead(t *testing.T) {
	const self = "self"
	above, below := ranked(self)
	longest := 8 * time.Second // more than the longest delay of a node
	cases := []struct {
		question string
		reading  bool
		known    []string
		age      time.Duration
		want     bool
	}{
		{"no reader is known", false, nil, 0, true},
		{"one reader is known", false, above[:1], 0, true},
		{"two readers are known", false, below, 0, false},
		{"two readers were known too long ago", false, above, 16 * time.Second, true},
		{"it reads, and two of a lower rank do", true, below, 0, true},
		{"it reads, and one of a higher rank does", true, above[:1], 0, true},
		{"it reads, and two of a higher rank do", true, above, 0, false},
	}
	convey.Convey("A node reads the configuration service when", t, func() {
		for _, c := range cases {
			convey.Convey(fmt.Sprintf("%s: %t", c.question, c.want), func() {
				v := membership.New(self, "d")
				now := start
				if c.reading {
					v = v.WithReading(now)
					now = now.Add(longest)
					v = v.WithReading(now)
					convey.So(v.Reading(), convey.ShouldBeTrue)
				}
				ex := exchange("peer", "d")
				for _, node := range c.known {
					ex.Readers = append(ex.Readers, message.Reader{Node: node, AgeMs: int(c.age.Milliseconds())})
				}
				v, _ = v.WithExchange(now, ex)
				v = v.WithReading(now).WithReading(now.Add(longest))
				convey.So(v.Reading(), convey.ShouldEqual, c.want)
			})
		}
	})
}

func TestWhatAnExchangeNames(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	convey.Convey("Given peers and marks of which some are old", t, func() {
		v := membership.New("self", "d")
		for i := range 6 {
			v, _ = v.WithExchange(start, exchange(fmt.Sprint("p", i), "d"))
		}
		gone := exchange("gone", "d")
		gone.Leaving = true
		v, _ = v.WithExchange(start, gone)
		for i := range 40 {
			v, _ = v.WithMarks(start, []message.LeavingMark{{Target: fmt.Sprint("t", i), Incarnation: "1"}})
		}
		convey.Convey("it names four live peers, none that is leaving", func() {
			named := v.NamedPeers(start.Add(5*time.Second), rng)
			convey.So(len(named), convey.ShouldEqual, 4)
			convey.So(named, convey.ShouldNotContain, "gone")
		})
		convey.Convey("it names no peer that was without an exchange for longer", func() {
			convey.So(v.NamedPeers(start.Add(5*time.Second+1), rng), convey.ShouldBeEmpty)
		})
		convey.Convey("it names the newest 32 marks while they are passed on", func() {
			convey.So(len(v.FreshMarks(start.Add(30*time.Second))), convey.ShouldEqual, 32)
			convey.So(v.FreshMarks(start)[0].Target, convey.ShouldEqual, "t39")
			convey.So(v.FreshMarks(start.Add(30*time.Second+1)), convey.ShouldBeEmpty)
		})
	})
}

func TestSizeOfTheFleet(t *testing.T) {
	convey.Convey("Given a view of one peer", t, func() {
		v, _ := membership.New("self", "d").WithExchange(start, exchange("peer", "d"))
		convey.Convey("the size counts the peers that sent an exchange within a minute", func() {
			convey.So(v.Size(start.Add(time.Minute)), convey.ShouldEqual, 2)
			convey.So(v.Size(start.Add(time.Minute+1)), convey.ShouldEqual, 1)
		})
		convey.Convey("the platform's list goes before it", func() {
			convey.So(v.WithList(start, []string{"a", "b", "c"}).Size(start), convey.ShouldEqual, 3)
		})
	})
}
