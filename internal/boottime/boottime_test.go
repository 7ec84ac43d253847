package boottime

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// machine is a machine whose clocks a test moves apart.
type machine struct {
	start time.Time
	// ran is how long the monotonic clock went, slept how long the machine was suspended.
	ran, slept time.Duration
	// asked counts the calls for the time suspended; blind says that the kernel has none.
	asked int
	blind bool
}

func (m *machine) now() time.Time { return m.start.Add(m.ran) }

func (m *machine) suspended() (time.Duration, bool) {
	m.asked++
	return time.Hour + m.slept, !m.blind
}

func (m *machine) clock() *Clock { return newClock(m.now, m.suspended) }

// TestClock holds that suspensions count in ages once the kernel was asked, which is at
// least once in checkInterval, and that the clock goes on by itself otherwise.
func TestClock(t *testing.T) {
	convey.Convey("Given a clock", t, func() {
		m := &machine{start: time.Now()}
		c := m.clock()
		begun := c.Now()
		convey.Convey("without a suspension it is the monotonic clock, and the kernel is asked once a second", func() {
			before := m.asked
			for range 100 {
				m.ran += 100 * time.Millisecond
				convey.So(c.Now().Sub(begun), convey.ShouldEqual, m.ran)
			}
			convey.So(m.asked-before, convey.ShouldBeBetweenOrEqual, 8, 10)
		})
		convey.Convey("a suspension is counted within the check interval, also a second one", func() {
			m.slept += 8 * time.Second
			m.ran += checkInterval + 1
			convey.So(c.Now().Sub(begun), convey.ShouldEqual, 8*time.Second+m.ran)
			m.slept += 3 * time.Second
			m.ran += checkInterval + 1
			convey.So(c.Now().Sub(begun), convey.ShouldEqual, 11*time.Second+m.ran)
		})
		convey.Convey("it never goes back, whatever the kernel says", func() {
			m.slept += 8 * time.Second
			m.ran += checkInterval + 1
			ahead := c.Now()
			m.slept = 0
			m.ran += checkInterval + 1
			convey.So(c.Now().After(ahead), convey.ShouldBeTrue)
		})
		convey.Convey("where the kernel does not say, suspensions do not count", func() {
			m.blind = true
			m.slept += 8 * time.Second
			m.ran += 2 * checkInterval
			convey.So(c.Now().Sub(begun), convey.ShouldEqual, m.ran)
		})
	})
}

// TestApart holds when the kernel is asked at once: when the time of day and the monotonic
// clock have moved apart. The clock's own memory of the two is moved instead of them, as a
// test cannot set the time of day.
func TestApart(t *testing.T) {
	convey.Convey("Given a clock that was just checked", t, func() {
		m := &machine{start: time.Now()}
		c := m.clock()
		m.ran = time.Millisecond
		c.Now()
		before := m.asked
		for _, d := range []time.Duration{apart, -apart} {
			c.drift.Store(int64(d))
			c.Now()
		}
		convey.So(m.asked, convey.ShouldEqual, before)
		convey.Convey("a suspension is counted at once when they are apart", func() {
			m.slept = 5 * time.Second
			c.drift.Store(-int64(m.slept))
			got := c.Now().Sub(m.start)
			convey.So(got, convey.ShouldEqual, m.slept+m.ran)
			convey.So(m.asked, convey.ShouldEqual, before+1)
		})
		convey.Convey("a step of the time of day has the kernel asked, and changes nothing", func() {
			c.drift.Store(int64(time.Minute))
			convey.So(c.Now().Sub(m.start), convey.ShouldEqual, m.ran)
			convey.So(m.asked, convey.ShouldEqual, before+1)
			c.Now()
			convey.So(m.asked, convey.ShouldEqual, before+1)
		})
	})
}

// TestSystemClock holds that the clock of this machine goes with time.Now.
func TestSystemClock(t *testing.T) {
	convey.Convey("The clock goes with time.Now", t, func() {
		c := New()
		now := time.Now()
		convey.So(c.Now().Sub(now), convey.ShouldBeBetween, -time.Millisecond, time.Second)
		_, known := suspendedTime()
		convey.So(known, convey.ShouldBeTrue)
	})
}

// BenchmarkNow times a reading beside time.Now.
func BenchmarkNow(b *testing.B) {
	c := New()
	b.Run("boottime", func(b *testing.B) {
		for b.Loop() {
			c.Now()
		}
	})
	b.Run("time", func(b *testing.B) {
		for b.Loop() {
			_ = time.Now()
		}
	})
}
