package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

func TestRunAt(t *testing.T) {
	group := relay.Group{Count: 1, Deadline: time.Now().Add(time.Minute)}
	convey.Convey("Given a member that answers only after a liveness check", t, func() {
		release := make(chan struct{})
		member := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			<-release
			writeJSON(w, message.ItemResults{Results: []message.ItemResult{{Handle: "h", Target: "t"}}})
		}))
		defer member.Close()
		released := false
		defer func() {
			if !released {
				close(release)
			}
		}()
		address := strings.TrimPrefix(member.URL, "http://")
		caller := &batchRouter{
			now: time.Now, members: newMembers(time.Now, "10.0.0.1:1", 1, nil, 0), peers: newPeerClient(time.Now),
		}
		convey.Convey("it is given up if a check fails", func() {
			caller.exchange = func(context.Context, string) bool { return false }
			_, err := caller.runAt(t.Context(), address, "s", group, nil)
			convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonConnection)
		})
		convey.Convey("it is awaited while the checks succeed", func() {
			var checks atomic.Int64
			caller.exchange = func(_ context.Context, member string) bool {
				if checks.Add(1) == 2 {
					close(release)
				}
				return member == address
			}
			released = true
			results, err := caller.runAt(t.Context(), address, "s", group, nil)
			convey.So(err, convey.ShouldBeNil)
			convey.So(results, convey.ShouldHaveLength, 1)
			convey.So(checks.Load(), convey.ShouldBeGreaterThanOrEqualTo, 2)
		})
	})
}
