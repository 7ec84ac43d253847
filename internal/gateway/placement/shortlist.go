package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

const (
	// assessAll is the number of engines up to which all are assessed for each prompt: it
	// takes some 20 µs.
	assessAll = 64
	// perDataCentre is how many engines of each data centre are assessed where there are
	// more: the first for the prompt's session. Eight of one data centre are all busy only
	// where nearly all of its engines are; a ninth differs from them by its rank, and a
	// prompt goes to a low rank to find its session's parts.
	perDataCentre = 8
)

// ranked is an engine by its index, with its rank for a session among the others that are
// assessed.
type ranked struct{ index, rank int }

// engineIndex gives the engines that are worth assessing for a session. It keeps the
// hashes of one list of engines, and is made anew for another list.
//
// To assess all engines takes as long as there are engines: 7.3 ms for 6,576 on a busy
// machine, so that the member which places the prompts of all nodes could place some 140
// a second of 313. With
// the shortlist a prompt takes 0.17 ms, of which 0.06 go through the hashes
// (BenchmarkPlaceFleet).
type engineIndex struct {
	engines []directory.Target
	// hashes are those of the engines' identities, places the numbers of their data
	// centres.
	hashes []uint64
	places []int
	// dataCentres is how many data centres there are.
	dataCentres int
	// byLife gives the number of an engine; nil until it is asked for.
	byLife map[directory.Incarnation]int
}

// of returns the index of a list of engines, which must not change.
func (x *engineIndex) of(engines []directory.Target) *engineIndex {
	if x != nil && sameList(x.engines, engines) {
		return x
	}
	next := &engineIndex{engines: engines, hashes: make([]uint64, len(engines)), places: make([]int, len(engines))}
	numbers := map[string]int{}
	for i := range engines {
		e := &engines[i]
		number, known := numbers[e.DataCentre]
		if !known {
			number = len(numbers)
			numbers[e.DataCentre] = number
		}
		next.hashes[i], next.places[i] = xxhash.Sum64String(e.ID), number
	}
	next.dataCentres = len(numbers)
	return next
}

// sameList says whether two lists are one in memory.
func sameList(a, b []directory.Target) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// find returns the index of an engine; false for one that is not listed.
func (x *engineIndex) find(life directory.Incarnation) (int, bool) {
	if x.byLife == nil {
		x.byLife = make(map[directory.Incarnation]int, len(x.engines))
		for i := range x.engines {
			x.byLife[x.engines[i].Incarnation()] = i
		}
	}
	i, listed := x.byLife[life]
	return i, listed
}

// isLong says whether there are more engines than are assessed for a prompt.
func (x *engineIndex) isLong() bool { return len(x.engines) > assessAll }

// shortlist returns the engines that are assessed for a session: all of a few, else the
// first of each data centre by rendezvous hashing.
func (x *engineIndex) shortlist(key uint64) []ranked {
	if !x.isLong() {
		return x.all(key)
	}
	tops := make([]topWeights, x.dataCentres)
	for i, h := range x.hashes {
		tops[x.places[i]].add(weighted{index: i, weight: mix(key ^ h)})
	}
	first := make([]weighted, 0, x.dataCentres*perDataCentre)
	for i := range tops {
		first = append(first, tops[i].list()...)
	}
	return rank(first)
}

// all returns all engines.
func (x *engineIndex) all(key uint64) []ranked {
	list := make([]weighted, len(x.hashes))
	for i, h := range x.hashes {
		list[i] = weighted{index: i, weight: mix(key ^ h)}
	}
	return rank(list)
}

// rank numbers engines by their weights, the highest first; the result is in the order
// of the engines.
func rank(list []weighted) []ranked {
	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.index, b.index))
	})
	out := make([]ranked, len(list))
	for i, w := range list {
		out[i] = ranked{index: w.index, rank: i}
	}
	slices.SortFunc(out, func(a, b ranked) int { return cmp.Compare(a.index, b.index) })
	return out
}

// weighted is an engine by its index, with its rendezvous weight.
type weighted struct {
	index  int
	weight uint64
}

// topWeights holds the perDataCentre highest of the weights added, the highest first.
type topWeights struct {
	n   int
	top [perDataCentre]weighted
}

func (t *topWeights) add(w weighted) {
	if t.n == perDataCentre && w.weight <= t.top[t.n-1].weight {
		return
	}
	if t.n < perDataCentre {
		t.n++
	}
	at := t.n - 1
	for at > 0 && t.top[at-1].weight < w.weight {
		t.top[at] = t.top[at-1]
		at--
	}
	t.top[at] = w
}

func (t *topWeights) list() []weighted { return t.top[:t.n] }
