package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/native/routing"
)

// here is a free target of the node's data centre.
func here(name string, inFlight int) routing.Candidate {
	return routing.Candidate{Name: name, Hash: routing.Hash(name), Local: true, Slots: 4, InFlight: inFlight, ReportAge: -1, Slowness: 1}
}

func elsewhere(name string, inFlight int) routing.Candidate {
	c := here(name, inFlight)
	c.Local = false
	return c
}

// alwaysChosen holds that the policy takes the named candidate whatever it draws;
// an empty name is for none.
func alwaysChosen(policy routing.Policy, cs []routing.Candidate, q routing.Query, want string) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		got := ""
		if i := routing.Choose(policy, cs, q, rng); i >= 0 {
			got = cs[i].Name
		}
		convey.So(got, convey.ShouldEqual, want)
	}
}

// preferredOf returns the target that the prefix prefers while all are idle.
func preferredOf(prefix uint64, cs []routing.Candidate) string {
	return cs[routing.Choose(nil, cs, routing.Query{Prefix: prefix}, rand.New(rand.NewPCG(1, 1)))].Name
}

func TestWhichTarget(t *testing.T) {
	prefix := routing.Hash("prompt")
	favourite := preferredOf(prefix, []routing.Candidate{here("a", 0), here("b", 0)})
	cases := []struct {
		question string
		cs       []routing.Candidate
		want     string
	}{
		{"none is there", nil, ""},
		{"none is free", []routing.Candidate{here("a", 4), elsewhere("b", 4)}, ""},
		{"one is free", []routing.Candidate{here("a", 4), here("b", 3)}, "b"},
		{"the own data centre has room", []routing.Candidate{here("a", 3), elsewhere("b", 0)}, "a"},
		{"the own data centre is full", []routing.Candidate{here("a", 4), elsewhere("b", 3)}, "b"},
		{"no target is in the own data centre", []routing.Candidate{elsewhere("b", 3)}, "b"},
	}
	convey.Convey("An attempt gets a target when", t, func() {
		for _, c := range cases {
			convey.Convey(c.question, func() {
				alwaysChosen(routing.Balanced{}, c.cs, routing.Query{}, c.want)
			})
		}
		convey.Convey("its prefix prefers one that is not loaded", func() {
			cs := []routing.Candidate{here("a", 1), here("b", 1)}
			alwaysChosen(routing.Balanced{}, cs, routing.Query{Prefix: prefix}, favourite)
		})
		convey.Convey("its prefix prefers one that is too loaded", func() {
			cs := []routing.Candidate{here("a", 0), here("b", 0), here("c", 4), here("d", 4)}
			for i := range cs[:2] {
				if cs[i].Name == favourite {
					cs[i].InFlight = 4
				}
			}
			rng := rand.New(rand.NewPCG(1, 1))
			for range 50 {
				chosen := cs[routing.Choose(routing.Balanced{}, cs, routing.Query{Prefix: prefix}, rng)]
				convey.So(chosen.Name, convey.ShouldNotEqual, favourite)
			}
		})
		convey.Convey("one is much slower than the other, mostly the other", func() {
			cs := []routing.Candidate{here("a", 0), here("b", 0)}
			cs[0].Slowness = 10
			rng := rand.New(rand.NewPCG(1, 1))
			n := 0
			for range 400 {
				n += routing.Choose(routing.Balanced{}, cs, routing.Query{}, rng)
			}
			convey.So(n, convey.ShouldBeBetween, 250, 350) // both samples are a in one of four draws
		})
	})
}

func TestWhenATargetIsFree(t *testing.T) {
	reported := func(foreign int, age, idle time.Duration) routing.Candidate {
		c := here("a", 0)
		c.Foreign, c.ReportAge, c.Idle = foreign, age, idle
		return c
	}
	cases := []struct {
		question string
		c        routing.Candidate
		want     bool
	}{
		{"its own calls take all slots", here("a", 4), false},
		{"one slot is left", here("a", 3), true},
		{"a new report says full", reported(4, 0, 0), false},
		{"a report of a half-life ago says full", reported(4, 2*time.Second, 0), true},
		{"a report of a half-life ago says twice full", reported(8, 2*time.Second, 0), false},
		{"an expired report says full", reported(4000, 11*time.Second, 0), true},
		{"others fill it, and it got no call for a second", reported(8, 0, time.Second), false},
		{"others fill it, and it got no call for longer", reported(8, 0, time.Second+1), true},
	}
	convey.Convey("Whether a target is free when", t, func() {
		for _, c := range cases {
			convey.Convey(c.question, func() {
				convey.So(c.c.Free(), convey.ShouldEqual, c.want)
			})
		}
	})
}

func TestBaselines(t *testing.T) {
	cs := []routing.Candidate{here("a", 4), here("b", 2), here("c", 1)}
	convey.Convey("Least outstanding takes the one with the fewest own calls", t, func() {
		alwaysChosen(routing.LeastOutstanding{}, cs, routing.Query{}, "c")
	})
	convey.Convey("Round robin takes the free ones in turn", t, func() {
		alwaysChosen(routing.RoundRobin{}, cs, routing.Query{Turn: 2}, "b")
		alwaysChosen(routing.RoundRobin{}, cs, routing.Query{Turn: 3}, "c")
	})
}

func TestOnlyFreeTargetsAreChosen(t *testing.T) {
	policies := []routing.Policy{
		routing.Balanced{}, routing.Random{}, routing.RoundRobin{}, routing.LeastOutstanding{}, routing.TwoChoices{},
	}
	rapid.Check(t, func(t *rapid.T) {
		var cs []routing.Candidate
		free := false
		for range rapid.IntRange(0, 8).Draw(t, "n") {
			c := here(rapid.StringN(1, 3, -1).Draw(t, "name"), rapid.IntRange(0, 5).Draw(t, "in flight"))
			c.Local = rapid.Bool().Draw(t, "local")
			cs = append(cs, c)
			free = free || c.Free()
		}
		q := routing.Query{Prefix: uint64(rapid.IntRange(0, 2).Draw(t, "prefix")), Turn: rapid.Uint64().Draw(t, "turn")}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		i := routing.Choose(rapid.SampledFrom(policies).Draw(t, "policy"), cs, q, rng)
		if free != (i >= 0) || (i >= 0 && !cs[i].Free()) {
			t.Fatalf("chose %d of %+v", i, cs)
		}
	})
}
