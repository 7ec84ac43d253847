package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/wait"
)

const (
	// joinTimeout bounds one exchange with a seed while this node joins: a seed that does
	// not answer holds up the node's first batches. An answer takes some milliseconds, and
	// up to hundreds while hundreds of nodes start together.
	joinTimeout = 150 * time.Millisecond
	// joinPause is the time between the two exchanges: nodes that start together have
	// their configuration within some 20 ms of each other.
	joinPause = 50 * time.Millisecond
)

// joiner is the time from a node's first configuration until it has exchanged with
// its seeds. Until then it does not know who coordinates, and would begin work that
// is another member's.
type joiner struct {
	members  *members
	exchange func(ctx context.Context, member string) bool

	// joined is closed at the end.
	joined chan struct{}
}

func newJoiner(m *members, exchange func(ctx context.Context, member string) bool) *joiner {
	return &joiner{members: m, exchange: exchange, joined: make(chan struct{})}
}

// run exchanges twice with all seeds: in the first exchange they learn of this node,
// in the second this node learns of those that started with it. It is called once.
func (j *joiner) run(ctx context.Context) {
	defer close(j.joined)
	j.exchangeWithSeeds(ctx)
	// Its only error is the end of ctx, which also ends the exchanges.
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

// wait waits until this node has joined, or ctx ends.
func (j *joiner) wait(ctx context.Context) {
	select {
	case <-j.joined:
	case <-ctx.Done():
	}
}
