package batching_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// restarted lists the targets of newCore, the first of which has started again.
func restarted(n int) []directory.Target {
	list := targets(n)
	list[0].StartMs = 2
	return list
}

// TestRestartedTarget holds that results, back-off and the batch of a target end with its
// life, when it starts again under its identity.
func TestRestartedTarget(t *testing.T) {
	convey.Convey("Given a target that holds results, and starts again", t, func() {
		c := newCore(1)
		sent := sends(c.Handle(start, batching.Submit{Items: items(1, 4, 5*time.Second)}))
		convey.So(sent, convey.ShouldHaveLength, 1)
		outcomes := make([]batching.Outcome, 4)
		for i := range outcomes {
			outcomes[i].Handle = string(rune('a' + i))
		}
		c.Handle(start.Add(300*time.Millisecond), batching.Finished{Batch: sent[0].Batch, Outcomes: outcomes})
		convey.So(c.State(start.Add(300*time.Millisecond)).UsedBytes, convey.ShouldBeGreaterThan, 0)
		now := start.Add(400 * time.Millisecond)
		c.Handle(now, batching.Configure{Service: service(), Targets: restarted(1)})
		convey.Convey("the results take no memory any more, and a release of them changes nothing", func() {
			convey.So(c.State(now).UsedBytes, convey.ShouldEqual, 0)
			effects := c.Handle(now, batching.Release{Target: targets(1)[0].Incarnation(), Handles: []string{"a"}})
			convey.So(effects, convey.ShouldBeEmpty)
		})
	})
	convey.Convey("A target that backs off takes a batch at once when it has started again", t, func() {
		c := newCore(1)
		sent := sends(c.Handle(start, batching.Submit{Items: items(1, 4, 5*time.Second)}))
		lost := verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "lost")
		convey.So(sends(c.Handle(start, batching.Finished{Batch: sent[0].Batch, Err: lost})), convey.ShouldBeEmpty)
		c.Handle(start, batching.Configure{Service: service(), Targets: restarted(1)})
		report := batching.Inspected{Target: restarted(1)[0].Incarnation(), Report: batching.Report{FreeBytes: 1000}}
		convey.So(sends(c.Handle(start, report)), convey.ShouldHaveLength, 1)
	})
	convey.Convey("The batch of the earlier life does not keep the new one from work, and its items are retried when it ends", t, func() {
		c := newCore(1)
		first := sends(c.Handle(start, batching.Submit{Items: items(1, 4, 5*time.Second)}))
		c.Handle(start, batching.Configure{Service: service(), Targets: restarted(1)})
		c.Handle(start, batching.Inspected{Target: restarted(1)[0].Incarnation(), Report: batching.Report{FreeBytes: 1000}})
		second := sends(c.Handle(start, batching.Submit{Items: items(5, 4, 5*time.Second)}))
		convey.So(second, convey.ShouldHaveLength, 1)
		convey.So(second[0].Target.StartMs, convey.ShouldEqual, 2)
		lost := verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "lost")
		c.Handle(start, batching.Finished{Batch: first[0].Batch, Err: lost})
		convey.So(c.State(start).Retries, convey.ShouldEqual, 4)
	})
}
