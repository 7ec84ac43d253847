// Package membership tracks the members of the gateway fleet, as learned by gossip.
// It performs no I/O and reads no clock: the gateway exchanges the messages and
// guards the roster with a lock.
//
// Each file implements one rule:
//
//   - roster.go: the state, and how reports are merged into it.
//   - liveness.go: which members are live, suspected, serving or dropped.
//   - eligibility.go: which members may do work that one member does for the fleet.
//   - readers.go: which members read the source, and which follow the readers.
//   - newest.go: which member has the newest configuration and revision.
//   - exchange.go: which members to exchange gossip with, and what to send them.
//
// The source is the store in which the configuration is published and targets register. Its
// epoch increases when it is restored from an older copy of its data; members of an earlier
// version do not distinguish epochs.
//
// The roster depends on gossip alone. An unreachable member is considered lost after
// a timeout, and a node that reaches no other member serves, coordinates and reads
// the source on its own. There is no leader election, so members on different sides
// of a partition may do the same work twice.
//
// See docs/decisions/0011 and 0012.
package membership
