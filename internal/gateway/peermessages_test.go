package gateway

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// TestMessageRoundTrip encodes each kind of message at a node and decodes it at one whose
// clock is an hour ahead.
func TestMessageRoundTrip(t *testing.T) {
	sent := time.Now()
	received := sent.Add(time.Hour)
	convey.Convey("The times of a group are sent as remaining time", t, func() {
		g := relay.Group{
			Request: "r", Stage: 2, Count: 3, Source: "s", Inputs: []string{"i"}, ReadTime: time.Second, Bytes: 4,
			Due: sent.Add(time.Second), Deadline: sent.Add(-time.Second), Priority: 5, DataCentre: "d",
			WithdrawableUntil: sent.Add(time.Minute),
		}
		got := decodeGroup(received, encodeGroup(sent, "service", g))
		g.Due, g.Deadline, g.WithdrawableUntil = received.Add(time.Second), received.Add(-time.Second), received.Add(time.Minute)
		convey.So(got, convey.ShouldResemble, g)
	})
	convey.Convey("A group that may not be withdrawn stays so", t, func() {
		convey.So(decodeGroup(received, encodeGroup(sent, "service", relay.Group{})).WithdrawableUntil.IsZero(), convey.ShouldBeTrue)
		expired := relay.Group{WithdrawableUntil: sent.Add(-time.Second)}
		convey.So(decodeGroup(received, encodeGroup(sent, "service", expired)).WithdrawableUntil.IsZero(), convey.ShouldBeTrue)
	})
	convey.Convey("So are those of plans, and their quotes are durations", t, func() {
		plans := []requestPlan{
			{PlanRequest: relay.PlanRequest{
				Request: "r", Organisation: "o", Digest: 7,
				Stages: []relay.PlannedStage{{Service: "s", Stage: 1, Items: 2, Due: sent.Add(time.Minute), Priority: 3, Bytes: 5}},
			}},
			{
				PlanRequest: relay.PlanRequest{Request: "gone", Stages: []relay.PlannedStage{{Service: "s", Stage: 3, Items: 4, Due: sent.Add(time.Second)}}},
				cancelled:   true, reserve: &relay.Reservation{After: time.Second, Keep: time.Minute},
			},
		}
		got := decodePlans(received, encodePlans(sent, plans))
		plans[0].Stages[0].Due, plans[1].Stages[0].Due = received.Add(time.Minute), received.Add(time.Second)
		convey.So(got, convey.ShouldResemble, plans)
		answers := [][]relay.Quote{
			{{Backlog: 250 * time.Millisecond, ReturnAfter: time.Second, OverShare: true}, {}},
			{{Backlog: time.Second}},
			{{Reserved: true}},
		}
		convey.So(decodeQuotes(encodeQuotes(answers)), convey.ShouldResemble, answers)
	})
	convey.Convey("Quotes without more than a backlog are encoded as by an earlier version", t, func() {
		convey.So(encodeQuotes([][]relay.Quote{quotes(time.Second)}).Quotes, convey.ShouldBeNil)
	})
	convey.Convey("Results and refusals keep their content", t, func() {
		results := []batching.Result{{Handle: "h", Target: "t", DataCentre: "d"}}
		convey.So(decodeResults(encodeAnswer(results, nil).Results), convey.ShouldResemble, results)
		refusal := verdict.New(verdict.NotRun, verdict.ReasonOverload, "why").WithRetryAfter(time.Second)
		got := decodeRefusal(encodeAnswer(nil, refusal))
		convey.So(got.Reason(), convey.ShouldEqual, verdict.ReasonOverload)
		convey.So(got.Text(), convey.ShouldEqual, "why")
		convey.So(got.RetryAfter(), convey.ShouldEqual, time.Second)
	})
	convey.Convey("A prompt keeps all 64 bits of its keys", t, func() {
		q := placement.Prompt{
			Request: "r", Shared: []placement.SharedPart{{Key: 1<<63 + 1, Tokens: 2}, {Key: 5, Tokens: 1}}, Tokens: 3, Slack: time.Second, Exclude: []string{"e"},
			InputBytes: map[string]int64{"d": 4},
		}
		got, err := decodePrompt(encodePrompt("s", q))
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldResemble, q)
		convey.Convey("and a malformed key is an error", func() {
			_, err := decodePrompt(message.PromptPlace{Key: "not a number"})
			convey.So(err, convey.ShouldNotBeNil)
		})
	})
	convey.Convey("A prompt from a member that sends no parts has one part", t, func() {
		got, err := decodePrompt(message.PromptPlace{Key: "a", SharedTokens: 7})
		convey.So(err, convey.ShouldBeNil)
		convey.So(got.Shared, convey.ShouldResemble, []placement.SharedPart{{Key: 10, Tokens: 7}})
	})
	convey.Convey("A target keeps its state and the time until it expires", t, func() {
		target := directory.Target{ID: "t", Service: "s", Address: "a", DataCentre: "d", Slots: 1}
		convey.So(decodeTarget(received, encodeTarget(sent, target)), convey.ShouldResemble, target)
		target.State = directory.Draining
		convey.So(decodeTarget(received, encodeTarget(sent, target)), convey.ShouldResemble, target)
		target.State, target.StateUntil = directory.Lapsed, sent.Add(time.Second)
		got := decodeTarget(received, encodeTarget(sent, target))
		convey.So(got.State, convey.ShouldEqual, directory.Lapsed)
		convey.So(got.StateUntil, convey.ShouldEqual, received.Add(time.Second))
		convey.Convey("and is still lapsed when that time has passed", func() {
			got := decodeTarget(received, encodeTarget(sent.Add(time.Minute), target))
			convey.So(got.State, convey.ShouldEqual, directory.Lapsed)
		})
	})
	convey.Convey("A delta and a snapshot can be told apart", t, func() {
		d := view.Delta{Since: 3, Revision: 5, Targets: []directory.Target{{ID: "t"}}, Removed: []string{"gone"}}
		m := encodeDelta(sent, d, nil)
		convey.So(isDelta(m), convey.ShouldBeTrue)
		convey.So(decodeDelta(received, "", m, nil), convey.ShouldResemble, d)
		whole := encodeSnapshot(sent, view.New())
		convey.So(isDelta(whole), convey.ShouldBeFalse)
		convey.Convey("and a configuration that is not base64 is an error", func() {
			_, err := decodeDocument(message.ViewSnapshot{Document: "!"})
			convey.So(err, convey.ShouldNotBeNil)
		})
	})
}

