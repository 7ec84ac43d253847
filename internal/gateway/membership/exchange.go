package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/message"
)

// maxReported limits the other members reported in one exchange, so that the message does
// not grow with the fleet: 40 members take about 5 KB. It exceeds maxEligible because
// each exchange reports all eligible members.
const maxReported = 40

// Gossip returns the message for an exchange with another member: this member and up
// to maxReported others that are live or leaving. The strongest members (selectEligible) are
// always included, because all members must soon know the state of those that do, or did
// until now, work for the fleet. The rest are chosen at random.
//
// If the eligible members were chosen at random too, a heartbeat would need nine rounds
// (4.3 s) to reach 300 members. That exceeds liveTimeout, so that at any moment many
// members would consider running ones lost (TestManyMembersAgree).
func (r *Roster) Gossip(now time.Time) message.Gossip {
	reported := make([]string, 0, len(r.others))
	for a, e := range r.others {
		if isLive(now, e) || e.Leaving {
			reported = append(reported, a)
		}
	}
	rand.Shuffle(len(reported), func(i, j int) { reported[i], reported[j] = reported[j], reported[i] })
	if len(reported) > maxReported {
		reported = r.eligibleFirst(reported)[:maxReported]
	}
	g := message.Gossip{Members: []message.GossipMember{r.self}}
	for _, a := range reported {
		g.Members = append(g.Members, r.others[a].GossipMember)
	}
	return g
}

// eligibleFirst moves the members that selectEligible returns to the front and otherwise
// keeps the order.
func (r *Roster) eligibleFirst(members []string) []string {
	eligible := r.selectEligible(slices.Clone(members))
	isEligible := make(map[string]bool, len(eligible))
	for _, a := range eligible {
		isEligible[a] = true
	}
	others := slices.DeleteFunc(members, func(a string) bool { return isEligible[a] })
	return slices.Concat(eligible, others)
}

// Partners returns the members to exchange gossip with: up to n live members, of which
// the first is eligible and the others are chosen at random, and one seed that is not
// live, so that a partitioned fleet joins again. Information that all members need
// collects at the eligible ones, which are one round away from every member.
func (r *Roster) Partners(now time.Time, n int) []string {
	var alive, missing []string
	for a, e := range r.others {
		if isLive(now, e) {
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

// eligiblePartner returns one of the other eligible members at random, or nil if there
// is none.
func (r *Roster) eligiblePartner(now time.Time) []string {
	others := slices.DeleteFunc(slices.Clone(r.Eligible(now)), func(a string) bool { return a == r.self.Address })
	if len(others) == 0 {
		return nil
	}
	return []string{others[rand.N(len(others))]}
}
