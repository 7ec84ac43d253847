package delivery

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// TestAnswersAreRememberedWithoutAllocation guards against a cost of evidence for calls that succeed.
func TestAnswersAreRememberedWithoutAllocation(t *testing.T) {
	var conn guardedConn
	var sent attempt
	sent.conn.Store(&conn)
	convey.Convey("An answer is remembered without an allocation", t, func() {
		convey.So(testing.AllocsPerRun(100, func() { sent.answered(200, "identity") }), convey.ShouldEqual, 0)
	})
}

func BenchmarkAnswered(b *testing.B) {
	var conn guardedConn
	var sent attempt
	sent.conn.Store(&conn)
	for b.Loop() {
		sent.answered(200, "identity")
	}
}
