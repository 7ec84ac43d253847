package gossipcodec

import (
	"bytes"
	"testing"

	"github.com/honeydyke/honeydyke/internal/message"
)

// FuzzDecode checks that no input causes a panic, and that whatever decodes can be encoded
// again.
func FuzzDecode(f *testing.F) {
	g := typicalGossip()
	g.HeldSum = "1"
	g.Suspects = []message.SuspectRequest{{Digest: "2", Held: true, Ends: []message.SuspectEnd{{Target: "t", AgoMs: 3, TookMs: 4, Silent: true}}}}
	for _, compact := range []bool{true, false} {
		body, mediaType, err := Encode(g, compact)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body, mediaType)
	}
	f.Fuzz(func(t *testing.T, body []byte, mediaType string) {
		got, err := Decode(bytes.NewReader(body), mediaType)
		if err != nil {
			return
		}
		if _, _, err := Encode(got, false); err != nil {
			t.Error(err)
		}
	})
}
