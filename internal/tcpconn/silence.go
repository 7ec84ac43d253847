package tcpconn

import "time"

// Rule: when an open connection counts as silent for good.
//
// What was sent and stays unacknowledged may wait for a full link, a lost packet or an instance that
// stands still; then new connections to the instance do not come up either, or what was sent is
// acknowledged once it is sent again. The system sends again at intervals that double, so that the
// next time comes before twice the time for which data was unacknowledged when a new connection
// came up. If data is still unacknowledged after that, the connection has lost it for good. Until then it is
// doubtful: reason enough to replace connections that nobody uses, but not to break a call.
//
// A false positive breaks calls that would have been answered; a false negative leaves them to
// SilenceLimit.
const (
	// suspectAfter is for how long data may stay unacknowledged before a new connection is tried.
	// The system has sent it again once by then.
	suspectAfter = 300 * time.Millisecond
	// silentAfter is for how long it has to stay so at least: the system has sent it again twice.
	silentAfter = 800 * time.Millisecond
	// resendMargin is how long an acknowledgement takes at most, and timers are late.
	resendMargin = 100 * time.Millisecond
)

// ackWatch observes the acknowledgements of one connection. The zero value observes nothing.
type ackWatch struct {
	// acked is how many bytes were acknowledged when that last rose, which was before since.
	acked int64
	since time.Time
	// upAt is when the first connection was seen to come up after since; zero for none.
	upAt time.Time
}

// ackVerdict is what an observation shows.
type ackVerdict int

const (
	// acknowledged: nothing is in flight.
	acknowledged ackVerdict = iota
	// waiting: it is too early to tell.
	waiting
	// suspected: whether a new connection comes up decides.
	suspected
	// doubtful: a new connection came up, and what was sent may still be acknowledged.
	doubtful
	// silent: the connection has lost what was sent.
	silent
)

// observe returns what is known of the connection, and when to look again unless that is decided.
// acked and inFlight are bytes: those acknowledged in all, and those sent and not acknowledged.
// upAt is when a connection to the same address last came up.
func (w *ackWatch) observe(now time.Time, acked, inFlight int64, upAt time.Time) (ackVerdict, time.Duration) {
	if inFlight <= 0 {
		return acknowledged, 0
	}
	if acked > w.acked {
		*w = ackWatch{acked: acked, since: now}
	}
	if w.upAt.IsZero() && upAt.After(w.since) {
		w.upAt = upAt
	}
	if stuck := now.Sub(w.since); stuck < suspectAfter {
		return waiting, suspectAfter - stuck
	}
	if w.upAt.IsZero() {
		return suspected, suspectAfter
	}
	due := w.since.Add(max(2*w.upAt.Sub(w.since)+resendMargin, silentAfter))
	if now.Before(due) {
		return doubtful, due.Sub(now)
	}
	return silent, 0
}
