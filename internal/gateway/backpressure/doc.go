// Package backpressure keeps targets from getting more than they ask for in their answers.
//
// A target that says that it leaves gets nothing more from the node that it told: it ends
// soon, and the source may say so later, or not at all while it is away. A target that
// refuses a request and wants a pause gets nothing from that node for so long.
//
// A target in need names a limit: the requests a second that it takes from all nodes
// together, for as long as it says so. The limit holds without shared state by three rules
// that each node applies alone:
//
//   - Few nodes give out a limited target's requests: for stages the coordinator of the
//     service, else the members that hashing puts first for the target, one for each
//     perGiver of the limit.
//   - Each keeps a token bucket with its part of givenShare of the limit, so that nodes which
//     disagree about who gives out, as while a member comes or goes, exceed it little.
//   - A node that has just started, or has lost sight of most others, gives out none
//     (membership.Roster.Settled).
//
// What a target says is passed on by gossip, so that nodes which do not send to it know of
// its limit, and of its end. While nobody confirms a limit, the members after the first
// substitute for them, one at a time, confirmFor each: the first may have no use for the
// target, or be of a version that knows no limits. All at once would be a burst after a
// pause of the load.
//
// A target whose allowance is used is passed over. When there is no other, the request is
// refused as not run with a time to retry after.
//
// The package owns, for each life of a target, the newest of what that said, and the buckets
// of this node. It relies on its shell to report the head of every answer, be it a success,
// a failure or a refusal, to pass reports between members, and to rank the members. It does
// no input or output and reads its clock from its Config. A node that starts knows nothing
// and learns it from the first member that it hears.
package backpressure
