package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
)

// usualGossip is an exchange of a large fleet: the sender and 40 others.
func usualGossip() message.Gossip {
	var g message.Gossip
	for i := range 41 {
		g.Members = append(g.Members, message.GossipMember{
			Address: fmt.Sprintf("10.%d.0.%d:8628", i%4+1, i), Incarnation: 1772576385055123456 + i, Beat: 300 + i,
			Serving: true, Hears: i%3 == 0, Version: 12, Revision: 2540, Capacity: 192, Compact: true,
		})
	}
	return g
}

// TestCompactGossipKeepsAll holds that gossip reads as it was written.
func TestCompactGossipKeepsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := message.Gossip{Members: []message.GossipMember{}}
		for range rapid.IntRange(0, 5).Draw(t, "members") {
			ip := rapid.SampledFrom([]string{"10.1.2.3", "[fd00::1]", "127.0.0.1"}).Draw(t, "ip")
			number := rapid.IntRange(0, 1<<62)
			g.Members = append(g.Members, message.GossipMember{
				Address:     fmt.Sprintf("%s:%d", ip, rapid.IntRange(0, 65535).Draw(t, "port")),
				Incarnation: number.Draw(t, "incarnation"), Beat: number.Draw(t, "beat"), Version: number.Draw(t, "version"),
				Revision: number.Draw(t, "revision"), Capacity: number.Draw(t, "capacity"),
				Leaving: rapid.Bool().Draw(t, "leaving"), Serving: rapid.Bool().Draw(t, "serving"),
				Hears: rapid.Bool().Draw(t, "hears"), Compact: rapid.Bool().Draw(t, "compact"),
			})
		}
		body, kind, err := gossipBody(g, true)
		if err != nil {
			t.Fatal(err)
		}
		got, err := readGossipBody(bytes.NewReader(body), kind)
		if err != nil || fmt.Sprint(got) != fmt.Sprint(g) {
			t.Fatalf("%v reads as %v: %v", g, got, err)
		}
	})
}

// newQuarantine returns a keeper that nobody hears of.
func newQuarantine() *quarantine.Keeper {
	return quarantine.NewKeeper(quarantine.Config{
		Now: time.Now, Log: zerolog.Nop(), Changed: func(int) {}, GivesOut: func(string) bool { return false },
	})
}

// TestCompactSuspects holds that what is told of requests that end their targets reads as
// it was written, in both forms.
func TestCompactSuspects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := usualGossip()
		want.HeldSum = rapid.SampledFrom([]string{"", "9f86d081884c7d65"}).Draw(t, "sum")
		want.Suspects = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) message.SuspectRequest {
			return message.SuspectRequest{
				Digest: "9f86d081884c7d65", Held: rapid.Bool().Draw(t, "held"),
				Cleared: rapid.IntRange(0, 3).Draw(t, "cleared"), ClearedAgoMs: rapid.IntRange(0, 1<<40).Draw(t, "ago"),
				Ends: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) message.SuspectEnd {
					return message.SuspectEnd{
						Target: rapid.String().Draw(t, "target"), AgoMs: rapid.IntRange(0, 1<<40).Draw(t, "ago"),
						TookMs: rapid.IntRange(0, 1<<20).Draw(t, "took"), Silent: rapid.Bool().Draw(t, "silent"),
					}
				}), 1, 3).Draw(t, "ends"),
			}
		}), 1, 3).Draw(t, "suspects")
		for _, compact := range []bool{true, false} {
			body, kind, err := gossipBody(want, compact)
			if err != nil {
				t.Fatal(err)
			}
			got, err := readGossipBody(bytes.NewReader(body), kind)
			if diff := cmp.Diff(want, got); err != nil || diff != "" {
				t.Fatal(err, diff)
			}
		}
	})
}

