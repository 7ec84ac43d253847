package routing

import "math/rand/v2"

// samples is how many candidates a sampling policy compares: the two random choices of
// the literature.
const samples = 2

// Random takes any free candidate. It is a baseline.
type Random struct{}

// RoundRobin takes the free candidates in turn. It is a baseline.
type RoundRobin struct{}

// LeastOutstanding takes the one with the fewest own calls. It is a baseline.
type LeastOutstanding struct{}

// TwoChoices samples two and takes the one with fewer own calls. It is a
// baseline.
type TwoChoices struct{}

func (Random) isPolicy()           {}
func (RoundRobin) isPolicy()       {}
func (LeastOutstanding) isPolicy() {}
func (TwoChoices) isPolicy()       {}

// fewerCalls returns i when that candidate is free and has fewer own calls than
// chosen, which may be -1, and else chosen.
func fewerCalls(cs []Candidate, chosen, i int) int {
	if cs[i].Free() && (chosen < 0 || cs[i].InFlight < cs[chosen].InFlight) {
		return i
	}
	return chosen
}

// pickFree returns the free candidate that pick chooses among n.
func pickFree(cs []Candidate, pick func(n int) int) int {
	n := 0
	for i := range cs {
		if cs[i].Free() {
			n++
		}
	}
	if n == 0 {
		return -1
	}
	k := pick(n)
	for i := range cs {
		if !cs[i].Free() {
			continue
		}
		if k == 0 {
			return i
		}
		k--
	}
	return -1
}

// fewestCalls returns the free candidate with the fewest own calls.
func fewestCalls(cs []Candidate) int {
	chosen := -1
	for i := range cs {
		chosen = fewerCalls(cs, chosen, i)
	}
	return chosen
}

// sampled compares a few candidates by their own calls and falls back to all of them
// when none of the few is free.
func sampled(cs []Candidate, rng *rand.Rand) int {
	if len(cs) == 0 {
		return -1
	}
	chosen := -1
	for range samples {
		chosen = fewerCalls(cs, chosen, rng.IntN(len(cs)))
	}
	if chosen >= 0 {
		return chosen
	}
	return pickFree(cs, rng.IntN)
}
