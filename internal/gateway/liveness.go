package gateway

import (
	"context"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

const (
	// releaseTimeout bounds passing results that are to be released to a member.
	releaseTimeout = time.Second
	// aliveFor is how long a member that gave a sign of life is trusted to run
	// items without another.
	aliveFor = 700 * time.Millisecond
	// aliveTimeout bounds asking a member for a sign of life.
	aliveTimeout = 350 * time.Millisecond
)

// runAtLiveMember has a member make the items of a group, and gives up on the
// member when it shows no sign of life meanwhile.
func (g *Gateway) runAtLiveMember(ctx context.Context, member, service string, group relay.Group, started func()) ([]batching.Result, *verdict.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		results []batching.Result
		err     *verdict.Error
	}
	answered := make(chan answer, 1)
	go func() {
		results, err := g.peers.runAtMember(ctx, member, service, group, started)
		answered <- answer{results, err}
	}()
	watch := time.NewTicker(aliveFor)
	defer watch.Stop()
	for {
		select {
		case a := <-answered:
			return a.results, a.err
		case <-watch.C:
			if !g.alive(ctx, member) {
				return nil, verdict.New(verdict.NotRun, verdict.ReasonConnection, "member %s shows no sign of life", member)
			}
		}
	}
}

// alive says whether a member gave a sign of life lately or answers now.
func (g *Gateway) alive(ctx context.Context, member string) bool {
	if g.now().Sub(g.members.lastContact(member)) < aliveFor {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	return g.gossip.exchange(ctx, member)
}
