package rules

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// The old code, as it stood in relay, with its state as arguments.

const (
	oReturningShare   = 0.97
	oPriorityMargin   = 150 * time.Millisecond
	oPlanShare        = 0.85
	oMinBacklog       = 150 * time.Millisecond
	oReturnShare      = 0.5
	oReturnPause      = 250 * time.Millisecond
	oComeBackShare    = 0.28
	oMaxComeBack      = 4 * time.Second
	oAnswerMargin     = 25 * time.Millisecond
	oDefaultPatience  = 30 * time.Second
	oEngineLead       = 150 * time.Millisecond
	oPriorityLevels   = 10
	oRoutePriorities  = 3
	oMaxRefusals      = 2
	oMaxUnsent        = 2
	oPlainPatience    = 2.5
	oStreamPatience   = 1200 * time.Millisecond
	oBatchShare       = 0.6
	oMaxRemakes       = 2
	oNearMatters      = 100_000
	oFirstTokenTime   = 40 * time.Millisecond
	oFirstReadingPace = 20 * time.Microsecond
	oMinReadTokens    = 2000
	oReadingWeight    = 0.05
	oMaxReadingPace   = 10 * oFirstReadingPace
)

// oldAdmit returns 0 to admit, 1 to refuse and 2 to wait.
func oldAdmit(arrived, until, objective, now time.Time, routeObjective time.Duration, priority int, returning bool, lasts, alone time.Duration) int {
	giveUpAt := arrived.Add(time.Duration(oReturnShare * float64(until.Sub(arrived))))
	margin := time.Duration(priority) * oPriorityMargin
	left := objective.Sub(now)
	if returning {
		left = routeObjective
	}
	spare := time.Duration(oPlanShare*float64(left)) - alone - oEngineLead - margin
	if lasts-alone <= max(spare, oMinBacklog) {
		return 0
	}
	if !returning || now.Add(oReturnPause).After(giveUpAt) {
		return 1
	}
	return 2
}

func duration(t *rapid.T, name string, low, high time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(int64(low), int64(high)).Draw(t, name))
}

func around(t *rapid.T, name string, edge time.Duration) time.Duration {
	if rapid.Bool().Draw(t, name+"Near") {
		return edge + duration(t, name+"By", -2, 2)
	}
	return duration(t, name, -time.Second, 20*time.Second)
}

func TestEquivalentAdmit(t *testing.T) {
	counts := map[int]int{}
	rapid.Check(t, func(t *rapid.T) {
		arrived := time.Unix(1_764_000_000, rapid.Int64Range(0, 1e9).Draw(t, "arrived"))
		answer := duration(t, "answer", -time.Second, 60*time.Second)
		routeObjective := duration(t, "objective", 0, 10*time.Second)
		elapsed := duration(t, "elapsed", 0, 20*time.Second)
		if rapid.Bool().Draw(t, "nearHalf") {
			elapsed = answer/2 - oReturnPause + duration(t, "by", -2, 2)
		}
		until, objective, now := arrived.Add(answer), arrived.Add(routeObjective), arrived.Add(elapsed)
		priority := rapid.IntRange(-1, 5).Draw(t, "priority")
		retried := rapid.Bool().Draw(t, "retried")
		alone := duration(t, "alone", 0, 5*time.Second)
		window := objective.Sub(now)
		if retried {
			window = routeObjective
		}
		edge := max(time.Duration(oPlanShare*float64(window))-alone-oEngineLead-time.Duration(priority)*oPriorityMargin, oMinBacklog)
		lasts := alone + around(t, "wait", edge)
		want := oldAdmit(arrived, until, objective, now, routeObjective, priority, retried, lasts, alone)
		got := -1
		switch Admit(Admission{Estimated: lasts, Alone: alone, Left: objective.Sub(now), Objective: routeObjective, Elapsed: now.Sub(arrived), AnswerTime: until.Sub(arrived), Priority: priority, Retried: retried}).(type) {
		case Admitted:
			got = 0
		case Refused:
			got = 1
		case PlanAgain:
			got = 2
		}
		counts[got]++
		if got != want {
			t.Fatalf("got %d, want %d", got, want)
		}
	})
	t.Logf("admitted, refused, again: %v", counts)
}

