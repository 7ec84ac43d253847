package placement

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
)

func TestRendezvousRanks(t *testing.T) {
	convey.Convey("The rank of a target is the number of targets with a higher weight", t, func() {
		for n := range 40 {
			targets := make([]directory.Target, n)
			for i := range targets {
				targets[i].ID = fmt.Sprint("t", i)
			}
			key := uint64(n * 31)
			ranks := rendezvousRanks(targets, key)
			convey.So(ranks, convey.ShouldHaveLength, n)
			for i, target := range targets {
				higher := 0
				for _, other := range targets {
					if rendezvousWeight(key, other.ID) > rendezvousWeight(key, target.ID) {
						higher++
					}
				}
				convey.So(ranks[i], convey.ShouldEqual, higher)
			}
		}
	})
}
