package gateway

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

// turnHalfLife is the half-life of what turnWait knows of the time that messages take. It has
// to span several bursts of messages, and to follow a coordinator that becomes overloaded
// within about a second.
const turnHalfLife = time.Second

// turnWait estimates how long a message that is sent to a coordinator now waits for its turn:
// the messages that wait, times the mean time that one takes.
//
// How long the message at hand has waited does not tell it. When a coordinator's processor is
// taken away in the middle of a message, all that arrive meanwhile are late, but the next ones
// are not: after plans that waited 0.3 to 0.6 s on a busy machine, most groups that followed
// within 0.4 s waited less than 0.1 s. Counted as backlog, the stall refused requests whose
// stages would have begun at once.
//
// It is a middleware of the coordinator's mailbox. All methods but MessagePosted are for the
// coordinator alone.
type turnWait struct {
	// posted counts the messages that were posted and not handled, with the one at hand.
	posted atomic.Int64
	// busy and handled are the time spent on messages and their number until at, weighted by
	// age.
	busy, handled float64
	at            time.Time
}

// MailboxStarted implements actor.MailboxMiddleware.
func (w *turnWait) MailboxStarted() {}

// MailboxEmpty implements actor.MailboxMiddleware.
func (w *turnWait) MailboxEmpty() {}

// MessagePosted implements actor.MailboxMiddleware.
func (w *turnWait) MessagePosted(any) { w.posted.Add(1) }

// MessageReceived implements actor.MailboxMiddleware. It is called after the message was
// handled.
func (w *turnWait) MessageReceived(any) { w.posted.Add(-1) }

// record adds a message that was handled from begun to ended.
func (w *turnWait) record(begun, ended time.Time) {
	if !w.at.IsZero() {
		kept := math.Exp2(-ended.Sub(w.at).Seconds() / turnHalfLife.Seconds())
		w.busy *= kept
		w.handled *= kept
	}
	w.at = ended
	w.busy += ended.Sub(begun).Seconds()
	w.handled++
}

// estimate returns how long the next message will wait, if the one at hand waited for the
// given time: as long at most, and as long if it is the first message.
func (w *turnWait) estimate(waited time.Duration) time.Duration {
	if w.handled == 0 {
		return waited
	}
	behind := max(w.posted.Load()-1, 0)
	return min(waited, saturate.Duration(float64(behind)*w.busy/w.handled*float64(time.Second)))
}