func TestEquivalentRetried(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usual := duration(t, "usual", 0, 60*time.Second)
		timeout := duration(t, "timeout", -time.Second, 60*time.Second)
		if rapid.Bool().Draw(t, "near") {
			timeout = time.Duration(oReturningShare*float64(usual)) + duration(t, "by", -2, 2)
		}
		old := timeout > 0 && float64(timeout) < oReturningShare*float64(usual)
		if Retried(timeout, usual) != old {
			t.Fatal("differ")
		}
	})
}

// oldComeBack is the old one with the mend of 2011a30 and the random number drawn
// from jitter.
func oldComeBack(left time.Duration, jitter float64) time.Duration {
	left = max(left, 0)
	after := min(time.Duration(oComeBackShare*float64(left)), oMaxComeBack)
	return max(after*3/4+time.Duration(jitter*float64(after/4+1)), 50*time.Millisecond)
}

func TestEquivalentRetryAfter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		left := duration(t, "left", -time.Second, 60*time.Second)
		jitter := rapid.Float64Range(0, 0.999999999999).Draw(t, "jitter")
		got := RetryAfter(left, jitter)
		if got != oldComeBack(left, jitter) {
			t.Fatal("differ")
		}
		after := min(time.Duration(oComeBackShare*float64(max(left, 0))), oMaxComeBack)
		if got < max(after*3/4, 50*time.Millisecond) || got > max(after*3/4+after/4, 50*time.Millisecond) {
			t.Fatalf("%v is out of the range of the old draw", got)
		}
	})
}

func TestEquivalentTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		arrived := time.Unix(1_764_000_000, rapid.Int64Range(0, 1e9).Draw(t, "arrived"))
		client := duration(t, "client", -time.Second, 60*time.Second)
		route := rapid.SampledFrom([]time.Duration{0, -1, duration(t, "route", 0, 60*time.Second)}).Draw(t, "which")
		obj := duration(t, "objective", 0, 10*time.Second)
		prefill := duration(t, "prefill", 0, 2*time.Second)
		after := duration(t, "after", 0, 3*time.Second)
		patience := client
		if patience <= 0 {
			patience = oDefaultPatience
		}
		if route > 0 {
			patience = min(patience, route)
		}
		until := arrived.Add(patience - min(oAnswerMargin, patience/10))
		objective := arrived.Add(obj)
		lead := max(oEngineLead, prefill)
		got := NewTimes(TimesInput{Arrived: arrived, ClientTimeout: client, RouteTimeout: route, Objective: obj, Prefill: prefill})
		stage := got.Stage(after)
		if got.Answer != until || got.Objective != objective || got.Lead != lead ||
			stage.Due != objective.Add(-lead-after) || stage.Deadline != until.Add(-oEngineLead-after) {
			t.Fatal("differ")
		}
	})
}

func TestEquivalentPriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := rapid.IntRange(-3, 12).Draw(t, "route")
		has, org := rapid.Bool().Draw(t, "has"), rapid.IntRange(-3, 12).Draw(t, "org")
		p := min(route, oRoutePriorities-1)
		if has {
			p += org * oRoutePriorities
		} else {
			org = 0
		}
		if EnginePriority(org, route) != min(max(p, 0), oPriorityLevels-1) {
			t.Fatal("differ")
		}
	})
}

func TestEquivalentTimeout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt{
			Stream: rapid.Bool().Draw(t, "stream"), Retryable: rapid.Bool().Draw(t, "retryable"),
			Sends: rapid.IntRange(0, 4).Draw(t, "sends"), MaxAttempts: rapid.IntRange(0, 4).Draw(t, "max"),
			Objective: duration(t, "objective", 0, 10*time.Second), PauseLimit: duration(t, "pause", 0, 2*time.Second),
		}
		limited, limit := false, time.Duration(0)
		if !(!a.Retryable || a.Sends+1 >= a.MaxAttempts) {
			limited, limit = true, time.Duration(oPlainPatience*float64(a.Objective))
			if a.Stream {
				limit = max(oStreamPatience, 3*a.PauseLimit)
			}
		}
		got, ok := AttemptTimeout(a).(Timeout)
		if ok != limited || got.Limit != limit {
			t.Fatal("differ")
		}
	})
}

