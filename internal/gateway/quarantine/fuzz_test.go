package quarantine

import (
	"encoding/json"
	"testing"

	"github.com/honeydyke/honeydyke/internal/message"
)

// FuzzMerge checks that a tracker's limits hold for any reports of a member, and that the
// result can be reported again.
func FuzzMerge(f *testing.F) {
	f.Add([]byte(`[{"digest":"1","held":true,"cleared":1,"clearedAgoMs":5,"ends":[{"target":"a","agoMs":-5,"tookMs":9223372036854775807}]}]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var list []message.SuspectRequest
		if json.Unmarshal(text, &list) != nil {
			return
		}
		tr := newTestTracker()
		tr.Merge("m", list)
		if tr.table.Len() > maxEntries {
			t.Errorf("%d entries", tr.table.Len())
		}
		for _, e := range tr.table.AllHeld() {
			if len(e.Crashes) > maxCrashes {
				t.Errorf("%d crashes", len(e.Crashes))
			}
			tr.Admit(e.Digest)
		}
		recent, sum := tr.Recent()
		other := newTestTracker()
		other.Merge("m", recent)
		other.NeedsSync(sum)
	})
}
