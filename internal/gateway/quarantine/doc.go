// Package quarantine holds back requests that end the targets that run them. A caller
// who gets no answer asks again, with the same words under a new identity, at any node;
// without a memory of what was asked each try ends one more target.
//
// It owns what is known of such requests, in a Table for each node: which targets ended
// while they had the request, and whether a target has answered it since. Tables are
// merged by members' gossip in any order, however often, and end the same. It does no
// input or output and reads no clock.
//
// What counts as evidence: a target whose process provably ended (its instance refuses
// connections) after the connection that carried the request broke. All requests that the
// target had at that moment are suspected, one of them rightly. What counts as evidence to
// the contrary: any answer of a target to the same request, also a failure of the target's
// own, since a target that answers has outlived it. One such answer clears the request.
//
// rule.go decides from when on and for how long a request is held back.
//
// It relies on its shell to report ends and answers, to pass entries between members, and
// to say which member may try a held request again. When a node starts it knows
// nothing and learns it from the first member that it hears; when all nodes end at once,
// what was known is lost, and the request ends two more targets before it is held again.
package quarantine
