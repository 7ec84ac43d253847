package gateway

import (
	"context"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// A member that runs a group for this node counts as lost after livenessInterval and
// livenessTimeout together, 1.05 s at most after its last sign of life and one check.
// With a limit on the wait for items instead, members were suspected 256 times on a
// quiet day, when their queues were long.
const (
	// livenessInterval is how long a sign of life counts, and how often it is checked.
	livenessInterval = 700 * time.Millisecond
	// livenessTimeout bounds asking a member for a sign of life.
	livenessTimeout = 350 * time.Millisecond
)

// runAt has a member run the items of a group. It waits for the member for as long as
// that shows signs of life, however long its queue, and gives up on one that does not:
// then the error's reason is ReasonConnection.
func (b *batchRouter) runAt(ctx context.Context, member, service string, group relay.Group, inputsRead func()) ([]batching.Result, *verdict.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		results []batching.Result
		err     *verdict.Error
	}
	answered := make(chan answer, 1)
	go func() {
		results, err := b.peers.runItems(ctx, member, service, group, inputsRead)
		answered <- answer{results, err}
	}()
	check := time.NewTicker(livenessInterval)
	defer check.Stop()
	for {
		select {
		case a := <-answered:
			return a.results, a.err
		case <-check.C:
			if !b.isAlive(ctx, member) {
				return nil, verdict.New(verdict.NotRun, verdict.ReasonConnection, "member %s shows no sign of life", member)
			}
		}
	}
}

// isAlive says whether a member gave a sign of life lately or answers now.
func (b *batchRouter) isAlive(ctx context.Context, member string) bool {
	if isRecentContact(b.now().Sub(b.members.lastContact(member))) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	return b.exchange(ctx, member)
}

// isRecentContact decides whether a member that runs a group is still there, by the
// time since its last sign of life, which the roster knows by direct contact or by
// the rise of its heartbeat at third members. A member that does not count is asked
// directly before it is given up. Giving up too early has items run twice, at this
// member and the next; too late, they miss their time. See
// docs/decisions/0012-batches.md, "Failure".
func isRecentContact(silentFor time.Duration) bool { return silentFor < livenessInterval }
