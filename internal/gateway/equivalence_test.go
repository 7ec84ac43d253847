package gateway

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

// The functions of this file named old… are those of fd248fb, kept for the time of
// the change.

type oldHealth struct {
	heard, troubled, behindSince time.Time
	down                         bool
}

func (h *oldHealth) behind(now time.Time, known, relayed bool) bool {
	if !known {
		h.behindSince = time.Time{}
		return false
	}
	if h.behindSince.IsZero() {
		h.behindSince = now
	}
	return relayed || h.down || h.heard.IsZero() || now.Sub(h.behindSince) >= 400*time.Millisecond
}

func (h *oldHealth) hears(now time.Time) bool {
	return !h.down && !h.heard.IsZero() && now.Sub(h.heard) <= 2500*time.Millisecond
}

func (h *oldHealth) age(now time.Time) int {
	if h.heard.IsZero() {
		return -1
	}
	return int(now.Sub(h.heard).Milliseconds())
}

func oldWatchTime(down, reader bool) (wait, slack time.Duration) {
	if down {
		return 100 * time.Millisecond, 600 * time.Millisecond
	}
	if reader {
		return 1200 * time.Millisecond, 400 * time.Millisecond
	}
	return 20 * time.Second, 700 * time.Millisecond
}

func oldRetryBounds(catalog, reader bool) (least, most time.Duration) {
	if catalog && !reader {
		return time.Second, 2 * time.Second
	}
	return 100 * time.Millisecond, 500 * time.Millisecond
}

func oldCapacity(cfg *settings.Gateway) int {
	cores := cfg.Cores
	if cfg.LinkMbps > 0 {
		cores = min(cores, cfg.LinkMbps/250.0)
	}
	return int(1000 * cores)
}

func oldBudget(cfg *settings.Gateway) retrybudget.Policy {
	p := retrybudget.Policy{Ratio: 0.1, Window: 10 * time.Second, Extra: 16, MaxNodes: 16}
	if r := cfg.Retries; r != nil {
		p.Ratio = r.Ratio
		p.Window = time.Duration(r.WindowMs) * time.Millisecond
		p.Extra = r.Extra
		if r.MaxNodes > 0 {
			p.MaxNodes = r.MaxNodes
		}
	}
	return p
}

func oldSharers(age time.Duration, peak int) int {
	if age < 2*time.Second {
		return retrybudget.UnknownNodes
	}
	return int(1.5 * float64(peak))
}

func oldCallerLimit(descriptors int) int {
	if descriptors <= 0 {
		descriptors = 1024
	}
	return int(0.6 * float64(descriptors))
}

func oldGroupMessage(now time.Time, service string, group relay.Group) message.ItemGroup {
	return message.ItemGroup{
		Service: service, Request: group.Request, Stage: group.Stage, Count: group.Count,
		Source: group.Source, Inputs: group.Inputs, Bytes: int(group.Bytes),
		DueMs: int(group.Due.Sub(now).Milliseconds()), DeadlineMs: int(group.Deadline.Sub(now).Milliseconds()),
		Priority: group.Priority, DataCentre: group.DataCentre,
	}
}

func oldGroupOf(now time.Time, in message.ItemGroup) relay.Group {
	return relay.Group{
		Request: in.Request, Stage: in.Stage, Count: in.Count, Source: in.Source, Inputs: in.Inputs, Bytes: int64(in.Bytes),
		Due: now.Add(time.Duration(in.DueMs) * time.Millisecond), Deadline: now.Add(time.Duration(in.DeadlineMs) * time.Millisecond),
		Priority: in.Priority, DataCentre: in.DataCentre,
	}
}

func oldPlanOf(now time.Time, request string, stages []relay.PlannedStage, numbers []int) message.ItemPlan {
	plan := message.ItemPlan{Request: request, Stages: make([]message.PlannedStage, len(numbers))}
	for k, i := range numbers {
		s := stages[i]
		plan.Stages[k] = message.PlannedStage{Service: s.Service, Stage: s.Stage, Items: s.Items, DueMs: int(s.Due.Sub(now).Milliseconds())}
	}
	return plan
}

