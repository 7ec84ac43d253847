package rules

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/saturate"
)

const (
	// inputsReadBase is the time that a call needs to fetch its inputs, on top of their
	// transfer: the network delay and the target's own requests. With a smaller value
	// inputs are released before they are fetched; with a larger one they occupy result
	// memory for longer, which limits what their targets can compute.
	inputsReadBase = 40 * time.Millisecond
	// transferTimeFactor multiplies the transfer time that follows from the catalog's
	// bandwidth: a transfer crosses two links, which carry other traffic too.
	transferTimeFactor = 3.0
	// defaultReadTime is assumed where the catalog has no bandwidth. Batches take 200 ms
	// or more (docs/decisions/0012), so inputs are still released before a batch ends.
	defaultReadTime = 120 * time.Millisecond
	// earlyReleaseBackoff is how long a service's inputs are kept until the first event after
	// some were released too early: the usual duration of a disturbance that delays calls.
	earlyReleaseBackoff = 10 * time.Second
)

// Transfer is the data that a call fetches from one target: the results of one stage that
// the target holds.
type Transfer struct {
	Bytes int64
	// BytesPerSecond is that target's bandwidth according to the catalog; 0 if unknown.
	BytesPerSecond float64
}

// longer reports whether t takes longer than another transfer. A transfer over an
// unknown bandwidth counts as the longest.
func (t Transfer) longer(than Transfer) bool {
	if t.BytesPerSecond <= 0 || than.BytesPerSecond <= 0 {
		return t.BytesPerSecond < than.BytesPerSecond
	}
	return float64(t.Bytes)/t.BytesPerSecond > float64(than.Bytes)/than.BytesPerSecond
}

// LongestTransfer returns the transfer that takes longest, or the zero value for an
// empty list.
func LongestTransfer(list []Transfer) Transfer {
	var longest Transfer
	for i, t := range list {
		if i == 0 || t.longer(longest) {
			longest = t
		}
	}
	return longest
}

// InputsReadTime estimates how long after it was sent a call to an idle target has
// fetched its inputs, which targets do before they start to work. If the estimate is too
// short, inputs are gone by the time they are fetched and must be recomputed; if it is
// too long, they occupy result memory that other items wait for.
func InputsReadTime(t Transfer) time.Duration {
	if t.BytesPerSecond <= 0 {
		return defaultReadTime
	}
	transfer := transferTimeFactor * float64(t.Bytes) / t.BytesPerSecond
	return inputsReadBase + saturate.Duration(transfer*float64(time.Second))
}

// ReleaseBeforeResponse decides whether an engine's inputs are released as soon as it
// should have fetched them (InputsReadTime), or only at its first event.
//
// Early release needs a known transfer time. lastGone is when inputs of the service that
// had been released early were last missing; zero means never. A prompt may wait some
// 100 ms for its prefill. For large results that wait is a third of the time that they
// occupy the memory of their targets, which limits how much those can compute.
//
// A false positive makes the engine refuse the request, and its inputs are recomputed; a
// false negative holds memory that other items wait for.
func ReleaseBeforeResponse(now time.Time, t Transfer, lastGone time.Time) bool {
	if t.BytesPerSecond <= 0 {
		return false
	}
	return lastGone.IsZero() || now.Sub(lastGone) >= earlyReleaseBackoff
}
