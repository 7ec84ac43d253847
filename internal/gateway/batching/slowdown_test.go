package batching

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// shouldBeAbout asserts that two numbers are equal up to rounding.
func shouldBeAbout(got, want float64) {
	convey.So(got, convey.ShouldAlmostEqual, want, 1e-9)
}

func TestSlowdown(t *testing.T) {
	const nominal = 300 * time.Millisecond
	convey.Convey("A target without a measurement is as fast as the catalog says", t, func() {
		s := newSlowdown()
		shouldBeAbout(s.at(testNow), 1)
	})
	for _, c := range []struct {
		name string
		took time.Duration
		want float64
	}{
		{"A batch of the nominal duration changes nothing", nominal, 1},
		{"A batch of twice the duration has a weight of 0.4", 2 * nominal, 1.4},
		{"A batch of half the duration has a weight of 0.4", nominal / 2, 0.8},
		{"A batch of a hundred times the duration counts as twenty", 100 * nominal, 0.6 + 20*0.4},
		{"A batch of no duration counts as three tenths", 0, 0.6 + 0.3*0.4},
	} {
		convey.Convey(c.name, t, func() {
			s := newSlowdown()
			s.observe(testNow, c.took, nominal)
			shouldBeAbout(s.at(testNow), c.want)
		})
	}
	for _, c := range []struct {
		name string
		age  time.Duration
		want float64
	}{
		{"A slowdown of 3 has not decayed initially", 0, 3},
		{"After half of a half-life it has decayed by a quarter of its distance from 1", 2 * time.Second, 2.5},
		{"After a half-life it has decayed by half", 4 * time.Second, 2},
		{"After two half-lives it has decayed by three quarters", 8 * time.Second, 1.5},
		{"A clock that went back causes no decay", -time.Second, 3},
	} {
		convey.Convey(c.name, t, func() {
			s := slowdown{factor: 3, updatedAt: testNow}
			shouldBeAbout(s.at(testNow.Add(c.age)), c.want)
		})
	}
	convey.Convey("A slow target's batches are expected to take as much longer", t, func() {
		slow := slowTarget("slow", 2)
		convey.So(slow.expectedSingle(testNow, testSpec()), convey.ShouldEqual, 520*time.Millisecond)
		convey.So(slow.expectedFull(testNow, testSpec()), convey.ShouldEqual, 640*time.Millisecond)
	})
}
