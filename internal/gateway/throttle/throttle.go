// Package throttle keeps a caller from overloading one that it depends on: adaptive
// throttling at the client's side, by its own counts alone.
//
// A Throttle counts the calls that have ended: those that were answered in time, those that
// were not, and those that it held back. While they are more than sendFactor times as many
// as were answered, it holds back calls, so that about sendFactor times as many are sent as
// are answered, and one of probeEvery at least: what is overloaded gets a bounded excess
// instead of all, and the excess that is sent notices when it answers again. Nothing is
// exchanged between callers.
//
// It owns its counts. It relies on its caller for the time and for random numbers. It is not
// safe for concurrent use.
package throttle

import "time"

const (
	// sendFactor is how many calls are sent for each one that is answered, while some are
	// not: less holds back calls that would have been answered, more is more excess.
	sendFactor = 2
	// spared is how many calls without an answer show nothing: answers get lost.
	spared = 2
	// probeEvery is how many calls come to one that is sent although none is answered.
	probeEvery = 20
	// window is how long counts matter. A callee that falls silent is given up by other
	// means within half of it, before calls are held back.
	window = 1500 * time.Millisecond
	// parts is how many parts of the window are counted and forgotten at a time.
	parts = 6
	// part is the length of one of them.
	part = window / parts
	// lately is how many parts, the current one included, show that a callee which did not
	// answer does so again.
	lately = 2
)

// counts are those of some parts of the window: ended counts all calls.
type counts struct{ ended, answered int }

// share is the part of the calls that may be sent by some counts, where so many without an
// answer show nothing.
func (c counts) share(spared int) float64 {
	excess := c.ended - sendFactor*c.answered - spared
	return 1 - float64(max(excess, 0))/float64(c.ended+1)
}

// lateShare is share where every call without an answer counts, and 0 without any that was
// answered.
func (c counts) lateShare() float64 {
	if c.answered == 0 {
		return 0
	}
	return c.share(0)
}

// Throttle decides which calls are made. The zero value has counted nothing.
type Throttle struct {
	ring [parts]counts
	// newest is the number of the newest part, counted from the zero time.
	newest int64
	// heldInRow counts the calls that were held back since one was sent.
	heldInRow int
}

// Allow says whether to make a call, and counts one that is held back. random is a number
// from 0 up to but not including 1.
func (t *Throttle) Allow(now time.Time, random float64) bool {
	t.advance(now)
	if random < t.share() || t.heldInRow >= probeEvery-1 {
		t.heldInRow = 0
		return true
	}
	t.heldInRow++
	t.at(t.newest).ended++
	return false
}

// Ended counts the end of a call that was made, and whether it was answered in time.
func (t *Throttle) Ended(now time.Time, answered bool) {
	t.advance(now)
	c := t.at(t.newest)
	c.ended++
	if answered {
		c.answered++
	}
}

// Holds says whether calls are held back.
func (t *Throttle) Holds(now time.Time) bool {
	t.advance(now)
	return t.share() < 1
}

// Idle says whether nothing was counted within the window.
func (t *Throttle) Idle(now time.Time) bool {
	t.advance(now)
	return t.sum(parts) == counts{}
}

// share is the part of the calls that may be sent: as the whole window says, or what came
// lately, so that a callee which answers again soon gets twice as many with each part.
func (t *Throttle) share() float64 {
	return max(t.sum(parts).share(spared), t.sum(lately).lateShare())
}

// advance forgets the parts that are older than the window.
func (t *Throttle) advance(now time.Time) {
	newest := now.UnixNano() / int64(part)
	if newest-t.newest >= parts {
		t.ring, t.newest = [parts]counts{}, newest
		return
	}
	for t.newest < newest {
		t.newest++
		*t.at(t.newest) = counts{}
	}
}

func (t *Throttle) at(number int64) *counts { return &t.ring[number%parts] }

// sum adds up the newest n parts.
func (t *Throttle) sum(n int64) counts {
	var all counts
	for i := range n {
		c := t.at(t.newest + parts - i)
		all.ended += c.ended
		all.answered += c.answered
	}
	return all
}
