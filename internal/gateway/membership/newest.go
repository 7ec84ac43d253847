package membership

import "time"

// Newest returns the live member that reports the newest catalog, and of those the
// newest revision, when that is more than the version and revision given; empty for
// none. Members that are suspected or stop count too: what they know may still be
// asked for. A wrong answer costs one call.
func (r *Roster) Newest(now time.Time, version, revision int64) string {
	newest := ""
	bestVersion, bestRevision := int(version), int(revision)
	for a, e := range r.known {
		if !live(now, e) || e.Version < bestVersion {
			continue
		}
		if e.Version > bestVersion || e.Revision > bestRevision {
			newest, bestVersion, bestRevision = a, e.Version, e.Revision
		}
	}
	return newest
}
