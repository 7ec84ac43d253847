package gateway

import "time"

// maxOutstandingPlans bounds the messages with plans that a coordinator has not answered to
// this node. With two, a coordinator that is busy has the next one at hand, and one lost
// packet does not hold up all plans.
const maxOutstandingPlans = 2

// stallTick is how often a node with an outstanding message notes that it runs. What it notes later
// than that is a stall of its own. A longer one hides stalls as long as the wait that admission
// always allows (150 ms).
const stallTick = 50 * time.Millisecond

// planWindow bounds the plan messages that are outstanding at one coordinator, and estimates
// how late that coordinator is. A message is outstanding until its answer arrives, even if
// nothing waits for it any more, because the coordinator still has to handle it. So the
// queue at a coordinator is bounded by the number of nodes, whatever their clients do.
//
// The zero value is an open window. It is not safe for concurrent use.
type planWindow struct {
	// sentAt holds when each outstanding message was sent, by the message's ID.
	sentAt map[int]time.Time
	lastID int
	// lastAnswered is the ID of the newest message that was answered.
	lastAnswered int
	// late is whether a plan has timed out since the last message ended.
	late bool
	// ownDelay is how late this node itself noticed that, because it was stalled.
	ownDelay time.Duration
	// seenAt is when this node last noted that it runs, and stalled for how long it did not
	// while a message was outstanding.
	seenAt  time.Time
	stalled map[int]time.Duration
}

// open reports whether another message may be sent.
func (w *planWindow) open() bool { return len(w.sentAt) < maxOutstandingPlans }

// sent records that a message is to be sent and returns its ID.
func (w *planWindow) sent(now time.Time) int {
	if w.sentAt == nil {
		w.sentAt, w.stalled = map[int]time.Time{}, map[int]time.Duration{}
	}
	if len(w.sentAt) == 0 {
		w.seenAt = now
	}
	w.lastID++
	w.sentAt[w.lastID] = now
	return w.lastID
}

// begun records that this node begins to write a message. Its age counts from then: what passed
// since it was to be sent is this node's own delay.
func (w *planWindow) begun(id int, now time.Time) {
	w.observe(now)
	w.sentAt[id] = now
	delete(w.stalled, id)
}

// observe notes that this node runs now. It has to be called every stallTick while a message is
// outstanding, and before delay.
func (w *planWindow) observe(now time.Time) {
	gap := now.Sub(w.seenAt) - stallTick
	w.seenAt = now
	if gap <= 0 {
		return
	}
	for id, at := range w.sentAt {
		w.stalled[id] += min(gap, now.Sub(at))
	}
}

// ended records that a message was answered or failed.
func (w *planWindow) ended(id int, answered bool) {
	delete(w.sentAt, id)
	delete(w.stalled, id)
	w.late, w.ownDelay = false, 0
	if answered {
		w.lastAnswered = max(w.lastAnswered, id)
	}
}

// timedOut records that the wait for a plan's answer is over, and how much later than it should
// have this node noticed that.
func (w *planWindow) timedOut(ownDelay time.Duration) {
	w.late, w.ownDelay = true, max(w.ownDelay, ownDelay)
}

// overtaken returns how many outstanding messages an answered message has overtaken.
func (w *planWindow) overtaken() int {
	n := 0
	for id := range w.sentAt {
		if id < w.lastAnswered {
			n++
		}
	}
	return n
}

// delay returns how late the coordinator is at least: the age of the oldest outstanding
// message, without the time for which this node was stalled. It is 0 as long as no plan has
// timed out since the last message ended. Messages that an answered one has overtaken do not
// count: of those nothing is known but that the coordinator took a newer message meanwhile. A
// packet was lost, or one connection is slow.
func (w *planWindow) delay(now time.Time) time.Duration {
	if !w.late {
		return 0
	}
	var longest time.Duration
	for id, at := range w.sentAt {
		if id > w.lastAnswered {
			longest = max(longest, now.Sub(at)-max(w.ownDelay, w.stalled[id]))
		}
	}
	return longest
}
