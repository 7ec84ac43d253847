package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

func TestRunItemsFailureReason(t *testing.T) {
	peers := newPeerClient(time.Now)
	convey.Convey("Given a member that keeps items waiting", t, func() {
		release := make(chan struct{})
		member := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		defer member.Close()
		defer close(release)
		address := strings.TrimPrefix(member.URL, "http://")
		convey.Convey("items whose time is over are late, and the member does not count as lost", func() {
			group := relay.Group{Count: 1, Deadline: time.Now().Add(20 * time.Millisecond)}
			_, err := peers.runItems(t.Context(), address, "s", group, func() {})
			convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonDeadline)
		})
		convey.Convey("nor is it when nobody waits for them any more", func() {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(20*time.Millisecond, cancel)
			_, err := peers.runItems(ctx, address, "s", relay.Group{Count: 1, Deadline: time.Now().Add(time.Minute)}, func() {})
			convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonCancelled)
		})
	})
	convey.Convey("A member that takes no connection is lost", t, func() {
		_, err := peers.runItems(t.Context(), "127.0.0.1:1", "s", relay.Group{Count: 1, Deadline: time.Now().Add(time.Minute)}, func() {})
		convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonConnection)
	})
}
