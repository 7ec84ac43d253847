package streamorigin_test

import (
	"fmt"
	"testing"

	"github.com/honeydyke/honeydyke/internal/gateway/streamorigin"
	"github.com/honeydyke/honeydyke/internal/gateway/view"
)

// BenchmarkAssign measures the choice of a version for a new stream, by the targets of its service.
func BenchmarkAssign(b *testing.B) {
	for _, versions := range []int{1, 2} {
		for _, n := range []int{18, 365, 2000} {
			src := source{{start, view.CatalogChange{Catalog: streams(1, "s")}}}
			for i := range n {
				src = append(src, dated{start, ready(fmt.Sprint("t", i), fmt.Sprint("v", i%versions))})
			}
			history := startNode(src, start, 0, true).history
			b.Run(fmt.Sprintf("%d targets of %d versions", n, versions), func(b *testing.B) {
				for i := range b.N {
					history.Assign(start, "s", streamorigin.Key(i))
				}
			})
		}
	}
}
