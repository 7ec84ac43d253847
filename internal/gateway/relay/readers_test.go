package relay

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
)

// TestReadersOfAStageThatIsComputedAgain guards against results that are released before the attempt which
// reads them, since an earlier attempt of the same stage has read them or says so late.
func TestReadersOfAStageThatIsComputedAgain(t *testing.T) {
	route := &catalog.Route{Stages: []catalog.Stage{{}, {After: []int{0}}, {After: []int{1}}}}
	stages := rules.Stages{{Items: 1}, {After: []int{0}, Items: 1}, {After: []int{1}, Items: 1}}
	r := newStageResults(&stageRunner{resolvedRequest: &resolvedRequest{route: route, stages: stages}})
	convey.Convey("Each attempt reads anew, and a late report of an earlier one changes nothing", t, func() {
		first := r.beginAttempt(1)
		r.inputsRead(1, first)
		convey.So(r.readers(0), convey.ShouldEqual, 0)
		second := r.beginAttempt(1)
		convey.So(r.readers(0), convey.ShouldEqual, 1)
		r.inputsRead(1, first)
		convey.So(r.readers(0), convey.ShouldEqual, 1)
		r.inputsRead(1, second)
		convey.So(r.readers(0), convey.ShouldEqual, 0)
	})
}
