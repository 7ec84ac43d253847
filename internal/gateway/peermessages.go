package gateway

import (
	"encoding/base64"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/quarantine"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// The functions in this file encode and decode the messages between members. Messages carry
// times as milliseconds relative to their sending, since the members' clocks may differ.

// Parameters of a request for a member's view.
const (
	// paramSince is the revision after which changes are requested.
	paramSince = "since"
	// paramVersion is the version of the catalog that the requesting node knows.
	paramVersion = "version"
	// paramCatalog is set if the requesting node accepts a new catalog in a delta. Otherwise
	// it gets a snapshot.
	paramCatalog = "catalog"
)

// paramKey is the key of the stream that a member is asked for.
const paramKey = "key"

// millis returns n milliseconds as a duration.
func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// millisUntil returns the number of whole milliseconds from now until t.
func millisUntil(now, t time.Time) int { return int(t.Sub(now).Milliseconds()) }

func encodeGroup(now time.Time, service string, g relay.Group) message.ItemGroup {
	return message.ItemGroup{
		Service: service, Request: g.Request, Stage: g.Stage, Count: g.Count,
		Source: g.Source, Inputs: g.Inputs, ReadMs: int(g.ReadTime.Milliseconds()), Bytes: int(g.Bytes),
		DueMs: millisUntil(now, g.Due), DeadlineMs: millisUntil(now, g.Deadline),
		Priority: g.Priority, DataCentre: g.DataCentre, Digest: g.Digest.String(), WithdrawMs: withdrawMillis(now, g.WithdrawableUntil),
	}
}

// withdrawMillis returns the time for which a group may be withdrawn; 0 for never.
func withdrawMillis(now, until time.Time) int {
	if until.IsZero() {
		return 0
	}
	return max(millisUntil(now, until), 0)
}

// decodeWithdraw returns until when a group may be withdrawn; the zero time for never.
func decodeWithdraw(now time.Time, ms int) time.Time {
	if ms <= 0 {
		return time.Time{}
	}
	return now.Add(millis(ms))
}

func decodeGroup(now time.Time, in message.ItemGroup) relay.Group {
	readTime := millis(in.ReadMs)
	if readTime == 0 {
		// A member of an earlier version does not send the read time.
		readTime = rules.InputsReadTime(rules.Transfer{})
	}
	// A member of an earlier version does not send the digest.
	digest, _ := quarantine.ParseDigest(in.Digest)
	return relay.Group{
		ReadTime: readTime, Digest: digest,
		Request: in.Request, Stage: in.Stage, Count: in.Count, Source: in.Source, Inputs: in.Inputs, Bytes: int64(in.Bytes),
		Due: now.Add(millis(in.DueMs)), Deadline: now.Add(millis(in.DeadlineMs)),
		Priority: in.Priority, DataCentre: in.DataCentre, WithdrawableUntil: decodeWithdraw(now, in.WithdrawMs),
	}
}

// encodeAnswer encodes the answer to a group that ended with results or an error.
func encodeAnswer(results []batching.Result, err *verdict.Error) message.ItemResults {
	out := message.ItemResults{Results: encodeResults(results)}
	if err != nil {
		out.Reason, out.Text, out.RetryAfterMs = string(err.Reason()), err.Text(), int(err.RetryAfter().Milliseconds())
	}
	return out
}

// decodeRefusal returns the error in an answer without results.
func decodeRefusal(out message.ItemResults) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Reason(out.Reason), "%s", out.Text).WithRetryAfter(millis(out.RetryAfterMs))
}

func encodeResults(results []batching.Result) []message.ItemResult {
	list := make([]message.ItemResult, len(results))
	for i, r := range results {
		list[i] = message.ItemResult{Handle: r.Handle, Target: r.Target, DataCentre: r.DataCentre}
	}
	return list
}

func decodeResults(list []message.ItemResult) []batching.Result {
	results := make([]batching.Result, len(list))
	for i, r := range list {
		results[i] = batching.Result{Handle: r.Handle, Target: r.Target, DataCentre: r.DataCentre}
	}
	return results
}

// encodePlans encodes plans, of which there must be at least one. A member of an earlier
// version decodes only the first.
func encodePlans(now time.Time, plans []requestPlan) message.ItemPlan {
	var out message.ItemPlan
	for i, p := range plans {
		encoded := encodePlan(now, p)
		if i > 0 {
			out.More = append(out.More, encoded)
			continue
		}
		out = message.ItemPlan{
			Request: encoded.Request, Cancelled: encoded.Cancelled, Organisation: encoded.Organisation, Digest: encoded.Digest,
			Reserve: encoded.Reserve, Stages: encoded.Stages,
		}
	}
	return out
}

