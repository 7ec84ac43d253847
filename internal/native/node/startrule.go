package node

import "time"

const (
	// startWait is how long a new node waits for the configuration service once a
	// peer has answered; not measured.
	startWait = 2 * time.Second
	// aloneWait is how long a new node whose peers are all silent waits before it
	// serves the bundle of the configuration service alone; not measured.
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
