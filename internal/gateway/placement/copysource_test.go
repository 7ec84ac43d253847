package placement_test

import (
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
)

// fastCopy is a copy time per token that is short enough for copies, given the initial
// estimate of the prefill time of 20 µs per token.
const fastCopy = 5 * time.Microsecond

// TestCopySource verifies when an engine copies cached parts from another engine. t0 has the
// parts of a session cached, of 3,000 and 2,000 tokens, and is busy, so that a prompt goes to
// t1.
func TestCopySource(t *testing.T) {
	session := []placement.SharedPart{{Key: 1, Tokens: 3000}, {Key: 2, Tokens: 2000}}
	other := placement.SharedPart{Key: 9, Tokens: 2000}
	list := []directory.Target{{ID: "t0", Address: "a0", Slots: 8}, {ID: "t1", Address: "a1", Slots: 8}}
	source := func(copyTime time.Duration, shared []placement.SharedPart, changed directory.State) string {
		p := placement.NewEngineChooser()
		p.SetCopyTime(copyTime)
		p.Place(now, list[:1], placement.Prompt{Request: "before", Shared: session, Tokens: 12_000})
		p.Place(now, list[:1], placement.Prompt{Request: "busy", Tokens: 60_000})
		later := slices.Clone(list)
		later[0].State = changed
		later[0].StateUntil = now.Add(time.Minute)
		placed, ok := p.Place(now, later, placement.Prompt{Request: "q", Shared: shared, Tokens: 12_000, Slack: 500 * time.Millisecond})
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(placed.ID, convey.ShouldEqual, "t1")
		return placed.CopyFrom
	}
	cases := []struct {
		name     string
		copyTime time.Duration
		shared   []placement.SharedPart
		state    directory.State
		from     string
	}{
		{"are copied from the engine that has them cached", fastCopy, session, directory.Ready, "a0"},
		{"are copied if the engine has the first part cached", fastCopy, []placement.SharedPart{session[0], other}, directory.Ready, "a0"},
		{"are not copied if the engine lacks the first part", fastCopy, []placement.SharedPart{other, session[1]}, directory.Ready, ""},
		{"are not copied if they are short", fastCopy, []placement.SharedPart{{Key: 1, Tokens: 49}}, directory.Ready, ""},
		{"are not copied if a copy takes more than half the time of a prefill", 11 * time.Microsecond, session, directory.Ready, ""},
		{"are not copied if the copy time is unknown", 0, session, directory.Ready, ""},
		{"are not copied from a draining engine", fastCopy, session, directory.Draining, ""},
		{"are not copied from an engine that may be gone", fastCopy, session, directory.Lapsed, ""},
	}
	convey.Convey("A prompt's shared parts", t, func() {
		for _, c := range cases {
			convey.Convey(c.name, func() { convey.So(source(c.copyTime, c.shared, c.state), convey.ShouldEqual, c.from) })
		}
	})
	convey.Convey("An engine that the requesting node excludes is not a source", t, func() {
		p := placement.NewEngineChooser()
		p.SetCopyTime(fastCopy)
		p.Place(now, list[:1], placement.Prompt{Request: "before", Shared: session, Tokens: 12_000})
		placed, _ := p.Place(now, list, placement.Prompt{Request: "q", Shared: session, Tokens: 12_000, Exclude: []string{"t0"}})
		convey.So(placed.ID, convey.ShouldEqual, "t1")
		convey.So(placed.CopyFrom, convey.ShouldBeEmpty)
	})
}
