package gateway

import (
	"time"

	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// checkOwnership hands back the groups that have not started when another node has taken over
// the service. Groups that arrive later come from nodes that do not know this yet, and are
// run.
func (c *coordinator) checkOwnership(now time.Time) {
	if now.Sub(c.ownershipCheckedAt) < ownershipCheckInterval {
		return
	}
	c.ownershipCheckedAt = now
	other := c.members.remoteCoordinator(c.service)
	owned := other == ""
	if ownershipMoved(c.owned, owned, c.leaving) {
		c.log.Info().Str("service", c.service).Str("member", other).Int("waiting", c.core.State(now).Waiting).
			Msg("items: another member now coordinates the service")
		c.handBack(verdict.New(verdict.NotRun, verdict.ReasonMoved, "member %s coordinates the service now", other))
	}
	c.owned = owned
}

// ownershipMoved decides whether a coordinator hands back the groups of which nothing has
// started: if this node owned the service at the last check and no longer does. A leaving
// node has handed them back already. Ownership is determined by the node's roster and is up
// to ownershipCheckInterval old. Groups are handed back once per change of owner, and those
// that arrive later are run, so a group cannot go back and forth between two nodes with
// differing rosters.
//
// Without it, groups wait here for memory whose releases go to the new owner: on one day, 168
// items waited for 4 s and more. A wrong yes costs the groups a call to another member. See
// docs/decisions/0012-batches.md, "When coordination moves".
func ownershipMoved(owned, owns, leaving bool) bool { return owned && !owns && !leaving }

// handBack closes the groups that have not started, for another node to run. Two nodes that
// assemble batches for the same targets delay each other's.
func (c *coordinator) handBack(cause *verdict.Error) {
	for _, p := range c.items {
		if !p.group.started && !p.group.closed {
			c.closeGroup(p.group, cause)
		}
	}
}

func errLeaving() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonLeaving, "the node is leaving")
}
