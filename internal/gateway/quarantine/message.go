package quarantine

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
)

// messagesOf describes entries to a member. Times are given as how long ago they were,
// since members' clocks may differ.
func messagesOf(now time.Time, entries []Entry) []message.SuspectRequest {
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

// entriesFrom reads what a member described. What does not read is left out: a member of
// another version may write it in another way, and one request less is known.
func entriesFrom(now time.Time, list []message.SuspectRequest) []Entry {
	var entries []Entry
	for _, m := range list {
		digest, reads := ParseDigest(m.Digest)
		if !reads || m.Cleared < 0 {
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

func millisSince(now, t time.Time) int { return int(now.Sub(t).Milliseconds()) }

// timeAgo is a time that lies so far back; one that a member puts ahead is now.
func timeAgo(now time.Time, ms int) time.Time {
	return now.Add(-time.Duration(max(ms, 0)) * time.Millisecond)
}
