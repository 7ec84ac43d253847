package membership

import "time"

// Newest returns the live member with the newest catalog and, among equals, the newest
// revision, if that is newer than the given version and revision; otherwise it returns
// "". Suspected and leaving members are included, since they can still be queried. A
// wrong result costs one call.
func (r *Roster) Newest(now time.Time, version, revision int64) string {
	newest := ""
	bestVersion, bestRevision := int(version), int(revision)
	for a, e := range r.others {
		if !isLive(now, e) || e.Version < bestVersion {
			continue
		}
		if e.Version > bestVersion || e.Revision > bestRevision {
			newest, bestVersion, bestRevision = a, e.Version, e.Revision
		}
	}
	return newest
}
