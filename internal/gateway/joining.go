package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/wait"
)

const (
	// joinTimeout bounds one exchange with a seed while this node joins. A seed that does not
	// answer delays the node's first batches. An answer takes some milliseconds, and up to
	// hundreds while hundreds of nodes start together.
	joinTimeout = 150 * time.Millisecond
	// joinPause is the pause between the two exchanges. Nodes that start together get their
	// configuration within about 20 ms of each other.
	joinPause = 50 * time.Millisecond
)

// joiner joins the cluster: it exchanges gossip with the seeds once the node has its first
// configuration. Until it has joined, the node does not know which member coordinates a
// service, and would start work that belongs to another.
type joiner struct {
	members  *members
	exchange func(ctx context.Context, member string) bool

	// joined is closed when the node has joined.
	joined chan struct{}
}

func newJoiner(m *members, exchange func(ctx context.Context, member string) bool) *joiner {
	return &joiner{members: m, exchange: exchange, joined: make(chan struct{})}
}

// run exchanges gossip with all seeds twice: in the first exchange they learn of this node,
// in the second this node learns of those that started with it. It must be called once.
func (j *joiner) run(ctx context.Context) {
	defer close(j.joined)
	j.exchangeWithSeeds(ctx)
	// It fails only when ctx is done, which also ends the exchanges.
	_ = wait.For(ctx, joinPause)
	j.exchangeWithSeeds(ctx)
}

func (j *joiner) exchangeWithSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, seed := range j.members.seeds() {
		all.Go(func() { j.exchange(ctx, seed) })
	}
	all.Wait()
}

// wait waits until this node has joined or ctx is done.
func (j *joiner) wait(ctx context.Context) {
	select {
	case <-j.joined:
	case <-ctx.Done():
	}
}
