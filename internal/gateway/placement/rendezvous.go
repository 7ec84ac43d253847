package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

// Rendezvous hashing orders names for a key by descending weight, where the weight is a hash
// of the name and the key. All nodes that know the same names compute the same order without
// communication, and adding or removing a name does not change the order of the others.

// rendezvousWeight returns the weight of a name for a key.
func rendezvousWeight(key uint64, name string) uint64 {
	return mix(key ^ xxhash.Sum64String(name))
}

// rendezvousRanks returns the rank of each target for a key, in the order of targets. The rank
// is the number of targets with a higher weight. The weights are sorted only once, because the
// member that places the prompts of all nodes calls this function hundreds of times a second
// with hundreds of targets (BenchmarkPlaceLarge).
func rendezvousRanks(targets []directory.Target, key uint64) []int {
	weights := make([]uint64, len(targets))
	for i, t := range targets {
		weights[i] = rendezvousWeight(key, t.ID)
	}
	descending := slices.Clone(weights)
	slices.SortFunc(descending, func(a, b uint64) int { return cmp.Compare(b, a) })
	ranks := make([]int, len(targets))
	for i, w := range weights {
		ranks[i], _ = slices.BinarySearchFunc(descending, w, func(a, b uint64) int { return cmp.Compare(b, a) })
	}
	return ranks
}

// The shift and multipliers of mix are those of the MurmurHash3 finalizer (fmix64).
const (
	mixShift  = 33
	mixFirst  = 0xff51afd7ed558ccd
	mixSecond = 0xc4ceb9fe1a85ec53
)

// mix spreads the bits of a combined hash so that each bit of the key and of the name affects
// each bit of the weight.
func mix(x uint64) uint64 {
	x ^= x >> mixShift
	x *= mixFirst
	x ^= x >> mixShift
	x *= mixSecond
	x ^= x >> mixShift
	return x
}
