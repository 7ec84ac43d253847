package streamorigin

import (
	"maps"
	"time"
)

// Runs holds the requests that targets were answering when this node started, by their IDs: with
// them it learns where streams began that no other node knows any more. It is not safe for
// concurrent use.
type Runs struct{ runs map[string]foundRun }

// foundRun is where a request ran.
type foundRun struct {
	origin Origin
	until  time.Time
	// several is true if it ran at targets of several versions.
	several bool
}

// NewRuns returns no runs.
func NewRuns() *Runs { return &Runs{runs: map[string]foundRun{}} }

// Put records that a request ran at a target, for a time.
func (r *Runs) Put(now time.Time, request string, o Origin, keep time.Duration) {
	known, found := r.runs[request]
	r.runs[request] = foundRun{origin: o, until: now.Add(keep), several: found && (known.several || known.origin != o)}
}

// Find returns where the stream of a request began, if it ran at targets of one version.
func (r *Runs) Find(now time.Time, request string) (Origin, bool) {
	run, found := r.runs[request]
	if !found || run.several || !run.origin.Version.Known() || !now.Before(run.until) {
		return Origin{}, false
	}
	return run.origin, true
}

// Len returns the number of requests.
func (r *Runs) Len() int { return len(r.runs) }

// Prune removes the runs that have expired.
func (r *Runs) Prune(now time.Time) {
	maps.DeleteFunc(r.runs, func(_ string, run foundRun) bool { return !now.Before(run.until) })
}
