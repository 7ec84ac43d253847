// Package membership holds what a gateway knows of the other members by gossip.
// It does no input or output and reads no clock; the gateway exchanges the
// messages and guards the roster with a lock.
//
// One rule a file:
//
//   - roster.go: the state, and how what members report is merged.
//   - liveness.go: who is live, suspected, forgotten, and who serves.
//   - eligibility.go: who may do work that one member does for all.
//   - readers.go: who reads the source, and who follows the readers.
//   - newest.go: which member knows the newest configuration and revision.
//   - exchange.go: which members to exchange gossip with, and what to send them.
//
// The package owns the roster of one node. It relies on gossip alone: a member that
// cannot be reached counts as lost after a while, and a node that reaches nobody
// serves, coordinates and reads the source alone. No rule elects anyone, so members
// that are cut off from each other may do the same work twice.
//
// See docs/decisions/0011 and 0012.
package membership