func encodePlan(now time.Time, p requestPlan) message.RequestPlan {
	out := message.RequestPlan{Request: p.Request, Cancelled: p.cancelled, Organisation: p.Organisation, Stages: encodeStages(now, p.Stages)}
	if p.Digest != 0 {
		out.Digest = p.Digest.String()
	}
	if p.reserve != nil {
		after := p.reserve.After
		if !p.refusedAt.IsZero() {
			after = max(after-now.Sub(p.refusedAt), 0)
		}
		out.Reserve = &message.PlanReservation{AfterMs: int(after.Milliseconds()), KeepMs: int(p.reserve.Keep.Milliseconds())}
	}
	return out
}

func decodePlans(now time.Time, in message.ItemPlan) []requestPlan {
	first := message.RequestPlan{
		Request: in.Request, Cancelled: in.Cancelled, Organisation: in.Organisation, Digest: in.Digest, Reserve: in.Reserve, Stages: in.Stages,
	}
	plans := []requestPlan{decodePlan(now, first)}
	for _, p := range in.More {
		plans = append(plans, decodePlan(now, p))
	}
	return plans
}

func decodePlan(now time.Time, in message.RequestPlan) requestPlan {
	// A member of an earlier version does not send the digest.
	digest, _ := quarantine.ParseDigest(in.Digest)
	p := requestPlan{
		PlanRequest: relay.PlanRequest{Request: in.Request, Organisation: in.Organisation, Digest: digest, Stages: decodeStages(now, in.Stages)},
		cancelled:   in.Cancelled,
	}
	if in.Reserve != nil {
		p.reserve = &relay.Reservation{After: millis(in.Reserve.AfterMs), Keep: millis(in.Reserve.KeepMs)}
	}
	return p
}

func encodeStages(now time.Time, stages []relay.PlannedStage) []message.PlannedStage {
	list := make([]message.PlannedStage, len(stages))
	for i, s := range stages {
		list[i] = message.PlannedStage{
			Service: s.Service, Stage: s.Stage, Items: s.Items, DueMs: millisUntil(now, s.Due), Priority: s.Priority, Bytes: int(s.Bytes),
		}
	}
	return list
}

func decodeStages(now time.Time, list []message.PlannedStage) []relay.PlannedStage {
	stages := make([]relay.PlannedStage, len(list))
	for i, s := range list {
		stages[i] = relay.PlannedStage{
			Service: s.Service, Stage: s.Stage, Items: s.Items, Due: now.Add(millis(s.DueMs)), Priority: s.Priority, Bytes: int64(s.Bytes),
		}
	}
	return stages
}

// encodeQuotes encodes the answers to plans, of which there must be at least one.
func encodeQuotes(answers [][]relay.Quote) message.ItemBacklogs {
	first := encodeRequestQuotes(answers[0])
	out := message.ItemBacklogs{BacklogMs: first.BacklogMs, Quotes: first.Quotes}
	for _, quotes := range answers[1:] {
		out.More = append(out.More, encodeRequestQuotes(quotes))
	}
	return out
}

// encodeRequestQuotes encodes the answer to one plan. A member of an earlier version decodes
// the backlogs alone.
func encodeRequestQuotes(quotes []relay.Quote) message.RequestBacklogs {
	out := message.RequestBacklogs{BacklogMs: make([]int, len(quotes))}
	list := make([]message.StageQuote, len(quotes))
	told := false
	for i, q := range quotes {
		out.BacklogMs[i] = int(q.Backlog.Milliseconds())
		list[i] = message.StageQuote{ReturnMs: int(q.ReturnAfter.Milliseconds()), Held: q.Held, Reserved: q.Reserved, OverShare: q.OverShare, ArrivalsMs: int(q.Arrivals.Milliseconds())}
		told = told || list[i] != message.StageQuote{}
	}
	if told {
		out.Quotes = list
	}
	return out
}

