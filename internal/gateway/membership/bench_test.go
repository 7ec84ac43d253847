package membership_test

import (
	"encoding/json"
	"testing"

	"github.com/honeydyke/honeydyke/internal/message"
)

// BenchmarkExchange measures one member's part of a gossip exchange in a fleet of 300:
// encoding its message, and decoding and merging the response.
func BenchmarkExchange(b *testing.B) {
	f := startedFleet(300, 18)
	one, two := f.nodes[50], f.nodes[60]
	b.Run("write", func(b *testing.B) {
		for b.Loop() {
			if _, err := json.Marshal(one.Gossip(f.now)); err != nil {
				b.Fatal(err)
			}
		}
	})
	answer, err := json.Marshal(two.Gossip(f.now))
	if err != nil {
		b.Fatal(err)
	}
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			var in message.Gossip
			if err := json.Unmarshal(answer, &in); err != nil {
				b.Fatal(err)
			}
			one.Merge(f.now, in)
		}
	})
	b.Run("eligible", func(b *testing.B) {
		for b.Loop() {
			one.Merge(f.now, message.Gossip{})
			one.Eligible(f.now)
		}
	})
	b.ReportMetric(float64(len(answer)), "bytes")
}
