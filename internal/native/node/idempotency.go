package node

import (
	"net/http"
	"slices"

	"github.com/honeydyke/honeydyke/internal/wire"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// useKey decides what a caller that brings only a key of its own is promised
// (docs/decisions/0004-at-most-once.md). Where every target that may not repeat
// checks keys, the job's calls carry the key; elsewhere nothing could keep the
// promise that the caller expects, and the call is refused.
func useKey(r *http.Request, j *job) error {
	key := r.Header.Get(wire.HeaderIdempotency)
	if key == "" || j.pipeline.Repeatable() {
		return nil
	}
	unchecked := slices.ContainsFunc(j.pipeline.Stages, func(s bundle.Stage) bool {
		return !s.Repeatable && !j.plan.Pool(s.Pool).ChecksKeys
	})
	if unchecked {
		return verdict.New(verdict.NotRun, verdict.ReasonTicketNeeded,
			"a stage of %s may not be repeated and its targets check no keys; take a ticket at %s first", j.pipeline.Name, wire.PathTickets)
	}
	j.key = j.organisation.Name + "/" + j.pipeline.Name + "/" + key
	return nil
}
