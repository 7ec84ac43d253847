package quarantine

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
)

// toMessages converts entries to messages. Times are converted to ages, since the clocks of
// members may differ.
func toMessages(now time.Time, entries []Entry) []message.SuspectRequest {
	list := make([]message.SuspectRequest, len(entries))
	for i, e := range entries {
		list[i] = message.SuspectRequest{Digest: e.Digest.String(), Cleared: e.Cleared, Held: e.Held}
		if !e.ClearedAt.IsZero() {
			list[i].ClearedAgoMs = millisSince(now, e.ClearedAt)
		}
		for _, c := range e.Crashes {
			list[i].Ends = append(list[i].Ends, message.SuspectEnd{
				Target: c.Target, AgoMs: millisSince(now, c.BrokenAt), TookMs: millisSince(c.BrokenAt, c.SentAt), Silent: c.Silent,
			})
		}
	}
	return list
}

// fromMessages converts messages to entries. It skips invalid ones: a member of another
// version may use a different format, and losing one entry is acceptable.
func fromMessages(now time.Time, list []message.SuspectRequest) []Entry {
	var entries []Entry
	for _, m := range list {
		digest, ok := ParseDigest(m.Digest)
		if !ok || m.Cleared < 0 {
			continue
		}
		e := Entry{Digest: digest, Cleared: m.Cleared, Held: m.Held}
		if m.Cleared > 0 {
			e.ClearedAt = timeAgo(now, m.ClearedAgoMs)
		}
		for _, end := range m.Ends {
			at := timeAgo(now, end.AgoMs)
			e = e.withCrash(Crash{Target: end.Target, SentAt: timeAgo(at, end.TookMs), BrokenAt: at, Silent: end.Silent})
		}
		entries = append(entries, e)
	}
	return entries
}

// millisSince returns the time from t to now in milliseconds.
func millisSince(now, t time.Time) int { return int(now.Sub(t).Milliseconds()) }

// timeAgo returns the time that is ms milliseconds before now, or now if ms is negative.
func timeAgo(now time.Time, ms int) time.Time {
	return now.Add(-time.Duration(max(ms, 0)) * time.Millisecond)
}
