package rules

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestInputsReadTime(t *testing.T) {
	cases := []struct {
		why      string
		transfer Transfer
		want     time.Duration
	}{
		{"that are small take the base time", Transfer{Bytes: 0, BytesPerSecond: 1e9}, 40 * ms},
		{"that are large take the base time and three times their transfer time", Transfer{Bytes: 10e6, BytesPerSecond: 1e9}, 70 * ms},
		{"over an unknown bandwidth take the default", Transfer{Bytes: 10}, 120 * ms},
	}
	convey.Convey("Inputs", t, func() {
		for _, c := range cases {
			convey.Convey(c.why, func() { convey.So(InputsReadTime(c.transfer), convey.ShouldEqual, c.want) })
		}
	})
}

func TestReleaseBeforeResponse(t *testing.T) {
	now := time.Unix(1000, 0)
	known := Transfer{Bytes: 1, BytesPerSecond: 1e9}
	cases := []struct {
		why      string
		transfer Transfer
		lastGone time.Time
		want     bool
	}{
		{"are released once they should have been fetched", known, time.Time{}, true},
		{"are kept if the transfer time is unknown", Transfer{Bytes: 1}, time.Time{}, false},
		{"are kept for a while after some were missing", known, now.Add(-9999 * ms), false},
		{"are released again later", known, now.Add(-10 * time.Second), true},
	}
	convey.Convey("Inputs of an engine", t, func() {
		for _, c := range cases {
			convey.Convey(c.why, func() { convey.So(ReleaseBeforeResponse(now, c.transfer, c.lastGone), convey.ShouldEqual, c.want) })
		}
	})
}

func TestLongestTransfer(t *testing.T) {
	convey.Convey("A transfer over an unknown bandwidth is the longest", t, func() {
		short, long, unknown := Transfer{2, 2}, Transfer{3, 1}, Transfer{1, 0}
		convey.So(LongestTransfer([]Transfer{short, long}), convey.ShouldResemble, long)
		convey.So(LongestTransfer([]Transfer{long, unknown, short}), convey.ShouldResemble, unknown)
		convey.So(LongestTransfer(nil), convey.ShouldResemble, Transfer{})
	})
}