// TestDeltaMessages guards against deltas that lose content between members, with and without
// a new configuration.
func TestDeltaMessages(t *testing.T) {
	now := time.Now()
	d := view.Delta{Since: 3, Revision: 5, Targets: []directory.Target{{ID: "t", Service: "s"}}, Removed: []string{"g"}}
	convey.Convey("A delta keeps its content", t, func() {
		convey.Convey("without a configuration", func() {
			m := encodeDelta(now, d, nil)
			convey.So(isDelta(m), convey.ShouldBeTrue)
			convey.So(m.Document, convey.ShouldBeEmpty)
			convey.So(decodeDelta(now, "", m, nil), convey.ShouldResemble, d)
		})
		convey.Convey("with a configuration, which is in force once the delta is applied", func() {
			c := catalogChange(2)
			m := encodeDelta(now, d, c.Document)
			document, err := decodeDocument(m)
			convey.So(err, convey.ShouldBeNil)
			convey.So(document, convey.ShouldResemble, c.Document)
			behind := view.New().WithChanges(now, view.Changes{Revision: 3, List: []view.Change{catalogChange(1)}}, time.Time{})
			caughtUp := behind.WithDelta(now, decodeDelta(now, "", m, &c))
			convey.So(caughtUp.CatalogVersion(), convey.ShouldEqual, 2)
			convey.So(caughtUp.Revision, convey.ShouldEqual, 5)
			convey.So(caughtUp.Document, convey.ShouldResemble, c.Document)
		})
	})
}

// TestEntriesFromMembers guards against a node that learned of targets from a member and assigns streams
// to others than the member, or than a node that read the targets' latest entries.
func TestEntriesFromMembers(t *testing.T) {
	now := time.Now()
	v1 := directory.VersionOf("v1")
	ready := directory.Target{ID: "t", Service: "s", Version: v1}
	draining := directory.Target{ID: "t", Service: "s", Version: v1, State: directory.Draining}
	cases := []struct {
		why           string
		first, latest directory.Target
	}{
		{"takes a drain back", draining, ready},
		{"drains", ready, draining},
		{"has no version any more", ready, directory.Target{ID: "t", Service: "s"}},
		{"has neither", draining, directory.Target{ID: "t", Service: "s"}},
		{"has another version", ready, directory.Target{ID: "t", Service: "s", Version: directory.VersionOf("v2")}},
	}
	listing := func(revision view.Revision, e directory.Target) view.Changes {
		return view.Changes{Revision: revision, List: []view.Change{view.TargetChange{Target: e}}}
	}
	target := func(v *view.View) directory.Target {
		got, _ := v.Directory.Target("t")
		return got
	}
	convey.Convey("Given a member that keeps what it knew of a target whose entry", t, func() {
		for _, c := range cases {
			convey.Convey(c.why, func() {
				before := view.New().WithSnapshot(now, listing(1, c.first), time.Time{})
				member := before.WithChanges(now, listing(2, c.latest), time.Time{})
				shouldAgree := func(got *view.View) {
					read := target(view.New().WithSnapshot(now, listing(2, c.latest), time.Time{}))
					convey.So(target(got).EntryReady(), convey.ShouldEqual, read.EntryReady())
					convey.So(target(got).EntryVersion(), convey.ShouldEqual, read.EntryVersion())
					convey.So(target(got), convey.ShouldResemble, target(member))
				}
				convey.Convey("the node that is sent its targets agrees with both", func() {
					m := encodeTargets(now, member.Directory)[0]
					shouldAgree(view.New().WithSnapshot(now, listing(2, decodeTarget(now, m)), time.Time{}))
				})
				convey.Convey("and so does one that is sent what changed", func() {
					d, known := member.DeltaSince(1)
					convey.So(known, convey.ShouldBeTrue)
					shouldAgree(before.WithDelta(now, decodeDelta(now, "", encodeDelta(now, d, nil), nil)))
				})
			})
		}
	})
}
