package gateway

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/delivery"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// fullLogRate is how many requests per second have all their decisions logged: about four
	// lines each, 60 KB per second. Above that rate a sample is logged, chosen by the
	// request's ID so that the lines of one request stay together on all nodes. Failures are
	// always logged.
	fullLogRate = 50.0
	// sampleWindow is the window in which requests are counted to set the sample ratio of the
	// next window.
	sampleWindow = time.Second
	// sampleBuckets is the resolution of the sample ratio.
	sampleBuckets = 1000
)

// requestLog implements relay.Observer. It logs and counts the outcomes of requests and
// decides which of them are logged in full.
type requestLog struct {
	now     func() time.Time
	log     zerolog.Logger
	metrics *metrics

	mu sync.Mutex
	// windowStart is when the current window started, count the number of its requests so
	// far.
	windowStart time.Time
	count       int
	// sampleRatio is the fraction of requests that is logged in full, from the last window.
	sampleRatio float64
}

// sampled counts a request and reports whether it is logged in full. It is called for each
// completed stage and at the end, so a request with stages counts more than once.
func (l *requestLog) sampled(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.now(); now.Sub(l.windowStart) >= sampleWindow {
		l.sampleRatio = min(1, fullLogRate/float64(max(l.count, 1)))
		l.windowStart, l.count = now, 0
	}
	l.count++
	return float64(xxhash.Sum64String(id)%sampleBuckets) < sampleBuckets*l.sampleRatio
}

// Decided implements relay.Observer.
func (l *requestLog) Decided(request string, d relay.Decision) {
	switch d := d.(type) {
	case relay.Refused:
		logRefused(l.log.Info().Str("request", request), d)
	case relay.StageDone:
		if l.sampled(request) {
			l.log.Info().Str("request", request).Int("stage", d.Stage).Str("service", d.Service).Int("items", d.Items).
				Dur("took", d.Took).Strs("targets", d.Targets).Msg("request: stage made")
		}
	case relay.StageFailed:
		withError(l.log.Warn(), d.Err).Str("request", request).Int("stage", d.Stage).Str("service", d.Service).Int("items", d.Items).
			Dur("took", d.Took).Msg("request: stage failed")
	case relay.AttemptFailed:
		l.metrics.recordFailedCall(d.Attempt.Err)
		withError(l.log.Warn(), d.Attempt.Err).Str("request", request).Str("target", d.Attempt.Target).Int("status", d.Attempt.Status).
			Dur("took", d.Attempt.Took).Int("events", d.Events).Str("lastEvent", d.LastEvent).Dur("left", d.Left).Bool("again", d.WillRetry).
			Str("next", describeNext(d.Next)).Msg("request: attempt failed")
	case relay.RetryRefused:
		a := d.Allowance
		l.log.Info().Str("request", request).Int("attempts", d.Attempts).Int("firsts", a.FirstAttempts).Int("retries", a.Retries).
			Float64("share", a.Share).Bool("earlierKnown", a.Known).Msg("request: retry refused by the budget")
	case relay.TargetEnded:
		l.metrics.recordTargetEnd()
		l.log.Warn().Str("request", request).Str("target", d.Target).Str("digest", d.Digest.String()).Strs("parts", partNames(d.Parts)).Int("events", d.Events).
			Dur("took", d.Took).Msg("request: target process ended while it ran the request")
	}
}

// maxLoggedParts bounds the parts of a prompt in a line.
const maxLoggedParts = 16

// partNames returns the IDs of the first parts of a prompt.
func partNames(parts []relay.PromptPart) []string {
	names := make([]string, min(len(parts), maxLoggedParts))
	for i := range names {
		names[i] = parts[i].ID
	}
	return names
}

// logRefused logs the planned stages and what admission compared: the wait for other
// requests' work, its bound, and the terms of the bound.
func logRefused(ev *zerolog.Event, d relay.Refused) {
	ev.Dur("lasts", d.Estimated).Dur("left", d.Left)
	for i, s := range d.Stages {
		behind := s.Service + " " + strconv.Itoa(s.Items) + " items behind " + d.Backlogs[i].Round(time.Millisecond).String()
		if i < len(d.Arrivals) && d.Arrivals[i] >= time.Millisecond {
			behind += ", " + d.Arrivals[i].Round(time.Millisecond).String() + " of it expected arrivals"
		}
		ev.Str("stage"+strconv.Itoa(s.Stage), behind)
	}
	if d.AfterAdmission > 0 {
		ev.Dur("afterAdmissionMs", d.AfterAdmission)
	}
	c := d.Comparison
	ev.Dur("waitMs", c.Wait).Dur("boundMs", c.Bound).Dur("windowMs", c.Window).Float64("planShare", c.PlanShare).
		Dur("aloneMs", c.Alone).Dur("leadMs", c.Lead).Dur("priorityMarginMs", c.PriorityMargin).Dur("minWaitMs", c.MinWait).
		Bool("retried", d.Retried)
	if d.Reserved {
		ev.Bool("reserved", true)
	}
	if d.ReturnAfter > 0 {
		ev.Dur("returnAfter", d.ReturnAfter)
	}
	if d.OverShare {
		ev.Bool("overShare", true)
	}
	ev.Msg("request: refused, the stages would take too long")
}

