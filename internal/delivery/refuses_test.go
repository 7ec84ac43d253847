package delivery_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/delivery"
)

// TestRefuses holds that only a refused connection counts as the end of a process.
func TestRefuses(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := delivery.Target{Address: ln.Addr().String()}
	c := delivery.New(delivery.WithDialTimeout(time.Second))
	convey.Convey("A process that listens has not ended", t, func() {
		convey.So(c.Refuses(t.Context(), target), convey.ShouldBeFalse)
	})
	convey.Convey("Nothing is known when the question is ended before an answer", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		convey.So(c.Refuses(ctx, target), convey.ShouldBeFalse)
	})
	convey.Convey("A port at which nothing listens refuses", t, func() {
		convey.So(ln.Close(), convey.ShouldBeNil)
		convey.So(c.Refuses(t.Context(), target), convey.ShouldBeTrue)
	})
}
