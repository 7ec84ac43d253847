package node

import "time"

// Both figures are those of docs/decisions/0005-bundle.md; neither was measured.
const (
	// startWait is how long after its start a new node to which a peer has answered
	// waits for the configuration service.
	startWait = 2 * time.Second
	// aloneWait is how long a new node whose peers are all silent waits before it
	// serves the bundle of the configuration service alone.
	aloneWait = 30 * time.Second
)

// startRule decides when a new node that has a bundle may serve: when the sources
// that it asked have answered or had their time. A node that knows of peers waits
// for one of them, because the service may be stale
// (docs/decisions/0005-bundle.md).
type startRule struct {
	// hasPeers and hasService say which kinds of source the settings name.
	hasPeers   bool
	hasService bool
	// peerAnswered and serviceAnswered say which kinds have answered.
	peerAnswered    bool
	serviceAnswered bool
}

// met reports whether a node of this age may serve.
func (r startRule) met(age time.Duration) bool {
	if !r.hasPeers || age > aloneWait {
		return true
	}
	return r.peerAnswered && (r.serviceAnswered || !r.hasService || age > startWait)
}