// TestCompactGossipOfOthers holds that no bytes make the reader fail other than by its
// error, and that fields of a later version are passed over.
func TestCompactGossipOfOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body, _, _ := gossipBody(usualGossip(), true)
		at := rapid.IntRange(0, len(body)-1).Draw(t, "at")
		body[at] = rapid.Byte().Draw(t, "byte")
		_, _ = readGossip(body[:rapid.IntRange(0, len(body)).Draw(t, "length")])
	})
	convey.Convey("A field that this version does not know is passed over", t, func() {
		body, _, err := gossipBody(usualGossip(), true)
		convey.So(err, convey.ShouldBeNil)
		got, err := readGossip(append(body, 9<<3, 1, 10<<3|2, 1, 0))
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldResemble, usualGossip())
	})
	convey.Convey("A member without an address is refused", t, func() {
		_, err := readGossip([]byte{1<<3 | 2, 0})
		convey.So(err, convey.ShouldEqual, errCompactGossip)
	})
}

// TestCompactGossipIsSmall holds what the form is for: a quarter of the bytes.
func TestCompactGossipIsSmall(t *testing.T) {
	convey.Convey("An exchange of a large fleet has less than a quarter of JSON's bytes", t, func() {
		compact, _, err := gossipBody(usualGossip(), true)
		convey.So(err, convey.ShouldBeNil)
		text, _, err := gossipBody(usualGossip(), false)
		convey.So(err, convey.ShouldBeNil)
		convey.So(4*len(compact), convey.ShouldBeLessThan, len(text))
	})
}

// TestGossipOfMixedVersions holds what a member answers to nodes of this version and of
// an earlier one, which neither sends nor accepts the compact form.
func TestGossipOfMixedVersions(t *testing.T) {
	answer := func(accept string) (kind string, g message.Gossip) {
		m := newMembers(time.Now, "10.0.0.1:80", 1, nil, 0)
		views := newViewKeeper(time.Now, zerolog.Nop(), func(*view.View) {})
		s := &peerServer{now: time.Now, gossip: &gossip{
			now: time.Now, members: m, views: views, health: newSourceHealth(), quarantine: newQuarantine(), triggered: make(chan struct{}, 1),
		}}
		body, err := json.Marshal(usualGossip())
		convey.So(err, convey.ShouldBeNil)
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(string(body)))
		if accept != "" {
			r.Header.Set("Accept", accept)
		}
		w := httptest.NewRecorder()
		s.serveGossip(w, r)
		convey.So(w.Code, convey.ShouldEqual, http.StatusOK)
		kind = w.Header().Get("Content-Type")
		g, err = readGossipBody(w.Body, kind)
		convey.So(err, convey.ShouldBeNil)
		convey.So(m.readsCompact("10.1.0.0:8628"), convey.ShouldBeTrue)
		return kind, g
	}
	convey.Convey("JSON is answered in JSON", t, func() {
		kind, g := answer("")
		convey.So(kind, convey.ShouldEqual, jsonType)
		convey.So(len(g.Members), convey.ShouldBeGreaterThan, 1)
	})
	convey.Convey("JSON of a node that reads the compact form is answered in it", t, func() {
		kind, g := answer(compactType)
		convey.So(kind, convey.ShouldEqual, compactType)
		convey.So(len(g.Members), convey.ShouldBeGreaterThan, 1)
	})
}

// BenchmarkGossipCodec writes and reads an exchange of a large fleet in each form.
func BenchmarkGossipCodec(b *testing.B) {
	for _, compact := range []bool{true, false} {
		body, kind, err := gossipBody(usualGossip(), compact)
		if err != nil {
			b.Fatal(err)
		}
		b.Run("write "+kind, func(b *testing.B) {
			g := usualGossip()
			for b.Loop() {
				_, _, _ = gossipBody(g, compact)
			}
			b.ReportMetric(float64(len(body)), "bytes")
		})
		b.Run("read "+kind, func(b *testing.B) {
			for b.Loop() {
				_, _ = readGossipBody(bytes.NewReader(body), kind)
			}
		})
	}
}
