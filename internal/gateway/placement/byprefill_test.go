package placement_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
)

// TestPlaceTable goes through what keeps a session at the engine that has its
// shared part cached, and what moves it to another. A prompt of 12,000 tokens takes
// 240 ms at first, 140 ms when 5,000 are cached.
func TestPlaceTable(t *testing.T) {
	// place has the session's shared part cached at the first engine, then other
	// prompts of its session pending there, and places a prompt.
	place := func(pendingTokens int, list []directory.Target, q placement.Prompt) (first, got placement.Placement) {
		p := placement.NewEngineChooser()
		first, _ = p.Place(now, engines(2), prompt("before", 7))
		p.RecordPrefill(now, "before", false)
		if pendingTokens > 0 {
			others := []string{"t0", "t1"}
			for _, id := range others {
				if id != first.ID {
					p.Place(now, engines(2), placement.Prompt{Request: "pending", Tokens: pendingTokens, Exclude: []string{id}})
				}
			}
		}
		got, _ = p.Place(now, list, q)
		return first, got
	}
	stays := func(first, got placement.Placement) { convey.So(got.ID, convey.ShouldEqual, first.ID) }
	moves := func(first, got placement.Placement) { convey.So(got.ID, convey.ShouldNotEqual, first.ID) }
	bytes := func(total int64) placement.Prompt {
		q := prompt("q", 7)
		first, _ := place(0, engines(2), q)
		for _, e := range engines(2) {
			if e.ID != first.ID {
				q.InputBytes = map[string]int64{e.DataCentre: total}
			}
		}
		return q
	}
	due := func(slack time.Duration) placement.Prompt {
		q := prompt("q", 7)
		q.Slack = slack
		return q
	}
	lapsing := engines(2)
	for i := range lapsing {
		if first, _ := place(0, lapsing, prompt("q", 7)); lapsing[i].ID == first.ID {
			lapsing[i].State, lapsing[i].StateUntil = directory.Lapsed, now.Add(time.Minute)
			break
		}
	}
	cases := []struct {
		why     string
		pending int
		list    []directory.Target
		q       placement.Prompt
		assert  func(first, got placement.Placement)
	}{
		{"stays when nothing is pending", 0, engines(2), prompt("q", 7), stays},
		{"stays behind 20,000 tokens when still in time", 20_000, engines(2), prompt("q", 7), stays},
		{"moves when it would be late behind them", 20_000, engines(2), due(500 * time.Millisecond), moves},
		{"stays when it would be late at both", 0, engines(2), due(100 * time.Millisecond), stays},
		{"stays for 7 MB of results elsewhere", 0, engines(2), bytes(7e6), stays},
		{"moves for 9 MB of results elsewhere", 0, engines(2), bytes(9e6), moves},
		{"moves when its engine may be gone", 0, lapsing, prompt("q", 7), moves},
	}
	convey.Convey("A session", t, func() {
		for _, c := range cases {
			convey.Convey(c.why, func() { c.assert(place(c.pending, c.list, c.q)) })
		}
	})
}

// TestPrefillRate shows which prompts the prefill rate is learnt from: after slow
// ones a session that was in time behind 20,000 tokens is late and moves.
func TestPrefillRate(t *testing.T) {
	moved := func(tokens int, alone, whole bool) bool {
		p := placement.NewEngineChooser()
		for range 20 {
			if !alone {
				p.Place(now, engines(1), placement.Prompt{Request: "beside", Tokens: 1})
			}
			p.Place(now, engines(1), placement.Prompt{Request: "slow", Tokens: tokens})
			p.RecordPrefill(now.Add(4*time.Second), "slow", whole)
		}
		p.RecordPrefill(now, "beside", false)
		first, _ := p.Place(now, engines(2), prompt("before", 7))
		p.RecordPrefill(now, "before", false)
		other := "t0"
		if first.ID == "t0" {
			other = "t1"
		}
		p.Place(now, engines(2), placement.Prompt{Request: "pending", Tokens: 20_000, Exclude: []string{other}})
		got, _ := p.Place(now, engines(2), prompt("q", 7))
		return got.ID != first.ID
	}
	convey.Convey("The prefill rate is learnt", t, func() {
		convey.Convey("from whole prompts of 1,000 tokens and more", func() {
			convey.So(moved(12_000, true, true), convey.ShouldBeTrue)
		})
		convey.Convey("not from shorter ones", func() { convey.So(moved(999, true, true), convey.ShouldBeFalse) })
		convey.Convey("not from ones that were broken off", func() { convey.So(moved(12_000, true, false), convey.ShouldBeFalse) })
		convey.Convey("not from ones behind another prompt", func() { convey.So(moved(12_000, false, true), convey.ShouldBeFalse) })
	})
}

// TestPendingFor shows how long a prompt counts of which nothing is reported.
func TestPendingFor(t *testing.T) {
	stays := func(after time.Duration) bool {
		p := placement.NewEngineChooser()
		first, _ := p.Place(now, engines(2), prompt("a", 7))
		q := prompt("b", 7)
		q.Slack = 300 * time.Millisecond
		got, _ := p.Place(now.Add(after), engines(2), q)
		return got.ID == first.ID
	}
	convey.Convey("A prompt of which nothing is reported counts as pending for 5 s", t, func() {
		convey.So(stays(5*time.Second), convey.ShouldBeFalse)
		convey.So(stays(5*time.Second+time.Millisecond), convey.ShouldBeTrue)
	})
}

// TestSameOrder shows that both rules choose one engine when nothing else counts.
func TestSameOrder(t *testing.T) {
	convey.Convey("A new session goes to the engine that a node would choose on its own", t, func() {
		for key := range uint64(50) {
			got, _ := placement.NewEngineChooser().Place(now, engines(9), prompt("a", key+1))
			convey.So(got.ID, convey.ShouldEqual, chosen(placement.NewTargetTable(), placement.Query{Key: key + 1}))
		}
	})
}

// TestCachedFor shows when a shared part counts as cached no longer.
func TestCachedFor(t *testing.T) {
	place := func(after time.Duration, prune bool) (first, got placement.Placement) {
		p := placement.NewEngineChooser()
		key := uint64(7)
		first, _ = p.Place(now, engines(2), prompt("a", key))
		other := engines(2)
		if first.ID == "t0" {
			other = other[1:]
		} else {
			other = other[:1]
		}
		p.RecordPrefill(now, "a", false)
		// The session moved to the other engine at the same time.
		p.Place(now, other, prompt("b", key))
		p.RecordPrefill(now, "b", false)
		if prune {
			p.Prune(now, directory.New(other...))
		}
		got, _ = p.Place(now.Add(after), engines(2), prompt("c", key))
		return first, got
	}
	convey.Convey("A shared part counts as cached for 30 s, unless its engine has left", t, func() {
		first, got := place(30*time.Second, false)
		convey.So(got.ID, convey.ShouldEqual, first.ID)
		first, got = place(30*time.Second, true)
		convey.So(got.ID, convey.ShouldNotEqual, first.ID)
		first, got = place(30*time.Second+time.Millisecond, true)
		convey.So(got.ID, convey.ShouldEqual, first.ID)
	})
}
