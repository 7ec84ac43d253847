package gossipcodec

import (
	"bytes"
	"testing"

	"github.com/honeydyke/honeydyke/internal/message"
)

// FuzzDecode checks that malformed input causes an error and never a panic, and that whatever
// decodes can be encoded again.
func FuzzDecode(f *testing.F) {
	g := usualGossip()
	g.HeldSum = "1"
	g.Suspects = []message.SuspectRequest{{Digest: "2", Held: true, Ends: []message.SuspectEnd{{Target: "t", AgoMs: 3, TookMs: 4, Silent: true}}}}
	for _, compact := range []bool{true, false} {
		body, kind, err := Encode(g, compact)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body, kind)
	}
	f.Fuzz(func(t *testing.T, body []byte, kind string) {
		got, err := Decode(bytes.NewReader(body), kind)
		if err != nil {
			return
		}
		if _, _, err := Encode(got, false); err != nil {
			t.Error(err)
		}
	})
}
