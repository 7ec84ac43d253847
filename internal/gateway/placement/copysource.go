package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

const (
	// copyAdvantage is the factor by which a copy must be faster than a prefill, given the copy
	// time in the catalog and the estimated prefill time. The margin is needed because a copy
	// to another data centre takes twice as long, and copies queue behind each other.
	copyAdvantage = 2.0
	// minCopyTokens is the minimum number of tokens for a copy. Their prefill takes about
	// 1 ms at initialPrefillMsPerToken.
	minCopyTokens = 50
)

// copySource selects the engine from which the engine at index chosen should copy cached
// parts of a prompt before it prefills the rest. It returns false if there is none.
//
// A source is only used if a copy is sufficiently faster than a prefill (copyAdvantage), and
// if it has at least minCopyTokens more of the shared parts cached than the chosen engine.
// The engine with the most cached tokens is selected. Ties go to the engine that used the
// parts last, as it is the most likely to still have them. Engines that may be gone, are
// leaving or are excluded by the requesting node are never a source. The chosen engine only
// copies what it lacks, so a source that has evicted the parts costs only a lookup.
//
// cached maps the indexes of the engines to consider to the number of tokens of the shared
// parts that they have cached. An unnecessary copy occupies the links of two engines; a
// missed copy repeats a prefill.
func (p *EngineChooser) copySource(now time.Time, engines []directory.Target, cached map[int]int, chosen int, q Prompt) (source int, found bool) {
	if !p.copyIsFaster() {
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

// copyIsFaster reports whether engines copy cached tokens sufficiently faster than they
// prefill them. It returns false if the copy time is unknown.
func (p *EngineChooser) copyIsFaster() bool {
	return p.copyMsPerToken > 0 && copyAdvantage*p.copyMsPerToken < p.prefillMsPerToken
}