func TestEquivalentAfterFailure(t *testing.T) {
	counts := map[string]int{}
	reasons := []verdict.Reason{
		verdict.ReasonConnection, verdict.ReasonBadRequest, verdict.ReasonDeadline, verdict.ReasonInputGone, verdict.ReasonRefused,
		verdict.ReasonDial, verdict.ReasonCut, verdict.ReasonStalled, verdict.ReasonTargetError, verdict.ReasonCancelled, verdict.ReasonLeaving,
	}
	rapid.Check(t, func(t *rapid.T) {
		f := Failure{
			Verdict: rapid.SampledFrom([]verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran}).Draw(t, "verdict"),
			Reason:  rapid.SampledFrom(reasons).Draw(t, "reason"),
			Ended:   rapid.Bool().Draw(t, "ended"), Resends: rapid.IntRange(0, 3).Draw(t, "resends"),
			Refusals: rapid.IntRange(0, 3).Draw(t, "refusals"), Sends: rapid.IntRange(0, 3).Draw(t, "sends"),
			Retryable: rapid.Bool().Draw(t, "retryable"), MaxAttempts: rapid.IntRange(0, 4).Draw(t, "max"),
		}
		want := oldAfterFailure(f)
		var got string
		switch d := AfterFailure(f).(type) {
		case Resend:
			got = "resend"
		case OtherTarget:
			got = "other"
		case Recompute:
			got = "recompute"
		case GiveUp:
			got = "end"
			if d.Reason == RefusalsSpent {
				got = "end unlogged"
			}
		}
		counts[got]++
		if got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
	t.Log(counts)
}

// oldAfterFailure is one round of the old deliver loop.
func oldAfterFailure(f Failure) string {
	neverSent := f.Verdict == verdict.NotRun && f.Reason == verdict.ReasonConnection
	if neverSent && f.Resends < oMaxUnsent && !f.Ended {
		return "resend"
	}
	sends, refusals := f.Sends, f.Refusals
	if f.Verdict != verdict.NotRun {
		sends++
	} else if refusals++; refusals > oMaxRefusals {
		return "end unlogged"
	}
	mayRetry := f.Retryable && sends < f.MaxAttempts
	if f.Verdict == verdict.NotRun {
		mayRetry = f.Reason != verdict.ReasonBadRequest && f.Reason != verdict.ReasonDeadline
	}
	if f.Ended || !mayRetry {
		return "end"
	}
	if f.Reason == verdict.ReasonInputGone {
		return "recompute"
	}
	return "other"
}

func TestEquivalentAfterAnswer(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		a := Answer{
			Status: rapid.IntRange(498, 502).Draw(t, "status"), Succeeded: rapid.IntRange(0, 4).Draw(t, "succeeded") == 0,
			Begun: rapid.Bool().Draw(t, "begun"), Retryable: rapid.IntRange(0, 3).Draw(t, "retryable") > 0,
			Sends: rapid.IntRange(0, 2).Draw(t, "sends"), MaxAttempts: rapid.IntRange(1, 4).Draw(t, "max"),
			Budget: rapid.SampledFrom([]float64{0, 0.99, 1, 1.01, 5}).Draw(t, "budget"), Objective: duration(t, "objective", 0, 4*time.Second),
		}
		a.Left = around(t, "left", a.Objective/2)
		worth := !(a.Status < 500 || !a.Retryable || a.Sends+1 >= a.MaxAttempts) && a.Budget >= 1 && a.Left > a.Objective/2
		want := "break"
		if !a.Succeeded && worth {
			want = "another"
		} else if !a.Begun {
			want = "pass"
		}
		got := ""
		switch AfterAnswer(a).(type) {
		case PassOn:
			got = "pass"
		case TryAnother:
			got = "another"
		case BreakOff:
			got = "break"
		}
		counts[got]++
		if got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
	t.Log(counts)
}

func TestEquivalentEventPassed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SampledFrom([]string{"", "x", "-1", "0", "1", "2", "3", "10", "99999999999999999999", "1.5"})
		id, last := ids.Draw(t, "id"), ids.Draw(t, "last")
		old := false
		if n, err := strconv.ParseInt(id, 10, 64); err == nil {
			m, err := strconv.ParseInt(last, 10, 64)
			old = err == nil && n <= m
		}
		if EventPassed(id, last) != old {
			t.Fatal("differ")
		}
	})
}

type oldPace struct{ perToken float64 }

