package placement

// transferCostPerMegabyte is the cost of a megabyte of results that crosses data centres, in
// milliseconds. Both rules for engines use it. It accounts for the traffic rather than the
// transfer time, which is below a millisecond: to avoid the transfer of a megabyte, the first
// event may be 200 ms later (waitCostPerMs).
const transferCostPerMegabyte = 60.0

// bytesPerMegabyte is the number of bytes to which transferCostPerMegabyte applies.
const bytesPerMegabyte = 1e6

// inputLocation describes the location of the results that a prompt reads.
type inputLocation struct {
	// bytes is the number of bytes in each data centre, and total their sum.
	bytes map[string]int64
	total int64
}

func newInputLocation(bytes map[string]int64) inputLocation {
	t := inputLocation{bytes: bytes}
	for _, n := range bytes {
		t.total += n
	}
	return t
}

// cost returns the cost of reading the results in the given data centre, in milliseconds. All
// results that are stored in other data centres have to be transferred.
func (t inputLocation) cost(dataCentre string) float64 {
	return transferCostPerMegabyte * float64(t.total-t.bytes[dataCentre]) / bytesPerMegabyte
}
