package batching_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/honeydyke/honeydyke/internal/fixedseed"
	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/retrybudget"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

var start = time.Unix(1000, 0)

func service() *catalog.Service {
	return &catalog.Service{Name: "s", Batch: &catalog.Batch{
		MaxItems: 4, CallLatency: 240 * time.Millisecond, PerItem: 20 * time.Millisecond,
		MemoryBytes: 1000, ResultTTL: 4 * time.Second,
	}}
}

func targets(n int) []directory.Target {
	var list []directory.Target
	for i := range n {
		list = append(list, directory.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: fmt.Sprintf("d%d", i)})
	}
	return list
}

func newCore(n int) *batching.Core {
	c := batching.New(retrybudget.Policy{Ratio: 1, Window: 10 * time.Second, Extra: 100, MaxNodes: 1})
	c.Handle(start, batching.Configure{Service: service(), Targets: targets(n)})
	reportIdle(c, targets(n))
	return c
}

// reportIdle has targets report that they do and hold nothing.
func reportIdle(c *batching.Core, list []directory.Target) {
	for _, t := range list {
		c.Handle(start, batching.Inspected{Target: t.Incarnation(), Report: batching.Report{FreeBytes: 1000}})
	}
}

func items(first, n int, due time.Duration) []batching.Item {
	var list []batching.Item
	for i := range n {
		list = append(list, batching.Item{
			ID: batching.ItemID(first + i), Request: "r", Index: i, Bytes: 100,
			Due: start.Add(due), Deadline: start.Add(10 * time.Second),
		})
	}
	return list
}

func sends(effects []batching.Effect) []batching.Send {
	var list []batching.Send
	for _, e := range effects {
		if s, ok := e.(batching.Send); ok {
			list = append(list, s)
		}
	}
	return list
}

func answered(s batching.Send) batching.Finished {
	f := batching.Finished{Batch: s.Batch}
	for _, item := range s.Items {
		f.Outcomes = append(f.Outcomes, batching.Outcome{Handle: fmt.Sprintf("h%d-%d", s.Batch, item.ID)})
	}
	return f
}

func TestBatchCarriesTheMostUrgentItemsThatFitItsTarget(t *testing.T) {
	convey.Convey("Items of many requests gather for one batch while the target is busy", t, func() {
		c := newCore(1)
		first := sends(c.Handle(start, batching.Submit{Items: items(1, 1, 2*time.Second)}))
		convey.So(first, convey.ShouldHaveLength, 1)
		convey.So(sends(c.Handle(start, batching.Submit{Items: items(2, 2, 2*time.Second)})), convey.ShouldBeEmpty)
		convey.So(sends(c.Handle(start, batching.Submit{Items: items(4, 3, time.Second)})), convey.ShouldBeEmpty)
		second := sends(c.Handle(start.Add(300*time.Millisecond), answered(first[0])))
		convey.So(second, convey.ShouldHaveLength, 1)
		convey.So(second[0].Items, convey.ShouldHaveLength, 4)
		convey.Convey("and what is due first goes first", func() {
			convey.So(second[0].Items[0].ID, convey.ShouldEqual, 4)
		})
	})
	convey.Convey("A batch never needs more result memory than the target has", t, func() {
		c := newCore(1)
		big := items(1, 3, 2*time.Second)
		for i := range big {
			big[i].Bytes = 400
		}
		s := sends(c.Handle(start, batching.Submit{Items: big}))
		convey.So(s[0].Items, convey.ShouldHaveLength, 2)
		convey.Convey("and the rest waits until a result is released", func() {
			convey.So(sends(c.Handle(start.Add(300*time.Millisecond), answered(s[0]))), convey.ShouldBeEmpty)
			released := c.Handle(start.Add(400*time.Millisecond), batching.Release{Target: directory.Incarnation{ID: "t0"}, Handles: []string{"h1-1"}})
			convey.So(sends(released), convey.ShouldHaveLength, 1)
		})
	})
	convey.Convey("A target that drains gets no batch", t, func() {
		c := newCore(1)
		leaving := targets(1)
		leaving[0].State = directory.Draining
		c.Handle(start, batching.Configure{Service: service(), Targets: leaving})
		convey.So(sends(c.Handle(start, batching.Submit{Items: items(1, 1, time.Second)})), convey.ShouldBeEmpty)
	})
	convey.Convey("Items wait for a target in the data centre of their inputs, but not beyond their due time", t, func() {
		c := newCore(2)
		busy := items(1, 1, 2*time.Second)
		busy[0].DataCentre = "d0"
		s := sends(c.Handle(start, batching.Submit{Items: busy}))
		convey.So(s[0].Target.ID, convey.ShouldEqual, "t0")
		near := items(2, 1, 2*time.Second)
		near[0].DataCentre = "d0"
		convey.So(sends(c.Handle(start, batching.Submit{Items: near})), convey.ShouldBeEmpty)
		urgent := items(3, 1, 500*time.Millisecond)
		urgent[0].DataCentre = "d0"
		far := sends(c.Handle(start, batching.Submit{Items: urgent}))
		convey.So(far, convey.ShouldHaveLength, 1)
		convey.So(far[0].Target.ID, convey.ShouldEqual, "t1")
	})
	convey.Convey("With a target that has become slow", t, func() {
		c := newCore(2)
		s := sends(c.Handle(start, batching.Submit{Items: items(1, 8, 2*time.Second)}))
		c.Handle(start.Add(320*time.Millisecond), answered(s[0]))
		now := start.Add(1600 * time.Millisecond)
		c.Handle(now, answered(s[1]))
		fast := sends(c.Handle(now, batching.Submit{Items: items(10, 4, 4*time.Second)}))
		convey.So(fast, convey.ShouldHaveLength, 1)
		convey.So(fast[0].Target.ID, convey.ShouldEqual, "t0")
		convey.Convey("a few items wait for the fast one", func() {
			convey.So(sends(c.Handle(now, batching.Submit{Items: items(14, 4, 4*time.Second)})), convey.ShouldBeEmpty)
		})
		convey.Convey("more than that one can take next go to the slow one too", func() {
			slow := sends(c.Handle(now, batching.Submit{Items: items(14, 6, 4*time.Second)}))
			convey.So(slow, convey.ShouldHaveLength, 1)
			convey.So(slow[0].Target.ID, convey.ShouldEqual, "t1")
		})
	})
	convey.Convey("Items that cannot be in time go last", t, func() {
		c := newCore(1)
		s := sends(c.Handle(start, batching.Submit{Items: items(1, 1, 2*time.Second)}))
		back := items(2, 3, time.Second)
		for i := range back {
			back[i].Due = start.Add(100 * time.Millisecond)
		}
		c.Handle(start, batching.Submit{Items: back})
		c.Handle(start, batching.Submit{Items: items(5, 4, 2*time.Second)})
		next := sends(c.Handle(start.Add(300*time.Millisecond), answered(s[0])))
		convey.So(next[0].Items[0].ID, convey.ShouldEqual, 5)
		convey.So(next[0].Items[3].ID, convey.ShouldEqual, 8)
	})
}

