package catalog

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// LastStages returns the indexes of the stages whose results are read by the request
// itself and by no other stage.
func (r *Route) LastStages() []int {
	var last []int
	for i := range r.Stages {
		followed := slices.ContainsFunc(r.Stages, func(s Stage) bool { return slices.Contains(s.After, i) })
		if !followed {
			last = append(last, i)
		}
	}
	return last
}

// CountItems returns how many items a request has in the stages of the route, of the numbers that it
// names for them.
func (r *Route) CountItems(items []int) int {
	n := 0
	for _, i := range items[:min(len(items), len(r.Stages))] {
		if i > 0 {
			// A sum that would overflow is above all bounds.
			n = min(n, math.MaxInt-i) + i
		}
	}
	return n
}

// distinct returns a list without repeats, in its order.
func distinct(list []int) []int {
	var out []int
	for _, n := range list {
		if !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	return out
}

// stageFault returns why the stages cannot be run; empty if they can. They may be in any order.
func (r *Route) stageFault() string {
	const (
		unseen = iota
		entered
		left
	)
	seen := make([]int, len(r.Stages))
	var fault func(i int) string
	fault = func(i int) string {
		if seen[i] == left {
			return ""
		}
		seen[i] = entered
		for _, a := range r.Stages[i].After {
			if a < 0 || a >= len(r.Stages) {
				return fmt.Sprintf("stage %d depends on stage %d, which the route does not have", i, a)
			}
			if seen[a] == entered {
				return fmt.Sprintf("stages %d and %d depend on each other", a, i)
			}
			if f := fault(a); f != "" {
				return f
			}
		}
		seen[i] = left
		return ""
	}
	for i := range r.Stages {
		if f := fault(i); f != "" {
			return f
		}
	}
	return ""
}

// RefusedRoutes returns the routes whose requests cannot be served, in the order of their names.
func (c *Catalog) RefusedRoutes() []*Route {
	var list []*Route
	for _, routes := range c.routes {
		for _, r := range routes {
			if r.Refused != "" {
				list = append(list, r)
			}
		}
	}
	slices.SortFunc(list, func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	return list
}
