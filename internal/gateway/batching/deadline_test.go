package batching

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
)

func TestItemThatCannotFinishBeforeItsDeadlineIsFound(t *testing.T) {
	for _, c := range []struct {
		name string
		spec *catalog.Batch
		left time.Duration
		want bool
	}{
		{"An item with the time of a batch of one left can finish", testSpec(), 260 * time.Millisecond, true},
		{"With less it cannot", testSpec(), 260*time.Millisecond - 1, false},
		{"Before the catalog is known any time left is enough", nil, 0, true},
		{"but a deadline that is over is not", nil, -1, false},
	} {
		convey.Convey(c.name, t, func() {
			convey.So(canFinish(noon, c.spec, noon.Add(c.left)), convey.ShouldEqual, c.want)
		})
	}
}
