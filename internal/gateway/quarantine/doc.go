// Package quarantine holds back poison requests: requests that crash the targets that run
// them. A caller that gets no answer sends the same request again, with a new identity and
// to any node. Unless its crashes are remembered, each attempt crashes another target.
//
// Each node has a Table of suspected requests, which records the targets that crashed while
// they had the request, and whether a target has answered it since. Members merge their
// tables by gossip. The result does not depend on the order or repetition of merges. The
// package performs no I/O and reads no clock.
//
// A request becomes suspected if the connection that carried it broke and the target's
// process then proves to have ended, as its instance refuses connections. That affects all
// requests that the target had at that moment, of which usually one is the cause. Any
// answer of a target to the same request clears it, even an error of the target's own,
// since the target survived the request.
//
// rule.go decides when a request is held and for how long.
//
// A second Table holds parts of prompts, which many requests have in common. A part of most of them
// is there whenever a target crashes, so each Table counts how prevalent its subjects are, and what
// is common takes more crashes to be held.
//
// The gateway reports crashes and answers, exchanges entries with other members, and
// decides which member may try a held request again. A node that starts has an empty table
// and gets the entries from the first member that it exchanges with. If all nodes restart
// together the entries are lost, and a poison request crashes two more targets before it is
// held again.
package quarantine
