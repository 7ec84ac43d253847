package rules

import "time"

const (
	// inputsReadBase is how long after its sending a call should have fetched its
	// inputs, besides their transfer: the way there, and the target's own requests.
	// Worth rose by 0.015 with 25 ms at engines where it was the first event, and by
	// 0.007 with 40 ms at batches where it was 120 ms (docs/MEASUREMENTS.md, "inputs
	// released when fetched").
	inputsReadBase = 40 * time.Millisecond
	// transferMargin is how many times as long as by the catalog's bandwidth a transfer
	// may take: it crosses two links, and others use them too.
	transferMargin = 3.0
	// unknownReadTime is assumed where the catalog has no bandwidth. Batches work for
	// 200 ms and more (docs/decisions/0012), so that inputs are still released before
	// their end.
	unknownReadTime = 120 * time.Millisecond
	// inputsGonePause is for how long a service's inputs are kept until the first event
	// after some were released too early: as long as the trouble that delays calls usually
	// lasts.
	inputsGonePause = 10 * time.Second
)

// Transfer is what a call fetches from the target that holds most of its inputs.
type Transfer struct {
	Bytes int64
	// BytesPerSecond is the bandwidth of that target by the catalog; 0 for unknown.
	BytesPerSecond float64
}

// longer says whether a transfer takes longer than another; an unknown one does.
func (t Transfer) longer(than Transfer) bool {
	if t.BytesPerSecond <= 0 || than.BytesPerSecond <= 0 {
		return t.BytesPerSecond < than.BytesPerSecond
	}
	return float64(t.Bytes)/t.BytesPerSecond > float64(than.Bytes)/than.BytesPerSecond
}

// LongestTransfer returns the one of several transfers that takes longest; the zero
// value of none.
func LongestTransfer(list []Transfer) Transfer {
	var longest Transfer
	for i, t := range list {
		if i == 0 || t.longer(longest) {
			longest = t
		}
	}
	return longest
}

// InputsReadTime estimates how long after its sending a call to an idle target has
// fetched its inputs. Targets fetch before they work. Too short, inputs are gone when
// they are fetched and have to be computed again; too long, they take result memory
// that other items wait for.
func InputsReadTime(t Transfer) time.Duration {
	if t.BytesPerSecond <= 0 {
		return unknownReadTime
	}
	transfer := transferMargin * float64(t.Bytes) / t.BytesPerSecond
	return inputsReadBase + time.Duration(transfer*float64(time.Second))
}

// ReleaseBeforeAnswer decides whether the inputs of an engine are released when it
// should have fetched them (InputsReadTime), or only at its first event.
//
// Inputs: whether the transfer's time is known, and when inputs of the service were
// last found gone that had been released so; zero for never. A prompt may wait some
// 100 ms for its prefill, and meanwhile large results took a third of the time for
// which they occupied the memory of their targets, which bounds what these compute.
//
// With a wrong yes the engine refuses the request, and its inputs are computed again;
// with a wrong no they take memory that other items wait for.
func ReleaseBeforeAnswer(now time.Time, t Transfer, lastGone time.Time) bool {
	if t.BytesPerSecond <= 0 {
		return false
	}
	return lastGone.IsZero() || now.Sub(lastGone) >= inputsGonePause
}
