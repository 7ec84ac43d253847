package placement_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/placement"
	"github.com/honeydyke/honeydyke/internal/gateway/warmup"
)

// engine is one life of an engine.
func engine(id string, born int64) directory.Target {
	return directory.Target{ID: id, Service: "s", Address: "10.0.0.1:1", DataCentre: "d", Slots: 8, StartMs: born}
}

// TestRestartedTarget holds that what was learnt of a target ends with its life, when it
// starts again under its identity.
func TestRestartedTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	query := placement.Query{DataCentre: "d", MayAssign: func(string) bool { return true }, Limiter: warmup.NewLimiter()}
	convey.Convey("Ejection, failures and calls outstanding of its earlier life count no more", t, func() {
		table := placement.NewTargetTable()
		old, other := engine("a", 1), engine("b", 1)
		table.Eject(now, old.Incarnation())
		for range 20 {
			table.RecordStart(old.Incarnation())
		}
		convey.So(table.Ejected(now, directory.New(old, other)), convey.ShouldResemble, []string{"a"})
		fresh := engine("a", 2)
		convey.So(table.Ejected(now, directory.New(fresh, other)), convey.ShouldBeEmpty)
		got, _ := table.LeastLoaded(now, []directory.Target{fresh, other}, query)
		convey.So(got.ID, convey.ShouldEqual, "a")
		convey.Convey("and an end of its earlier calls changes nothing of the new one", func() {
			table.RecordEnd(now, old.Incarnation(), time.Second, true)
			got, _ := table.LeastLoaded(now, []directory.Target{fresh, other}, query)
			convey.So(got.ID, convey.ShouldEqual, "a")
		})
	})
	convey.Convey("Cached parts and pending prompts of its earlier life count no more", t, func() {
		p := placement.NewEngineChooser()
		prompt := placement.Prompt{
			Request: "1", Shared: []placement.SharedPart{{Key: 7, Tokens: 5000}}, Tokens: 5100, Slack: time.Second,
			MayAssign: func() bool { return true },
		}
		engines := []directory.Target{engine("a", 1), engine("b", 1)}
		first, _ := p.Place(now, engines, prompt)
		p.RecordPrefill(now, "1", true)
		prompt.Request = "2"
		again, _ := p.Place(now, engines, prompt)
		convey.So(again.ID, convey.ShouldEqual, first.ID)
		p.RecordPrefill(now, "2", true)
		// The other engine has the part too, then the first one starts again.
		prompt.Request, prompt.Exclude = "3", []string{first.ID}
		second, _ := p.Place(now, engines, prompt)
		p.RecordPrefill(now, "3", true)
		for i := range engines {
			if engines[i].ID == first.ID {
				engines[i].StartMs = 2
			}
		}
		prompt.Request, prompt.Exclude = "4", nil
		got, _ := p.Place(now, engines, prompt)
		convey.So(got.ID, convey.ShouldEqual, second.ID)
	})
}
