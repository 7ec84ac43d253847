package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

const (
	// copyAdvantage is how many times as fast as a prefill a copy must be by the
	// catalog's figures: a copy to another data centre takes twice as long, and copies
	// wait for each other. No other figure was run.
	copyAdvantage = 2.0
	// minCopyTokens is the least that is worth a copy, in tokens: what takes about 1 ms to
	// prefill at the first rate.
	minCopyTokens = 50
)

// copySource chooses the engine from which the chosen one should copy cached parts of
// a prompt before it prefills the rest; false for none.
//
// Inputs, in the order in which they count: the time to copy a token by the catalog
// against the learnt time to prefill one (copyAdvantage); how many tokens of the
// shared parts each engine is taken to have beyond the chosen one (minCopyTokens); and
// of those with the most, which used them last, as it is the likeliest to have them
// still. Engines that may be gone, that leave, or that the asking node has excluded
// are no source. The chosen engine copies only what it lacks, so a source that has
// dropped the parts costs a look there.
//
// Engines are given and returned by their index; cached is what those that are looked at
// have of the shared parts, in tokens. A wrong yes occupies the links of two engines; a
// wrong no prefills what another engine has prefilled before.
func (p *EngineChooser) copySource(now time.Time, engines []directory.Target, cached map[int]int, chosen int, q Prompt) (source int, found bool) {
	if !p.copiesFast() {
		return 0, false
	}
	most := cached[chosen] + minCopyTokens
	var last time.Time
	for _, i := range slices.Sorted(maps.Keys(cached)) {
		e := engines[i]
		if cached[i] < most || i == chosen || e.State == directory.Lapsed || !e.Usable(now) || slices.Contains(q.Exclude, e.ID) {
			continue
		}
		used := p.cache.lastUsed(e.Incarnation(), q.Shared)
		if cached[i] > most || used.After(last) {
			most, last, source, found = cached[i], used, i, true
		}
	}
	return source, found
}

// copiesFast says whether engines copy cached tokens so much faster than they prefill
// them that copying is worth it. An unknown time is not fast.
func (p *EngineChooser) copiesFast() bool {
	return p.copyTime > 0 && copyAdvantage*p.copyTime < p.prefillRate
}
