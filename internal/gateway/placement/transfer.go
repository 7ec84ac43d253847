package placement

// transferCost is the cost of a megabyte of results that crosses data centres, in
// milliseconds. Both rules for engines use it. It accounts for the traffic rather than the
// transfer time, which is below a millisecond: to avoid the transfer of a megabyte, the first
// event may be 200 ms later (waitCost).
const transferCost = 60.0

// bytesPerMegabyte is the number of bytes to which transferCost applies.
const bytesPerMegabyte = 1e6

// transfer describes the location of the results that a prompt reads.
type transfer struct {
	// bytes is the number of bytes in each data centre, and total their sum.
	bytes map[string]int64
	total int64
}

func newTransfer(bytes map[string]int64) transfer {
	t := transfer{bytes: bytes}
	for _, n := range bytes {
		t.total += n
	}
	return t
}

// cost returns the cost of reading the results in the given data centre, in milliseconds. All
// results that are stored in other data centres have to be transferred.
func (t transfer) cost(dataCentre string) float64 {
	return transferCost * float64(t.total-t.bytes[dataCentre]) / bytesPerMegabyte
}