// decodeQuotes returns the answers to plans. A member of an earlier version answers one, and
// only with backlogs.
func decodeQuotes(in message.ItemBacklogs) [][]relay.Quote {
	answers := [][]relay.Quote{decodeRequestQuotes(message.RequestBacklogs{BacklogMs: in.BacklogMs, Quotes: in.Quotes})}
	for _, more := range in.More {
		answers = append(answers, decodeRequestQuotes(more))
	}
	return answers
}

func decodeRequestQuotes(in message.RequestBacklogs) []relay.Quote {
	quotes := make([]relay.Quote, len(in.BacklogMs))
	for i, ms := range in.BacklogMs {
		quotes[i].Backlog = millis(ms)
		if i < len(in.Quotes) {
			q := in.Quotes[i]
			quotes[i].ReturnAfter, quotes[i].Held = millis(q.ReturnMs), q.Held
			quotes[i].Reserved, quotes[i].OverShare = q.Reserved, q.OverShare
			quotes[i].Arrivals = millis(q.ArrivalsMs)
		}
	}
	return quotes
}

func encodePrompt(service string, q placement.Prompt) message.PromptPlace {
	m := message.PromptPlace{
		Service: service, Request: q.Request, Key: formatKey(0), Tokens: q.Tokens,
		SlackMs: int(q.Slack.Milliseconds()), Exclude: q.Exclude, Version: q.Version.String(), Suspect: q.Suspect,
	}
	for _, part := range q.Shared {
		m.Key = formatKey(part.Key)
		m.SharedTokens += part.Tokens
		m.Shared = append(m.Shared, message.PromptPart{Key: m.Key, Tokens: part.Tokens})
	}
	for dc, bytes := range q.InputBytes {
		m.Pull = append(m.Pull, message.ResultBytes{DataCentre: dc, Bytes: int(bytes)})
	}
	return m
}

func decodePrompt(in message.PromptPlace) (placement.Prompt, error) {
	q := placement.Prompt{
		Request: in.Request, Tokens: in.Tokens, Slack: millis(in.SlackMs), Exclude: in.Exclude, Version: directory.VersionOf(in.Version), Suspect: in.Suspect,
		InputBytes: make(map[string]int64, len(in.Pull)),
	}
	parts := in.Shared
	if len(parts) == 0 {
		// A member of an earlier version sends only the last part and the total length.
		parts = []message.PromptPart{{Key: in.Key, Tokens: in.SharedTokens}}
	}
	for _, part := range parts {
		key, err := strconv.ParseUint(part.Key, keyBase, keyBits)
		if err != nil {
			return placement.Prompt{}, errors.New("the key does not read")
		}
		if key != 0 {
			q.Shared = append(q.Shared, placement.SharedPart{Key: key, Tokens: part.Tokens})
		}
	}
	for _, b := range in.Pull {
		q.InputBytes[b.DataCentre] = int64(b.Bytes)
	}
	return q, nil
}

// formatKey returns the hash of a prompt part as members exchange it.
func formatKey(key uint64) string { return strconv.FormatUint(key, keyBase) }

// Format of the hashes of prompt parts.
const (
	// keyBase is hexadecimal, which is shorter than decimal.
	keyBase = 16
	// keyBits is the size of a hash in bits (xxhash).
	keyBits = 64
)

// encodeSnapshot encodes a whole view.
func encodeSnapshot(now time.Time, v *view.View) message.ViewSnapshot {
	return message.ViewSnapshot{
		Revision: int(v.Revision), Document: base64.StdEncoding.EncodeToString(v.Document), Targets: encodeTargets(now, v.Directory),
		Evacuations: encodeEvacuations(now, v.Evacuations.All()),
	}
}

// encodeDelta encodes a delta. document is the text of a new configuration; nil if there is
// none.
func encodeDelta(now time.Time, d view.Delta, document []byte) message.ViewSnapshot {
	m := message.ViewSnapshot{
		Since: int(d.Since), Revision: int(d.Revision), Targets: []message.ViewTarget{}, Gone: d.Removed,
		Document: base64.StdEncoding.EncodeToString(document), Evacuations: encodeEvacuations(now, d.Evacuations),
	}
	for _, t := range d.Targets {
		m.Targets = append(m.Targets, encodeTarget(now, t))
	}
	return m
}

// isDelta reports whether a member sent a delta instead of a snapshot.
func isDelta(s message.ViewSnapshot) bool { return s.Since > 0 }

