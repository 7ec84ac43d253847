// Package backpressure enforces the limits that targets announce in their response headers.
//
// A target that announces that it is leaving gets no more requests from the node that it
// told. It will stop soon, and the source may report that later, or not at all while the
// source is unavailable. A target that refuses a request and asks for a pause gets no
// requests from that node for that time.
//
// An overloaded target announces a limit: the number of requests a second that it accepts
// from all nodes together, for as long as it repeats the announcement. The limit holds
// without shared state because each node applies three rules on its own:
//
//   - Only a few nodes send to a limited target: for batching services the coordinator of
//     the service, otherwise the members that rendezvous hashing ranks first for the target,
//     one for each limitPerSender of the limit.
//   - Each sender has a token bucket that is filled at its part of usedShare of the limit,
//     so that nodes that disagree about who may send, for example while a member joins or
//     leaves, exceed the limit only slightly.
//   - A node that has just started, or has lost contact with most other members, does not
//     send (membership.Roster.Settled).
//
// Members pass on limits by gossip, so that nodes that do not send to a target learn of its
// limit and of the end of the limit. While no member reports a confirmation of the limit, one
// of the members ranked after the senders sends too, as their substitute, for confirmTimeout
// each. The senders may have no requests for the target, or run a version that does not
// support limits. If all members substituted at once, they would send a burst after a
// period without load.
//
// A target tells the end of its limit only in a response. So a sender prefers a target for its
// next request if nobody has confirmed the limit for probeInterval, whatever other targets
// cost.
//
// If the bucket of a target is empty, the request goes to another target. If there is none,
// the request is refused as not run, with a time after which to retry.
//
// For each target incarnation (directory.Incarnation) the package keeps the newest report of
// its limit, whether it is leaving, its pause, and the token bucket of this node. The caller
// passes on the headers of every response, whether it is a success, a failure or a refusal,
// exchanges reports with other members, and ranks the members. The package performs no I/O
// and reads the clock through Config. A node that starts has no reports. It gets the limits
// from the first member that it exchanges with; that a target is leaving or paused is only
// known to the node that the target told.
package backpressure
