package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/native/routing"
)

// Rule: the target of an attempt.
//
// Of the targets in use (subset.go) that may get work now, those that the attempt
// excludes are left out, unless no other may get work; routing chooses among the
// rest (docs/decisions/0007-routing.md, which also says what a wrong choice costs).
// Nil means that none has a free slot: the attempt is held.

// choose returns a target with a free slot for the item, or nil.
func (p *pool) choose(now time.Time, it *item, c *Config, rng *rand.Rand) *target {
	if !p.fill(now, it.Exclude, c.DataCentre) {
		p.fill(now, nil, c.DataCentre)
	}
	p.turn++
	q := routing.Query{Prefix: it.Prefix, Turn: p.turn}
	i := routing.Choose(c.Policy, p.scratch, q, rng)
	if i < 0 {
		return nil
	}
	return p.targets[p.indexes[i]]
}

// fill lists the usable targets outside exclude and says whether there are any.
func (p *pool) fill(now time.Time, exclude []string, dataCentre string) bool {
	p.scratch = p.scratch[:0]
	p.indexes = p.indexes[:0]
	for i, t := range p.targets {
		if t.usable(now) && !slices.Contains(exclude, t.spec.Name) {
			p.scratch = append(p.scratch, t.candidate(now, dataCentre))
			p.indexes = append(p.indexes, i)
		}
	}
	return len(p.scratch) > 0
}

// candidate is the target as routing sees it.
func (t *target) candidate(now time.Time, dataCentre string) routing.Candidate {
	c := routing.Candidate{
		Name:      t.spec.Name,
		Hash:      t.hash,
		Local:     t.spec.DataCentre == dataCentre,
		Slots:     t.spec.Slots,
		InFlight:  t.inFlight,
		Foreign:   t.foreign,
		ReportAge: -1,
		Idle:      now.Sub(t.granted),
		Slowness:  1,
	}
	if t.reported {
		c.ReportAge = now.Sub(t.reportedAt)
	}
	if t.slowness.seen {
		c.Slowness = t.slowness.mean
	}
	return c
}
