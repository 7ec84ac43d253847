package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
)

// maxGossip bounds the other members reported in one exchange, so that its bytes do
// not grow with the fleet. Not measured (commit 72a0bc2).
const maxGossip = 40

// Gossip returns what to send another member: this member and up to maxGossip
// others at random, of those that are live or stop.
func (r *Roster) Gossip(now time.Time) message.Gossip {
	others := make([]message.GossipMember, 0, len(r.known))
	for _, e := range r.known {
		if live(now, e) || e.Leaving {
			others = append(others, e.GossipMember)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), maxGossip)]
	return message.Gossip{Members: append([]message.GossipMember{r.self}, others...)}
}

// Partners returns the members to exchange gossip with: up to n live ones at random,
// and one seed that is not live, so that parts of the fleet that lost each other meet
// again.
func (r *Roster) Partners(now time.Time, n int) []string {
	var alive, missing []string
	for a, e := range r.known {
		if live(now, e) {
			alive = append(alive, a)
		}
	}
	for _, s := range r.seeds {
		if !slices.Contains(alive, s) {
			missing = append(missing, s)
		}
	}
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	partners := alive[:min(len(alive), n)]
	if len(missing) > 0 {
		partners = append(partners, missing[rand.N(len(missing))])
	}
	return partners
}
