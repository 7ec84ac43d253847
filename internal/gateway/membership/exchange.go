package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
)

// maxGossip bounds the other members reported in one exchange, so that its bytes do
// not grow with the fleet: 40 members are about 5 KB. It is above maxEligible, which
// each exchange names.
const maxGossip = 40

// Gossip returns what to send another member: this member and up to maxGossip
// others, of those that are live or stop. Those come first whose state everybody has
// to know soon, as work for all is theirs or was until now (strongest); the others
// are drawn at random.
//
// Inputs are capacities and signs of life. With the eligible ones drawn at random
// too, a heartbeat needs nine rounds, 4.3 s, to reach 300 members (worked out), longer
// than liveFor, so that members that lived counted as lost at many others at any
// moment (TestManyMembersAgree).
func (r *Roster) Gossip(now time.Time) message.Gossip {
	reported := make([]string, 0, len(r.known))
	for a, e := range r.known {
		if live(now, e) || e.Leaving {
			reported = append(reported, a)
		}
	}
	rand.Shuffle(len(reported), func(i, j int) { reported[i], reported[j] = reported[j], reported[i] })
	if len(reported) > maxGossip {
		reported = r.strongestFirst(reported)[:maxGossip]
	}
	g := message.Gossip{Members: []message.GossipMember{r.self}}
	for _, a := range reported {
		g.Members = append(g.Members, r.known[a].GossipMember)
	}
	return g
}

// strongestFirst moves the strongest of several members to the front and keeps the
// order otherwise.
func (r *Roster) strongestFirst(members []string) []string {
	strongest := r.strongest(slices.Clone(members))
	isStrongest := make(map[string]bool, len(strongest))
	for _, a := range strongest {
		isStrongest[a] = true
	}
	others := slices.DeleteFunc(members, func(a string) bool { return isStrongest[a] })
	return slices.Concat(strongest, others)
}

// Partners returns the members to exchange gossip with: up to n live ones, the first
// of them eligible and the others at random, and one seed that is not live, so that
// parts of the fleet that lost each other meet again. What all members have to know
// gathers at the eligible ones, one round from everybody.
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
	partners := r.eligiblePartner(now)
	for _, a := range alive {
		if len(partners) < n && !slices.Contains(partners, a) {
			partners = append(partners, a)
		}
	}
	if len(missing) > 0 {
		partners = append(partners, missing[rand.N(len(missing))])
	}
	return partners
}

// eligiblePartner returns one of the other eligible members at random; none when
// there is no other.
func (r *Roster) eligiblePartner(now time.Time) []string {
	others := slices.DeleteFunc(slices.Clone(r.Eligible(now)), func(a string) bool { return a == r.self.Address })
	if len(others) == 0 {
		return nil
	}
	return []string{others[rand.N(len(others))]}
}
