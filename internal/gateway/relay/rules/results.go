package rules

const (
	// maxRecomputes bounds how often one request's results are recomputed: results that
	// are lost again and again cost every other request its batches.
	maxRecomputes = 2
	// nearBytes is how many bytes make it worth waiting for a target in the data centre
	// that holds them: below, a transfer costs less than the wait for a batch.
	nearBytes = 100_000
)

// ReleaseResults says whether a stage's results are released at their targets:
// when none of the later stages, or of the request's own attempts, still has to
// read them (users counts those). Results that are released too early are
// recomputed; those that stay too long take the result memory of other requests
// (docs/decisions/0012).
func ReleaseResults(users int) bool { return users <= 0 }

// NeedsInput says whether a stage's results have to be computed before a stage
// that reads them can run: when it has items and its results are not held, because
// they were released or are gone at their targets.
func NeedsInput(items int, held bool) bool { return items > 0 && !held }

// MayRecompute says whether results may be computed again; recomputes counts how
// often that happened to the request, this time included. Beyond, it ends as not run.
func MayRecompute(recomputes int) bool { return recomputes <= maxRecomputes }

// WorthNearness says whether results are large enough to prefer targets in their
// data centre.
func WorthNearness(bytes int64) bool { return bytes >= nearBytes }

// NearestDataCentre decides which data centre a stage's targets should be in: the
// one that holds most bytes of its inputs, any of them among equals, and none when
// they are few. A wrong one costs a transfer between data centres, or a wait for a
// target where nothing is near.
func NearestDataCentre(bytes map[string]int64) string {
	best, most := "", int64(nearBytes)
	for dc, n := range bytes {
		if n >= most {
			best, most = dc, n
		}
	}
	return best
}