// decodeDelta decodes a member's delta. catalog is the catalog that came with it; nil if
// there is none.
func decodeDelta(now time.Time, sender string, s message.ViewSnapshot, catalog *view.CatalogChange) view.Delta {
	d := view.Delta{
		Since: view.Revision(s.Since), Revision: view.Revision(s.Revision), Removed: s.Gone, Catalog: catalog,
		Evacuations: decodeEvacuations(now, sender, s.Evacuations),
	}
	for _, t := range s.Targets {
		d.Targets = append(d.Targets, decodeTarget(now, t))
	}
	return d
}

// encodeEvacuations encodes the evacuations that are sent to members. The list is never nil:
// a member that sends none counts as of an earlier version, which does not know of
// evacuations.
func encodeEvacuations(now time.Time, list []view.Evacuation) []message.ViewEvacuation {
	out := make([]message.ViewEvacuation, len(list))
	for i, e := range list {
		out[i] = message.ViewEvacuation{DataCentre: e.DataCentre, Active: e.Active, Revision: int(e.Revision), OrderedAt: int(e.OrderedAt)}
		if !e.HoldsUntil.IsZero() {
			out[i].DisputedAt, out[i].HoldsMs = int(e.DisputedAt), max(millisUntil(now, e.HoldsUntil), 1)
		}
	}
	return out
}

// decodeEvacuations decodes the evacuations that a member sent.
func decodeEvacuations(now time.Time, sender string, list []message.ViewEvacuation) []view.Evacuation {
	var out []view.Evacuation
	for _, m := range list {
		e := view.Evacuation{
			DataCentre: m.DataCentre, Active: m.Active, Revision: view.Revision(m.Revision), OrderedAt: view.Revision(m.OrderedAt), From: sender,
		}
		if m.HoldsMs > 0 {
			e.DisputedAt, e.HoldsUntil = view.Revision(m.DisputedAt), now.Add(millis(m.HoldsMs))
		}
		out = append(out, e)
	}
	return out
}

// decodeDocument returns the text of the configuration that a member sent.
func decodeDocument(s message.ViewSnapshot) ([]byte, error) {
	document, err := base64.StdEncoding.DecodeString(s.Document)
	return document, errors.Wrap(err, "decode the configuration")
}

// encodeTargets encodes the targets, sorted by ID.
func encodeTargets(now time.Time, d *directory.Directory) []message.ViewTarget {
	list := make([]message.ViewTarget, 0, len(d.All()))
	for _, id := range slices.Sorted(maps.Keys(d.All())) {
		list = append(list, encodeTarget(now, d.All()[id]))
	}
	return list
}

// encodeTarget encodes a target. The remaining time of a state is at least 1 ms, also when it
// has passed, since 0 means that the target is not in that state.
func encodeTarget(now time.Time, t directory.Target) message.ViewTarget {
	m := message.ViewTarget{
		Id: t.ID, Service: t.Service, Address: t.Address, DataCentre: t.DataCentre, Slots: int(t.Slots), Born: int(t.StartMs),
		Version: t.Version.String(), Draining: t.State == directory.Draining,
		DrainTakenBack: t.DrainTakenBack(), VersionLost: t.VersionLost(),
	}
	switch t.State {
	case directory.Lapsed:
		m.LapsesMs = max(millisUntil(now, t.StateUntil), 1)
	case directory.Returned:
		m.ReturnsMs = max(millisUntil(now, t.StateUntil), 1)
	case directory.Ready, directory.Draining:
	}
	if t.Cold(now) {
		m.ColdMs = max(millisUntil(now, t.ColdUntil), 1)
	}
	return m
}

// decodeTarget decodes a target that a member sent.
func decodeTarget(now time.Time, t message.ViewTarget) directory.Target {
	target := directory.Target{
		ID: t.Id, Service: t.Service, Address: t.Address, DataCentre: t.DataCentre, Slots: int32(t.Slots), StartMs: int64(t.Born),
		Version: directory.VersionOf(t.Version),
	}
	switch {
	case t.Draining:
		target.State = directory.Draining
	case t.LapsesMs > 0:
		target.State = directory.Lapsed
		target.StateUntil = now.Add(millis(t.LapsesMs))
	case t.ReturnsMs > 0:
		target.State = directory.Returned
		target.StateUntil = now.Add(millis(t.ReturnsMs))
	}
	if t.ColdMs > 0 {
		target.ColdUntil = now.Add(millis(t.ColdMs))
	}
	return target.WithEntry(t.DrainTakenBack, t.VersionLost)
}
