package placement

// transferCost is the cost of a megabyte of results that crosses data centres, in
// milliseconds. Both rules for engines use it. It weighs the bytes, not their time,
// which is below a millisecond: a megabyte that is near is worth a first event 200 ms
// later (waitCost).
const transferCost = 60.0

// bytesPerMegabyte is the unit of transferCost.
const bytesPerMegabyte = 1e6

// transfer is where the results lie that a prompt reads.
type transfer struct {
	// bytes is how many bytes lie in each data centre, total in all.
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

// cost is the cost of reading the results from a data centre, in milliseconds: all
// but those that lie there have to cross.
func (t transfer) cost(dataCentre string) float64 {
	return transferCost * float64(t.total-t.bytes[dataCentre]) / bytesPerMegabyte
}
