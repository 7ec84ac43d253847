package rules

const (
	// maxRecomputes limits how often one request's results are recomputed: results that are
	// lost repeatedly take batches away from all other requests.
	maxRecomputes = 2
	// minLocalityBytes is the size of results from which it pays to wait for a target in their
	// data centre: below it a transfer costs less than the wait for a batch.
	minLocalityBytes = 100_000
)

// ReleaseResults reports whether a stage's results are released at their targets. readers
// counts the later stages and attempts of the request that still have to read them.
// Results that are released too early are recomputed; results that are kept too long
// occupy the result memory of other requests (docs/decisions/0012).
func ReleaseResults(readers int) bool { return readers <= 0 }

// NeedsInput reports whether a stage's results must be computed before a stage that reads
// them can run: it has items, and its results are not held because they were released or
// are missing at their targets.
func NeedsInput(items int, held bool) bool { return items > 0 && !held }

// AllInputs reports whether results are held of all items of a stage. A call that reads the stage
// is sent only then: a target computes what it is given, and nothing in its response shows that a
// part was missing.
func AllInputs(items, held int) bool { return items == held }

// MayRecompute reports whether a request's results may be recomputed; recomputes counts
// how often they were, this time included. Otherwise the request ends as not run.
func MayRecompute(recomputes int) bool { return recomputes <= maxRecomputes }

// WorthLocality reports whether results are large enough to prefer targets in their data
// centre.
func WorthLocality(bytes int64) bool { return bytes >= minLocalityBytes }

// PreferredDataCentre decides which data centre a stage's targets should be in: the one
// that holds the most bytes of its inputs, any of several with equally many, and none if
// no data centre holds minLocalityBytes. A wrong choice costs a transfer between data
// centres, or an unnecessary wait for a target.
func PreferredDataCentre(bytes map[string]int64) string {
	best, most := "", int64(minLocalityBytes)
	for dc, n := range bytes {
		if n >= most {
			best, most = dc, n
		}
	}
	return best
}
