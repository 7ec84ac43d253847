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

// TestRunItemsFailureReason guards against slow members that are taken for lost.
func TestRunItemsFailureReason(t *testing.T) {
	peers := newPeerClient(time.Now)
	convey.Convey("Given a member that does not answer", t, func() {
		release := make(chan struct{})
		member := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		defer member.Close()
		defer close(release)
		address := strings.TrimPrefix(member.URL, "http://")
		convey.Convey("the reason is the deadline if it has passed", func() {
			group := relay.Group{Count: 1, Deadline: time.Now().Add(20 * time.Millisecond)}
			_, err := peers.runItems(t.Context(), address, "s", group, func() {})
			convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonDeadline)
		})
		convey.Convey("the reason is the cancellation if the call was cancelled", func() {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(20*time.Millisecond, cancel)
			_, err := peers.runItems(ctx, address, "s", relay.Group{Count: 1, Deadline: time.Now().Add(time.Minute)}, func() {})
			convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonCancelled)
		})
	})
	convey.Convey("The reason is the connection if the member refuses it", t, func() {
		_, err := peers.runItems(t.Context(), "127.0.0.1:1", "s", relay.Group{Count: 1, Deadline: time.Now().Add(time.Minute)}, func() {})
		convey.So(err.Reason(), convey.ShouldEqual, verdict.ReasonConnection)
	})
}