func TestItemsOutliveTroubleAtTheirTarget(t *testing.T) {
	convey.Convey("A target counts as idle only after its last batch ended with its answer", t, func() {
		c := newCore(1)
		first := sends(c.Handle(start, batching.Submit{Items: items(1, 1, 2*time.Second)}))
		convey.So(first[0].TargetIdle, convey.ShouldBeFalse)
		c.Handle(start.Add(300*time.Millisecond), answered(first[0]))
		second := sends(c.Handle(start.Add(300*time.Millisecond), batching.Submit{Items: items(2, 1, 2*time.Second)}))
		convey.So(second[0].TargetIdle, convey.ShouldBeTrue)
		lost := verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "reset")
		c.Handle(start.Add(600*time.Millisecond), batching.Finished{Batch: second[0].Batch, Err: lost})
		third := sends(c.Handle(start.Add(time.Second), batching.Tick{}))
		convey.So(third[0].TargetIdle, convey.ShouldBeFalse)
	})
	convey.Convey("Items of a stuck batch go to another target, and its late results are discarded", t, func() {
		c := newCore(2)
		s := sends(c.Handle(start, batching.Submit{Items: items(1, 1, 5*time.Second)}))
		again := sends(c.Handle(start.Add(2*time.Second), batching.Tick{}))
		convey.So(again, convey.ShouldHaveLength, 1)
		convey.So(again[0].Target.ID, convey.ShouldNotEqual, s[0].Target.ID)
		c.Handle(start.Add(2300*time.Millisecond), answered(again[0]))
		late := c.Handle(start.Add(2400*time.Millisecond), answered(s[0]))
		convey.So(late, convey.ShouldHaveLength, 1)
		convey.So(late[0], convey.ShouldHaveSameTypeAs, batching.Discard{})
	})
	convey.Convey("An item that cannot finish before its deadline fails at once", t, func() {
		c := newCore(1)
		c.Handle(start, batching.Submit{Items: items(1, 1, 2*time.Second)})
		short := items(2, 1, time.Second)
		short[0].Deadline = start.Add(300 * time.Millisecond)
		c.Handle(start, batching.Submit{Items: short})
		out := c.Handle(start.Add(50*time.Millisecond), batching.Tick{})
		convey.So(out, convey.ShouldHaveLength, 1)
		convey.So(out[0].(batching.Resolve).Err.Reason(), convey.ShouldEqual, verdict.ReasonDeadline)
	})
	convey.Convey("An item whose input is gone is not retried", t, func() {
		c := newCore(1)
		s := sends(c.Handle(start, batching.Submit{Items: items(1, 1, time.Second)}))
		out := c.Handle(start.Add(time.Second), batching.Finished{Batch: s[0].Batch, Outcomes: []batching.Outcome{{Status: batching.InputGone}}})
		convey.So(out, convey.ShouldHaveLength, 1)
		convey.So(out[0].(batching.Resolve).Err.Reason(), convey.ShouldEqual, verdict.ReasonInputGone)
	})
	convey.Convey("An answer with another number of items than were sent counts as a failure", t, func() {
		c := newCore(1)
		s := sends(c.Handle(start, batching.Submit{Items: items(1, 2, 2*time.Second)}))
		out := c.Handle(start.Add(300*time.Millisecond), batching.Finished{Batch: s[0].Batch, Outcomes: []batching.Outcome{{Handle: "h"}}})
		for _, e := range out {
			_, resolved := e.(batching.Resolve)
			convey.So(resolved, convey.ShouldBeFalse)
		}
	})
}