func (p *oldPace) time(tokens int) time.Duration {
	return oFirstTokenTime + time.Duration(p.perToken*float64(tokens))
}

func (p *oldPace) learn(tokens int, took time.Duration) {
	if tokens < oMinReadTokens {
		return
	}
	pace := float64(max(took-oFirstTokenTime, 0)) / float64(tokens)
	p.perToken += oReadingWeight * (min(pace, float64(oMaxReadingPace)) - p.perToken)
}

func TestEquivalentPrefill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, rate := &oldPace{perToken: float64(oFirstReadingPace)}, NewPrefillRate()
		for range rapid.IntRange(0, 8).Draw(t, "prompts") {
			tokens, took := rapid.IntRange(0, 40_000).Draw(t, "tokens"), duration(t, "took", -time.Second, 20*time.Second)
			old.learn(tokens, took)
			rate = rate.WithPrompt(tokens, took)
			if n := rapid.IntRange(0, 40_000).Draw(t, "asked"); old.time(n) != rate.Time(n) {
				t.Fatal("differ")
			}
		}
	})
}

// Old stage estimates, over the stages of the new type.

func oldAfter(s Stages, i int) time.Duration {
	var longest time.Duration
	for k := i + 1; k < len(s); k++ {
		for _, a := range s[k].After {
			if a == i && s[k].Items > 0 {
				longest = max(longest, s[k].Time+oldAfter(s, k))
			}
		}
	}
	return longest
}

func oldLasts(all Stages, planned []int, backlogs []time.Duration) time.Duration {
	ends := make([]time.Duration, len(all))
	var longest time.Duration
	for k, s := range planned {
		var begins time.Duration
		for _, a := range all[s].After {
			begins = max(begins, ends[a])
		}
		ends[s] = max(begins, backlogs[k]) + all[s].Time
		longest = max(longest, ends[s])
	}
	return longest
}

func TestEquivalentEstimates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stages := make(Stages, rapid.IntRange(0, 5).Draw(t, "stages"))
		var planned []int
		var backlogs []time.Duration
		for i := range stages {
			for a := range i {
				if rapid.Bool().Draw(t, "after") {
					stages[i].After = append(stages[i].After, a)
				}
			}
			stages[i].Items = rapid.IntRange(0, 3).Draw(t, "items")
			empty, per, most := duration(t, "empty", 0, time.Second), duration(t, "per", 0, 50*time.Millisecond), rapid.IntRange(1, 32).Draw(t, "most")
			stages[i].Time = BatchTime(empty, per, most)
			if stages[i].Time != empty+time.Duration(oBatchShare*float64(most)*float64(per)) {
				t.Fatal("batch times differ")
			}
			if stages[i].Items > 0 {
				planned = append(planned, i)
				backlogs = append(backlogs, duration(t, "backlog", 0, 5*time.Second))
			}
		}
		if stages.Total(backlogs) != oldLasts(stages, planned, backlogs) || stages.Total(nil) != oldLasts(stages, planned, make([]time.Duration, len(planned))) {
			t.Fatal("totals differ")
		}
		for i := range stages {
			if stages.Following(i) != oldAfter(stages, i) {
				t.Fatal("following times differ")
			}
		}
	})
}

func TestEquivalentResults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, held := rapid.IntRange(-2, 4).Draw(t, "n"), rapid.Bool().Draw(t, "held")
		bytes := rapid.Int64Range(oNearMatters-3, oNearMatters+3).Draw(t, "bytes")
		if ReleaseResults(n) != (n <= 0) || MayRecompute(n) != !(n > oMaxRemakes) || WorthNearness(bytes) != !(bytes < oNearMatters) {
			t.Fatal("differ")
		}
		if items := max(n, 0); NeedsInput(items, held) != !(items == 0 || held) {
			t.Fatal("differ")
		}
		sizes := map[string]int64{}
		for i := range rapid.IntRange(0, 4).Draw(t, "centres") {
			sizes[strconv.Itoa(i)] = rapid.Int64Range(oNearMatters-50, oNearMatters+1000).Draw(t, "size")*10 + int64(i)
		}
		best, most := "", int64(oNearMatters)
		for dc, b := range sizes {
			if b >= most {
				best, most = dc, b
			}
		}
		if NearestDataCentre(sizes) != best {
			t.Fatal("differ")
		}
	})
}
