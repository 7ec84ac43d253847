package admission

import (
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/native/routing"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// Rule: what a new bundle changes.
//
// Organisations, pools and targets become those of the bundle. Kept are: what
// organisations have in flight, learned times, retry budgets, held work, and all
// that is known of a target that stays under its name and address. A pool that is no
// longer named is retired: it serves the requests that began under an earlier
// bundle, and is dropped when the last of them is closed.
//
// Why so: docs/decisions/0005-bundle.md, a request has one bundle from its first
// stage to its last. A pool dropped too early refuses stages of running requests; a
// target's ejection lost with each bundle would send work to a failing target.

// install puts a bundle in force.
func (c *Core) install(now time.Time, e Install) []Effect {
	c.plan = e.Plan
	b := e.Plan.Bundle()
	c.installOrganisations(now, b.Organisations)
	c.installPools(b.Pools)
	return c.dispatchAll(now)
}

func (c *Core) installOrganisations(now time.Time, specs []bundle.Organisation) {
	next := make(map[string]*organisation, len(specs))
	for i := range specs {
		org := c.organisations[specs[i].Name]
		if org == nil {
			org = newOrganisation(&specs[i])
		} else {
			org.update(now, &specs[i])
		}
		next[specs[i].Name] = org
	}
	c.organisations = next
}

func (c *Core) installPools(specs []bundle.Pool) {
	pools := make(map[string]*pool, len(specs))
	targets := make(map[string]*target, len(c.targets))
	for i := range specs {
		spec := &specs[i]
		p := c.pools[spec.Name]
		if p == nil {
			p = newPool(spec)
		}
		p.spec = spec
		p.retired = 0
		p.all = c.installTargets(p, targets)
		p.allSlots = slotsOf(p.all)
		p.targets = p.all[:min(subset, len(p.all))]
		pools[spec.Name] = p
	}
	c.retire(pools)
	c.pools = pools
	c.targets = targets
	c.dropRetired()
}

// retire adds the pools that the bundle no longer names.
func (c *Core) retire(pools map[string]*pool) {
	for name, p := range c.pools {
		if pools[name] != nil {
			continue
		}
		if p.retired == 0 {
			p.retired = c.plan.Number()
		}
		pools[name] = p
	}
}

// installTargets returns the pool's targets in the order of this node's preference
// and adds them to all.
func (c *Core) installTargets(p *pool, all map[string]*target) []*target {
	list := make([]*target, 0, len(p.spec.Targets))
	for _, spec := range p.spec.Targets {
		t := c.targets[spec.Name]
		if t == nil || t.spec.Address != spec.Address {
			t = &target{hash: routing.Hash(spec.Name)}
		}
		t.spec = spec
		t.pool = p
		all[spec.Name] = t
		list = append(list, t)
	}
	slices.SortStableFunc(list, c.byPreference)
	return list
}

// dropRetired drops retired pools once no open request began before they were
// retired.
func (c *Core) dropRetired() {
	for name, p := range c.pools {
		if p.retired != 0 && !c.openBefore(p.retired) {
			delete(c.pools, name)
		}
	}
}

// openBefore says whether an open request has a bundle of a lower number.
func (c *Core) openBefore(number int) bool {
	for _, r := range c.open {
		if r.bundle < number {
			return true
		}
	}
	return false
}
