package gateway

import (
	"context"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// A member that runs a group for this node counts as lost livenessInterval and livenessTimeout
// together, 1.05 s, after the last check that found it alive. When the wait for items was
// limited instead, members were suspected 256 times on a quiet day because their queues were
// long.
const (
	// livenessInterval is how long a contact proves that a member is alive, and how often
	// that is checked.
	livenessInterval = 700 * time.Millisecond
	// livenessTimeout bounds a liveness check of a member.
	livenessTimeout = 350 * time.Millisecond
)

// runAt runs the items of a group at a member. It waits for as long as the member is alive,
// however long its queue. If the member is not, the error has the reason ReasonConnection.
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

// isAlive reports whether a member was in contact recently or answers now.
func (b *batchRouter) isAlive(ctx context.Context, member string) bool {
	if isRecentContact(b.now().Sub(b.members.lastContact(member))) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	return b.exchange(ctx, member)
}

// isRecentContact decides whether a member that runs a group counts as alive. Input: the time
// since its last contact, which the roster knows from direct exchanges or from a rise of the
// member's heartbeat reported by others. A member that does not count as alive is asked
// directly before it is given up. Giving up too early runs items twice, at this member and
// the next; giving up too late delays them past their due time. See
// docs/decisions/0012-batches.md, "Failure".
func isRecentContact(sinceContact time.Duration) bool { return sinceContact < livenessInterval }
