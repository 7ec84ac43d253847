package placement_test

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
)

// mixedEngines returns n engines, of which one has the version "old".
func mixedEngines(n int) []directory.Target {
	list := engines(n)
	for i := range list {
		list[i].Version = directory.VersionOf("new")
	}
	list[n-1].Version = directory.VersionOf("old")
	return list
}

// TestRequiredVersion guards against a choice of a target that has another software version
// than required, among few targets and among so many that only a shortlist is compared.
func TestRequiredVersion(t *testing.T) {
	old, gone := directory.VersionOf("old"), directory.VersionOf("gone")
	for _, n := range []int{3, 200} {
		list := mixedEngines(n)
		only := list[n-1].ID
		rules := map[string]func(v directory.Version) (directory.Target, bool){
			"EngineChooser.Place": func(v directory.Version) (directory.Target, bool) {
				placed, ok := placement.NewEngineChooser().Place(now, list, placement.Prompt{Request: "r", Tokens: 100, Version: v, MayAssign: func() bool { return true }})
				return placed.Target, ok
			},
			"ByPrefix": func(v directory.Version) (directory.Target, bool) {
				return placement.NewTargetTable().ByPrefix(now, list, placement.Query{Key: 7, SharedTokens: 100, Version: v, Limiter: warmup.NewLimiter()})
			},
			"LeastLoaded": func(v directory.Version) (directory.Target, bool) {
				return placement.NewTargetTable().LeastLoaded(now, list, placement.Query{Version: v, Limiter: warmup.NewLimiter()})
			},
			"LeastLoaded of a sample": func(v directory.Version) (directory.Target, bool) {
				table := placement.NewTargetTable()
				for _, c := range list {
					table.RecordSpeed(now, c.Service, c.Incarnation(), 0, 1)
				}
				return table.LeastLoaded(now, list, placement.Query{Version: v, Limiter: warmup.NewLimiter(), Sample: 2, Random: func(int) int { return 0 }})
			},
		}
		for name, choose := range rules {
			convey.Convey(fmt.Sprintf("%s among %d targets", name, n), t, func() {
				convey.Convey("chooses the only one of the version", func() {
					chosen, ok := choose(old)
					convey.So(ok, convey.ShouldBeTrue)
					convey.So(chosen.ID, convey.ShouldEqual, only)
				})
				convey.Convey("chooses none if none is of the version", func() {
					_, ok := choose(gone)
					convey.So(ok, convey.ShouldBeFalse)
				})
				convey.Convey("chooses any if no version is required", func() {
					_, ok := choose(directory.Version(0))
					convey.So(ok, convey.ShouldBeTrue)
				})
			})
		}
	}
}
