package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/backpressure"
	"github.com/honeydyke/honeydyke/internal/gateway/gossipcodec"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
)

// newQuarantine returns a tracker whose changes are not reported.
func newQuarantine() *quarantine.Tracker {
	return quarantine.NewTracker(quarantine.Config{
		Now: time.Now, Log: zerolog.Nop(), OnChange: func(int) {}, OwnsRole: func(string) bool { return false },
	})
}

// newBackpressure returns a tracker whose changes are not reported.
func newBackpressure() *backpressure.Tracker {
	return backpressure.NewTracker(backpressure.Config{
		Now: time.Now, Log: zerolog.Nop(), Changed: func(int) {}, Rank: func(string) (before, members int) { return 0, 1 },
	})
}

// TestGossipOfMixedVersions guards against answers that a member of an earlier version cannot
// decode: it neither sends nor accepts the compact form.
func TestGossipOfMixedVersions(t *testing.T) {
	answer := func(accept string) (contentType string, g message.Gossip) {
		m := newMembers(time.Now, "10.0.0.1:80", 1, nil, 0)
		views := newViewKeeper(time.Now, zerolog.Nop(), func(*view.View) {})
		s := &peerServer{now: time.Now, gossip: &gossiper{
			now: time.Now, members: m, views: views, health: newSourceHealth(), quarantine: newQuarantine(), parts: newQuarantine(), backpressure: newBackpressure(), triggered: make(chan struct{}, 1),
		}}
		body, err := json.Marshal(message.Gossip{Members: []message.GossipMember{{Address: "10.1.0.0:8628", Incarnation: 1, Compact: true}}})
		convey.So(err, convey.ShouldBeNil)
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(string(body)))
		if accept != "" {
			r.Header.Set("Accept", accept)
		}
		w := httptest.NewRecorder()
		s.serveGossip(w, r)
		convey.So(w.Code, convey.ShouldEqual, http.StatusOK)
		contentType = w.Header().Get("Content-Type")
		g, err = gossipcodec.Decode(w.Body, contentType)
		convey.So(err, convey.ShouldBeNil)
		convey.So(m.readsCompact("10.1.0.0:8628"), convey.ShouldBeTrue)
		return contentType, g
	}
	convey.Convey("JSON is answered with JSON", t, func() {
		contentType, g := answer("")
		convey.So(contentType, convey.ShouldEqual, "application/json")
		convey.So(len(g.Members), convey.ShouldBeGreaterThan, 1)
	})
	convey.Convey("JSON from a node that accepts the compact form is answered in that form", t, func() {
		contentType, g := answer(gossipcodec.CompactMediaType)
		convey.So(contentType, convey.ShouldEqual, gossipcodec.CompactMediaType)
		convey.So(len(g.Members), convey.ShouldBeGreaterThan, 1)
	})
}