// oracle follows a core from outside and knows what must hold.
type oracle struct {
	t        *rapid.T
	core     *batching.Core
	now      time.Time
	open     map[batching.ItemID]bool
	running  map[batching.BatchID]batching.Send
	busy     map[string]batching.BatchID
	draining map[string]bool
	// unclaimed are results that a target computed and that are neither used nor
	// discarded yet.
	unclaimed map[string]bool
	// used maps the results of ended items to their targets.
	used map[string]string
	// inspected are the targets whose report is awaited.
	inspected map[string]bool
	next      int
	handles   int
}

func (o *oracle) handle(ev batching.Event) {
	for _, e := range o.core.Handle(o.now, ev) {
		switch e := e.(type) {
		case batching.Send:
			o.start(e)
		case batching.Inspect:
			if o.inspected[e.Target.ID] {
				o.t.Fatalf("target %s is inspected twice at once", e.Target.ID)
			}
			o.inspected[e.Target.ID] = true
		case batching.Resolve:
			if !o.open[e.ItemID] {
				o.t.Fatalf("item %d ended twice or after it was withdrawn", e.ItemID)
			}
			delete(o.open, e.ItemID)
			if e.Err == nil {
				o.used[e.Result.Handle] = e.Result.Target
				delete(o.unclaimed, e.Result.Handle)
			}
		case batching.Discard:
			for _, h := range e.Handles {
				if !o.unclaimed[h] && o.used[h] == "" {
					o.t.Fatalf("result %s was discarded twice or never computed", h)
				}
				delete(o.unclaimed, h)
				delete(o.used, h)
			}
		}
	}
	if len(o.unclaimed) > 0 {
		o.t.Fatalf("results %v are neither used nor discarded", o.unclaimed)
	}
}

func (o *oracle) start(e batching.Send) {
	if o.busy[e.Target.ID] != 0 {
		o.t.Fatalf("target %s got a second batch", e.Target.ID)
	}
	if o.draining[e.Target.ID] {
		o.t.Fatalf("target %s drains and got a batch", e.Target.ID)
	}
	if len(e.Items) == 0 || len(e.Items) > 4 {
		o.t.Fatalf("a batch has %d items", len(e.Items))
	}
	for _, item := range e.Items {
		if !o.open[item.ID] {
			o.t.Fatalf("item %d was sent after its end", item.ID)
		}
	}
	o.busy[e.Target.ID] = e.Batch
	o.running[e.Batch] = e
}

// report answers an inspection, if any awaits that.
func (o *oracle) report(r batching.Report, err *verdict.Error) {
	for id := range o.inspected {
		delete(o.inspected, id)
		o.handle(batching.Inspected{Target: directory.Incarnation{ID: id}, Report: r, Err: err})
		return
	}
}

// oldestBatch returns the oldest running batch.
func (o *oracle) oldestBatch() (batching.Send, bool) {
	var oldest batching.Send
	for id, s := range o.running {
		if oldest.Batch == 0 || id < oldest.Batch {
			oldest = s
		}
	}
	return oldest, oldest.Batch != 0
}