func oldTargetOf(now time.Time, t message.ViewTarget) directory.Target {
	target := directory.Target{ID: t.Id, Service: t.Service, Address: t.Address, DataCentre: t.DataCentre, Slots: t.Slots}
	switch {
	case t.Draining:
		target.State = directory.Draining
	case t.LapsesMs > 0:
		target.State = directory.Lapsed
		target.LapsesAt = now.Add(time.Duration(t.LapsesMs) * time.Millisecond)
	}
	return target
}

func oldViewTarget(now time.Time, t directory.Target) message.ViewTarget {
	m := message.ViewTarget{
		Id: t.ID, Service: t.Service, Address: t.Address, DataCentre: t.DataCentre, Slots: t.Slots,
		Draining: t.State == directory.Draining,
	}
	if t.State == directory.Lapsed {
		m.LapsesMs = max(int(t.LapsesAt.Sub(now).Milliseconds()), 1)
	}
	return m
}

func oldPromptMessage(service string, q placement.Prompt) message.PromptPlace {
	return message.PromptPlace{
		Service: service, Request: q.Request, Key: strconv.FormatUint(q.Key, 16), SharedTokens: q.SharedTokens, Tokens: q.Tokens,
		SlackMs: int(q.Slack.Milliseconds()), Exclude: q.Exclude,
	}
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func moment(t *rapid.T, name string) time.Time {
	return epoch.Add(time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, name)))
}

func same(t *rapid.T, name string, was, is any) {
	if d := cmp.Diff(was, is); d != "" {
		t.Fatalf("%s (-old +new):\n%s", name, d)
	}
}

func TestRulesAreAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.Bool().Draw(t, "a"), rapid.Bool().Draw(t, "b")
		oldWait, oldSlack := oldWatchTime(a, b)
		wait, slack := watchBounds(a, b)
		same(t, "watch", []time.Duration{oldWait, oldSlack}, []time.Duration{wait, slack})
		oldLeast, oldMost := oldRetryBounds(a, b)
		least, most := retryBounds(a, b)
		same(t, "retry", []time.Duration{oldLeast, oldMost}, []time.Duration{least, most})

		cfg := &settings.Gateway{Cores: rapid.Float64Range(0, 16).Draw(t, "cores"), LinkMbps: rapid.Float64Range(-1, 2000).Draw(t, "link")}
		if a {
			cfg.Retries = &settings.Retries{
				Ratio: rapid.Float64Range(0, 1).Draw(t, "ratio"), WindowMs: rapid.IntRange(1, 100000).Draw(t, "window"),
				Extra: rapid.Float64Range(0, 100).Draw(t, "extra"), MaxNodes: rapid.IntRange(-1, 100).Draw(t, "nodes"),
			}
		}
		same(t, "capacity", oldCapacity(cfg), capacityOf(cfg))
		same(t, "budget", oldBudget(cfg), retryPolicy(cfg, nil))
		age, peak := time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "age")), rapid.IntRange(1, 2000).Draw(t, "peak")
		same(t, "sharers", oldSharers(age, peak), retrySharers(age, peak))
		descriptors := rapid.IntRange(-1, 100000).Draw(t, "descriptors")
		same(t, "callers", oldCallerLimit(descriptors), callerLimit(descriptors))

		begun, now := moment(t, "begun"), moment(t, "now")
		grace := time.Duration(rapid.IntRange(1, 60000).Draw(t, "graceMs")) * time.Millisecond
		steps := planStop(begun, grace)
		same(t, "stop", []time.Time{
			begun.Add(min(3*time.Second, grace/2)), begun.Add(grace - time.Second), begun.Add(grace - 500*time.Millisecond),
		}, []time.Time{steps.closeListener, steps.giveUp, steps.end})
		d := &departure{}
		same(t, "not leaving", false, d.refusesNew(now))
		d.begin(begun)
		same(t, "refusing", now.Sub(begun) >= 2500*time.Millisecond, d.refusesNew(now))
	})
}

func TestSourceHealthIsAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		was, is := &oldHealth{}, &sourceHealth{}
		now := epoch
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "passed")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				regained := was.down
				was.heard, was.down = now, false
				same(t, "regained", regained, is.markReached(now))
			case 1:
				begun := now.Add(-time.Second)
				was.troubled = begun
				lost := !was.down
				was.down = true
				gotLost, reached := is.markFailed(begun)
				same(t, "lost", lost, gotLost)
				same(t, "heard", was.heard, reached)
			default:
				known, relayed := rapid.Bool().Draw(t, "known"), rapid.Bool().Draw(t, "relayed")
				same(t, "behind", was.behind(now, known, relayed), is.isBehind(now, known, relayed))
			}
			same(t, "hears", was.hears(now), is.isReachable(now))
			same(t, "age", was.age(now), is.ageMs(now))
			same(t, "down", was.down, is.isDown())
			same(t, "trouble", was.troubled, is.lastTrouble())
		}
	})
}

func TestMessagesAreAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, text := moment(t, "now"), rapid.StringMatching(`[a-z]{0,3}`)
		g := relay.Group{
			Request: text.Draw(t, "request"), Stage: rapid.IntRange(0, 5).Draw(t, "stage"), Count: rapid.IntRange(0, 9).Draw(t, "count"),
			Source: text.Draw(t, "source"), Inputs: rapid.SliceOf(text).Draw(t, "inputs"), Bytes: rapid.Int64Range(0, 1<<40).Draw(t, "bytes"),
			Due: moment(t, "due"), Deadline: moment(t, "deadline"), Priority: rapid.IntRange(-1, 9).Draw(t, "priority"), DataCentre: text.Draw(t, "dc"),
		}
		m := groupMessage(now, "s", g)
		same(t, "group message", oldGroupMessage(now, "s", g), m)
		same(t, "group", oldGroupOf(now, m), groupOf(now, m))
		stages := make([]relay.PlannedStage, rapid.IntRange(0, 6).Draw(t, "stages"))
		numbers := []int{}
		for i := range stages {
			stages[i] = relay.PlannedStage{Service: text.Draw(t, "service"), Stage: i, Items: rapid.IntRange(0, 9).Draw(t, "items"), Due: moment(t, "due")}
			if rapid.Bool().Draw(t, "this member") {
				numbers = append(numbers, i)
			}
		}
		same(t, "plan", oldPlanOf(now, "r", stages, numbers), planMessage(now, "r", pick(stages, numbers)))
		target := directory.Target{ID: text.Draw(t, "id"), Service: text.Draw(t, "service"), Slots: rapid.IntRange(0, 9).Draw(t, "slots")}
		target.State = rapid.SampledFrom([]directory.State{directory.Lapsed, directory.Draining, target.State}).Draw(t, "state")
		target.LapsesAt = moment(t, "lapses")
		tm := targetMessage(now, target)
		same(t, "target message", oldViewTarget(now, target), tm)
		same(t, "target", oldTargetOf(now, tm), targetOf(now, tm))
		q := placement.Prompt{
			Request: text.Draw(t, "request"), Key: rapid.Uint64().Draw(t, "key"), SharedTokens: rapid.IntRange(0, 9999).Draw(t, "shared"),
			Tokens: rapid.IntRange(0, 9999).Draw(t, "tokens"), Slack: time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(t, "slack")), Exclude: rapid.SliceOf(text).Draw(t, "exclude"),
		}
		same(t, "prompt", oldPromptMessage("s", q), promptMessage("s", q))
	})
}