// describeNext describes what follows a failed attempt.
func describeNext(next rules.NextAttempt) string {
	switch next := next.(type) {
	case rules.Resend:
		return "same target"
	case rules.OtherTarget:
		return "other target"
	case rules.Recompute:
		return "recompute inputs"
	case rules.GiveUp:
		return "given up, " + string(next.Reason)
	}
	return ""
}

func withError(ev *zerolog.Event, err *verdict.Error) *zerolog.Event {
	if err == nil {
		return ev
	}
	return withEvidence(ev.Str("verdict", err.Verdict().String()).Str("reason", string(err.Reason())).Str("error", err.Error()), err)
}

// withEvidence adds the answer that a failure was concluded from, its connection, and what that
// had brought before.
func withEvidence(ev *zerolog.Event, err *verdict.Error) *zerolog.Event {
	e := delivery.EvidenceOf(err)
	if e == nil {
		return ev
	}
	ev.Str("answer", e.Answer.String()).Str("connection", fmt.Sprintf("%d from %s to %s", e.Connection, e.Local, e.Remote))
	if len(e.Earlier) > 0 {
		ev.Strs("before", earlierAnswers(e))
	}
	return ev
}

func earlierAnswers(e *delivery.Evidence) []string {
	texts := make([]string, len(e.Earlier))
	for i, r := range e.Earlier {
		texts[i] = r.String()
	}
	return texts
}

// Ended implements relay.Observer. Requests that succeed at the first attempt are sampled, all
// others are always logged, and so are those that resume a stream.
func (l *requestLog) Ended(o *relay.Outcome) {
	l.metrics.recordRequest(o)
	if o.Err == nil && len(o.Attempts) <= 1 && o.Request.LastEvent == "" && !l.sampled(o.Request.ID) {
		return
	}
	l.logRequest(o)
}

// logRequest logs the outcome of a request in one line.
func (l *requestLog) logRequest(o *relay.Outcome) {
	ev := l.log.Info()
	if o.Err != nil && o.Err.Reason() != verdict.ReasonCancelled {
		ev = l.log.Warn()
	}
	ev.Str("request", o.Request.ID).Int64("version", o.Version).Int64("revision", o.Revision)
	if o.Route != nil {
		ev.Str("route", o.Route.Name).Str("service", o.Service).Dur("objective", o.Route.ObjectiveOrTimeout())
	}
	if o.Organisation != "" {
		ev.Str("organisation", o.Organisation)
	}
	if o.Request.Tokens > 0 {
		ev.Int("tokens", o.Request.Tokens)
	}
	if o.Planned > 0 {
		ev.Dur("planned", o.Planned)
	}
	if o.StagesTook > 0 {
		ev.Dur("stages", o.StagesTook)
	}
	ev.Dur("first", o.FirstByte).Dur("took", o.Took).Int("status", o.Status).Int("events", o.Events)
	if o.Request.LastEvent != "" {
		ev.Str("resumes", o.Request.Resumes).Str("after", o.Request.LastEvent).Str("software", o.Software).Bool("inferred", o.Inferred).Dur("waits", o.Request.Timeout)
	}
	if o.Recomputed > 0 {
		ev.Int("remade", o.Recomputed)
	}
	ev.Str("attempts", formatAttempts(o.Attempts))
	if w := o.Withdrawn; w != nil {
		ev.Str("withdrawnBy", w.Service).Dur("waitedMs", w.Waited).Int("latePriority", w.Priority).Dur("projectedMs", w.End).Dur("dueMs", w.Due)
	}
	if o.OverShare {
		ev.Bool("overShare", true)
	}
	if o.Err != nil {
		if o.Digest != 0 {
			ev.Str("digest", o.Digest.String())
		}
		withError(ev, o.Err).Dur("retryAfter", o.Err.RetryAfter())
	}
	ev.Msg("request: ended")
}

// formatAttempts formats the target, the reason if it failed, the status and the milliseconds
// of each attempt.
func formatAttempts(attempts []relay.Attempt) string {
	texts := make([]string, len(attempts))
	for i, a := range attempts {
		reason := ""
		if a.Err != nil {
			reason = string(a.Err.Reason()) + "/"
		}
		texts[i] = fmt.Sprintf("%s:%s%d:%d", a.Target, reason, a.Status, a.Took.Milliseconds())
	}
	return strings.Join(texts, " ")
}
