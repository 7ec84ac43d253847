package quarantine

import (
	"encoding/json"
	"testing"

	"github.com/honeydyke/honeydyke/internal/message"
)

// FuzzMerge holds that whatever a member reports, a keeper bounds what it remembers and can
// report it again.
func FuzzMerge(f *testing.F) {
	f.Add([]byte(`[{"digest":"1","held":true,"cleared":1,"clearedAgoMs":5,"ends":[{"target":"a","agoMs":-5,"tookMs":9223372036854775807}]}]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var list []message.SuspectRequest
		if json.Unmarshal(text, &list) != nil {
			return
		}
		k := newTestKeeper()
		k.Merge("m", list)
		if k.table.Len() > maxEntries {
			t.Errorf("%d entries", k.table.Len())
		}
		for _, e := range k.table.AllHeld() {
			if len(e.Crashes) > maxCrashes {
				t.Errorf("%d ends", len(e.Crashes))
			}
			k.Admit(e.Digest)
		}
		recent, sum := k.Recent()
		other := newTestKeeper()
		other.Merge("m", recent)
		other.NeedsSync(sum)
	})
}
