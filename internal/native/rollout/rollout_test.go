package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/native/rollout"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

var start = time.Unix(1000, 0)

// planWith returns number n of a deployment; data centre "late" takes it wait
// seconds after the others, and variant tells two contents apart.
func planWith(n, wait, variant int) *bundle.Plan {
	previous := ""
	if n > 1 {
		previous = fmt.Sprintf("sha256:%064d", n-1)
	}
	text := fmt.Sprintf(`{"name":"t","number":%d,"previous":%q,"objective":{"attainmentWeight":1,"costWeight":0},
"organisations":[{"name":"o","weight":%d,"keyDigests":["sha256:%064d"],"limits":{"concurrency":1,"requestsPerSecond":1,"tokensPerSecond":1}}],
"pools":[{"name":"p","kind":"service","checksFences":false,"checksKeys":false,"targets":[{"name":"t","address":"127.0.0.1:1","dataCentre":"late","slots":1}]}],
"pipelines":[{"name":"x","deadlineMs":1000,"stages":[{"name":"s","pool":"p","repeatable":true,"minimumMs":1,"cost":{"perCall":1,"perToken":0}}]}],
"rollout":[{"dataCentres":["late"],"afterSeconds":%d}]}`, n, previous, variant+1, 0, wait)
	p, err := bundle.Parse("test", []byte(text))
	if err != nil {
		panic(err)
	}
	return p
}

func TestWaves(t *testing.T) {
	convey.Convey("Given a node of the later wave with number 1 in force", t, func() {
		s, err := rollout.New("late").WithOffer(start, planWith(1, 60, 0))
		convey.So(err, convey.ShouldBeNil)
		convey.So(s.InForce().Number(), convey.ShouldEqual, 1)
		s, _ = s.WithOffer(start, planWith(2, 60, 0))
		convey.Convey("number 2 waits for its time", func() {
			convey.So(s.WithTime(start.Add(59*time.Second)).InForce().Number(), convey.ShouldEqual, 1)
			convey.So(s.WithTime(start.Add(60*time.Second)).InForce().Number(), convey.ShouldEqual, 2)
		})
		convey.Convey("number 3 without a wait overtakes it, and 2 never comes back", func() {
			s, _ = s.WithOffer(start, planWith(3, 0, 0))
			convey.So(s.InForce().Number(), convey.ShouldEqual, 3)
			convey.So(s.WithTime(start.Add(time.Hour)).InForce().Number(), convey.ShouldEqual, 3)
		})
		convey.Convey("a second offer of number 2 does not start its wait again", func() {
			s, _ = s.WithOffer(start.Add(30*time.Second), planWith(2, 60, 0))
			convey.So(s.Due(), convey.ShouldEqual, start.Add(60*time.Second))
		})
	})
}

// TestNeverBack offers bundles in any order, old ones and contradicting ones
// among them.
func TestNeverBack(t *testing.T) {
	plans := map[[3]int]*bundle.Plan{}
	get := func(n, wait, variant int) *bundle.Plan {
		key := [3]int{n, wait, variant}
		if plans[key] == nil {
			plans[key] = planWith(n, wait, variant)
		}
		return plans[key]
	}
	rapid.Check(t, func(t *rapid.T) {
		s := rollout.New("late")
		now := start
		inForce, newest := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				n := rapid.IntRange(1, 6).Draw(t, "number")
				next, err := s.WithOffer(now, get(n, 10*(n%2), rapid.IntRange(0, 1).Draw(t, "variant")))
				if err == nil {
					newest = max(newest, n)
				}
				s = next
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
				s = s.WithTime(now)
			},
			"": func(t *rapid.T) {
				if s.InForce() == nil {
					return
				}
				if s.InForce().Number() < inForce {
					t.Fatalf("number %d came back after %d", s.InForce().Number(), inForce)
				}
				inForce = s.InForce().Number()
				if s.Newest().Number() != newest {
					t.Fatalf("newest is %d, offered was %d", s.Newest().Number(), newest)
				}
			},
		})
	})
}

func TestWhichBundleIsInForce(t *testing.T) {
	type offer struct {
		number, wait, variant int
	}
	cases := []struct {
		question string
		offers   []offer
		err      error
		want     int
	}{
		{"the first comes with a wait", []offer{{1, 60, 0}}, nil, 1},
		{"a higher number comes", []offer{{1, 0, 0}, {2, 0, 0}}, nil, 2},
		{"a higher number comes with a wait", []offer{{1, 0, 0}, {2, 60, 0}}, nil, 1},
		{"numbers are missed", []offer{{1, 0, 0}, {5, 0, 0}}, nil, 5},
		{"the same comes again", []offer{{2, 0, 0}, {2, 0, 0}}, nil, 2},
		{"a lower number comes", []offer{{2, 0, 0}, {1, 0, 0}}, bundle.ErrOlder, 2},
		{"the same number comes with other content", []offer{{2, 0, 0}, {2, 0, 1}}, bundle.ErrConflict, 2},
		{"a lower number than one that waits comes", []offer{{1, 0, 0}, {3, 60, 0}, {2, 0, 0}}, bundle.ErrOlder, 1},
	}
	convey.Convey("Which bundle is in force when", t, func() {
		for _, c := range cases {
			convey.Convey(c.question, func() {
				s := rollout.New("late")
				var err error
				for _, o := range c.offers {
					s, err = s.WithOffer(start, planWith(o.number, o.wait, o.variant))
				}
				convey.So(errors.Is(err, c.err), convey.ShouldBeTrue)
				convey.So(s.InForce().Number(), convey.ShouldEqual, c.want)
			})
		}
	})
}
