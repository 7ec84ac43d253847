package batching

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestResultMemory(t *testing.T) {
	shouldLeave := func(m *resultMemory, available, used int64) {
		convey.So(m.available(testSpec()), convey.ShouldEqual, available)
		convey.So(m.used(), convey.ShouldEqual, used)
	}
	convey.Convey("A target's result memory", t, func() {
		m := newResultMemory()
		convey.Convey("is used up to 95 per cent", func() { shouldLeave(&m, 950, 0) })
		convey.Convey("is reserved from the sending of a batch", func() {
			m.reserve([]Item{{Bytes: 100}, {Bytes: 200}})
			shouldLeave(&m, 650, 300)
			convey.Convey("until its end", func() {
				m.endReservation()
				shouldLeave(&m, 950, 0)
			})
		})
		convey.Convey("is used by a stored result", func() {
			m.store("h", storedResult{bytes: 400, sentAt: testNow, expiresAt: testNow.Add(time.Second)})
			shouldLeave(&m, 550, 400)
			convey.So(m.empty(), convey.ShouldBeFalse)
			convey.Convey("until its first release", func() {
				m.release("h")
				m.release("h")
				shouldLeave(&m, 950, 0)
				convey.So(m.empty(), convey.ShouldBeTrue)
			})
			convey.Convey("until its time to live ends", func() {
				m.expire(testNow.Add(time.Second - 1))
				shouldLeave(&m, 550, 400)
			})
			convey.Convey("and no longer", func() {
				m.expire(testNow.Add(time.Second))
				shouldLeave(&m, 950, 0)
			})
		})
		convey.Convey("can be exceeded by results of other batches, and then has none available", func() {
			m.store("h", storedResult{bytes: 1200})
			shouldLeave(&m, -250, 1200)
		})
	})
}
