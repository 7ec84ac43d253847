package catalog

import (
	"fmt"
	"math"
	"slices"
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
	seen := make(map[int]bool, len(list))
	for _, n := range list {
		if !seen[n] {
			seen[n] = true
			out = append(out, n)
		}
	}
	return out
}

// maxStages bounds the stages of a route, which are looked through for each request.
const maxStages = 256

// stageFault returns why the stages cannot be run; empty if they can. They may be in any order.
func (r *Route) stageFault() string {
	if len(r.Stages) > maxStages {
		return fmt.Sprintf("%d stages, %d are allowed", len(r.Stages), maxStages)
	}
	for i, s := range r.Stages {
		if s.Service == "" {
			return fmt.Sprintf("stage %d has no service", i)
		}
		r.Stages[i].After = distinct(s.After)
	}
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
