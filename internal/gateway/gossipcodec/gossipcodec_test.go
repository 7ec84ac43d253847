package gossipcodec

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/message"
)

// typicalGossip returns a message in a large fleet, about the sender and 40 other members.
func typicalGossip() message.Gossip {
	var g message.Gossip
	for i := range 41 {
		g.Members = append(g.Members, message.GossipMember{
			Address: fmt.Sprintf("10.%d.0.%d:8628", i%4+1, i), Incarnation: 1772576385055123456 + i, Beat: 300 + i,
			Serving: true, Hears: i%3 == 0, Version: 12, Revision: 2540, Capacity: 192, Compact: true,
		})
	}
	return g
}

// TestCompactGossipRoundTrip checks that members survive a round trip in the compact format.
func TestCompactGossipRoundTrip(t *testing.T) {
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
				Hears: rapid.Bool().Draw(t, "hears"), Compact: rapid.Bool().Draw(t, "compact"), Epochs: rapid.Bool().Draw(t, "epochs"),
				Counts: rapid.Bool().Draw(t, "counts"), Assigns: rapid.Bool().Draw(t, "assigns"), Retries: number.Draw(t, "retries"), Firsts: number.Draw(t, "firsts"), Service: number.Draw(t, "service"), ViewAgeMs: number.Draw(t, "viewAge"),
				Busy: rapid.Bool().Draw(t, "busy"),
			})
		}
		body, mediaType, err := Encode(g, true)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(bytes.NewReader(body), mediaType)
		if err != nil || fmt.Sprint(got) != fmt.Sprint(g) {
			t.Fatalf("%v decodes as %v: %v", g, got, err)
		}
	})
}

// shouldRoundTrip checks that a message survives a round trip in both formats.
func shouldRoundTrip(t *rapid.T, want message.Gossip) {
	for _, compact := range []bool{true, false} {
		body, mediaType, err := Encode(want, compact)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(bytes.NewReader(body), mediaType)
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Fatal(err, diff)
		}
	}
}

// TestCompactSuspects checks that suspected requests and parts of prompts survive a round trip in
// both formats.
func TestCompactSuspects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := typicalGossip()
		want.HeldSum = rapid.SampledFrom([]string{"", "9f86d081884c7d65"}).Draw(t, "sum")
		want.PartsSum = rapid.SampledFrom([]string{"", "7d65"}).Draw(t, "partsSum")
		suspects := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) message.SuspectRequest {
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
		}), 1, 3)
		want.Suspects, want.Parts = suspects.Draw(t, "suspects"), suspects.Draw(t, "parts")
		shouldRoundTrip(t, want)
	})
}

// TestCompactGossipMalformed checks that corrupted or truncated input does not cause a panic,
// and that fields of later versions are skipped.
func TestCompactGossipMalformed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body, _, _ := Encode(typicalGossip(), true)
		at := rapid.IntRange(0, len(body)-1).Draw(t, "at")
		body[at] = rapid.Byte().Draw(t, "byte")
		_, _ = unmarshalCompact(body[:rapid.IntRange(0, len(body)).Draw(t, "length")])
	})
	convey.Convey("An unknown field is skipped", t, func() {
		body, _, err := Encode(typicalGossip(), true)
		convey.So(err, convey.ShouldBeNil)
		got, err := unmarshalCompact(append(body, 9<<3, 1, 10<<3|2, 1, 0))
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldResemble, typicalGossip())
	})
	convey.Convey("A member without an address is an error", t, func() {
		_, err := unmarshalCompact([]byte{1<<3 | 2, 0})
		convey.So(err, convey.ShouldEqual, errMalformed)
	})
}

// TestCompactGossipSize checks the purpose of the compact format: less than a quarter of the
// size of JSON.
func TestCompactGossipSize(t *testing.T) {
	convey.Convey("A message in a large fleet takes less than a quarter of the bytes of JSON", t, func() {
		compact, _, err := Encode(typicalGossip(), true)
		convey.So(err, convey.ShouldBeNil)
		text, _, err := Encode(typicalGossip(), false)
		convey.So(err, convey.ShouldBeNil)
		convey.So(4*len(compact), convey.ShouldBeLessThan, len(text))
	})
}

// BenchmarkGossip encodes and decodes a message in a large fleet in each format.
func BenchmarkGossip(b *testing.B) {
	for _, compact := range []bool{true, false} {
		body, mediaType, err := Encode(typicalGossip(), compact)
		if err != nil {
			b.Fatal(err)
		}
		b.Run("write "+mediaType, func(b *testing.B) {
			g := typicalGossip()
			for b.Loop() {
				_, _, _ = Encode(g, compact)
			}
			b.ReportMetric(float64(len(body)), "bytes")
		})
		b.Run("read "+mediaType, func(b *testing.B) {
			for b.Loop() {
				_, _ = Decode(bytes.NewReader(body), mediaType)
			}
		})
	}
}

// TestCompactLimits checks that the limits of targets survive a round trip in both formats.
func TestCompactLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := typicalGossip()
		want.Limits = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) message.TargetLimit {
			return message.TargetLimit{
				Target: rapid.String().Draw(t, "target"), PerSecond: rapid.Float64Range(0, 1e9).Draw(t, "rate"),
				Ended: rapid.Bool().Draw(t, "ended"), AgoMs: rapid.IntRange(0, 1<<40).Draw(t, "ago"),
			}
		}), 1, 3).Draw(t, "limits")
		shouldRoundTrip(t, want)
	})
}

// TestEarlierRoundTrip checks that what is told of earlier processes survives a round trip.
func TestEarlierRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.IntRange(0, 1<<31)
		shouldRoundTrip(t, message.Gossip{Members: []message.GossipMember{}, Earlier: &message.EarlierProcess{
			Retries: number.Draw(t, "retries"), Firsts: number.Draw(t, "firsts"), Service: number.Draw(t, "service"), Members: number.Draw(t, "members"),
		}})
	})
}