func (o *oracle) finish(s batching.Send) {
	delete(o.running, s.Batch)
	delete(o.busy, s.Target.ID)
	f := batching.Finished{Batch: s.Batch}
	if rapid.IntRange(0, 5).Draw(o.t, "fails") == 0 {
		f.Err = verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "lost")
		o.handle(f)
		return
	}
	for range s.Items {
		refusal := batching.Status(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 3, 4}).Draw(o.t, "refusal"))
		out := batching.Outcome{Status: refusal}
		if refusal == batching.Done {
			o.handles++
			out.Handle = fmt.Sprintf("h%d", o.handles)
			o.unclaimed[out.Handle] = true
		}
		f.Outcomes = append(f.Outcomes, out)
	}
	o.handle(f)
}

func TestEveryItemEndsOnceAndNoResultIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{
			t: t, core: batching.New(retrybudget.Policy{Ratio: 0.2, Window: 10 * time.Second, Extra: 5, MaxNodes: 1}), now: start,
			open: map[batching.ItemID]bool{}, running: map[batching.BatchID]batching.Send{}, busy: map[string]batching.BatchID{},
			draining: map[string]bool{}, unclaimed: map[string]bool{}, used: map[string]string{}, inspected: map[string]bool{},
		}
		o.handle(batching.Configure{Service: service(), Targets: targets(3)})
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				n := rapid.IntRange(1, 6).Draw(t, "items")
				list := items(o.next+1, n, time.Duration(rapid.IntRange(0, 4000).Draw(t, "due"))*time.Millisecond)
				for i := range list {
					list[i].Due = o.now.Add(list[i].Due.Sub(start))
					list[i].Deadline = o.now.Add(time.Duration(rapid.IntRange(100, 5000).Draw(t, "deadline")) * time.Millisecond)
					list[i].DataCentre = rapid.SampledFrom([]string{"", "d0", "d1", "gone"}).Draw(t, "near")
					o.open[list[i].ID] = true
				}
				o.next += n
				o.handle(batching.Submit{Items: list})
			},
			"withdraw": func(t *rapid.T) {
				token := batching.ItemID(rapid.IntRange(1, o.next+1).Draw(t, "token"))
				delete(o.open, token)
				o.handle(batching.Withdraw{ItemIDs: []batching.ItemID{token}})
			},
			"finish": func(t *rapid.T) {
				if s, ok := o.oldestBatch(); ok {
					o.finish(s)
				}
			},
			"report": func(t *rapid.T) {
				if rapid.IntRange(0, 5).Draw(t, "no report") == 0 {
					o.report(batching.Report{}, verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "lost"))
					return
				}
				o.report(batching.Report{
					Busy: rapid.Bool().Draw(t, "busy"), FreeBytes: int64(rapid.IntRange(0, 1000).Draw(t, "free")),
				}, nil)
			},
			"release": func(*rapid.T) {
				for h, target := range o.used {
					o.handle(batching.Release{Target: directory.ParseIncarnation(target), Handles: []string{h}})
					// The core may have forgotten the target; its results then expire there.
					delete(o.used, h)
					return
				}
			},
			"time": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
				o.handle(batching.Tick{})
			},
			"targets": func(t *rapid.T) {
				list := targets(3)
				for i := range list {
					o.draining[list[i].ID] = rapid.Bool().Draw(t, "drains")
					if o.draining[list[i].ID] {
						list[i].State = directory.Draining
					}
				}
				o.handle(batching.Configure{Service: service(), Targets: list})
			},
		})
		// In the end every item has ended.
		for range 200 {
			o.now = o.now.Add(100 * time.Millisecond)
			for len(o.inspected) > 0 {
				o.report(batching.Report{FreeBytes: 1000}, nil)
			}
			if s, ok := o.oldestBatch(); ok {
				o.finish(s)
			}
			o.handle(batching.Tick{})
		}
		if len(o.open) > 0 {
			t.Fatalf("items %v never ended", o.open)
		}
	})
}

func TestSameEventsGiveTheSameEffects(t *testing.T) {
	convey.Convey("Batches that get stuck at once are given up in the order of their targets", t, func() {
		for range 20 {
			c := batching.New(retrybudget.Policy{Extra: 4, MaxNodes: 1, Window: 10 * time.Second})
			c.Handle(start, batching.Configure{Service: service(), Targets: targets(3)})
			reportIdle(c, targets(3))
			convey.So(sends(c.Handle(start, batching.Submit{Items: items(1, 12, 5*time.Second)})), convey.ShouldHaveLength, 3)
			// The budget has 4 retries: they go to the items of the first target.
			effects := c.Handle(start.Add(2*time.Second), batching.Tick{})
			convey.So(effects, convey.ShouldHaveLength, 8)
			for i, e := range effects {
				convey.So(e.(batching.Resolve).ItemID, convey.ShouldEqual, i+5)
			}
		}
	})
}
