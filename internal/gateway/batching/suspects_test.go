package batching_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// crashingService simulates a service whose targets crash when they get an item of
// crashingRequest and answer all others. A crashed target is replaced.
type crashingService struct {
	core *batching.Core
	now  time.Time
	// crashes counts the crashed targets; results and failures are by request.
	crashes  int
	results  map[string]int
	failures map[string]*verdict.Error
	requests map[batching.ItemID]string
}

const crashingRequest = "crashes its targets"

// run submits four items per request and runs until no work is left.
func (s *crashingService) run(requests ...string) {
	var list []batching.Item
	for _, request := range requests {
		for _, item := range items(1, 4, 20*time.Second) {
			item.ID = batching.ItemID(len(s.requests) + 1)
			item.Request = request
			s.requests[item.ID] = request
			list = append(list, item)
		}
	}
	effects := s.core.Handle(s.now, batching.Submit{Items: list})
	for range 200 {
		s.now = s.now.Add(50 * time.Millisecond)
		next := s.apply(effects)
		if len(next) == 0 && s.core.Idle() {
			return
		}
		effects = append(next, s.core.Handle(s.now, batching.Tick{})...)
	}
}

// apply carries out effects and returns those that follow.
func (s *crashingService) apply(effects []batching.Effect) []batching.Effect {
	var next []batching.Effect
	for _, e := range append([]batching.Effect(nil), effects...) {
		switch e := e.(type) {
		case batching.Resolve:
			s.resolve(e)
		case batching.Send:
			next = append(next, s.core.Handle(s.now, s.finish(e))...)
		}
	}
	return next
}

func (s *crashingService) resolve(e batching.Resolve) {
	request := s.requests[e.ItemID]
	if e.Err != nil {
		s.failures[request] = e.Err
		return
	}
	s.results[request]++
}

// finish returns how a batch ends.
func (s *crashingService) finish(e batching.Send) batching.Finished {
	for _, item := range e.Items {
		if item.Request == crashingRequest {
			s.crashes++
			lost := verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, "lost")
			return batching.Finished{Batch: e.Batch, Err: lost, TargetCrashed: true}
		}
	}
	outcomes := make([]batching.Outcome, len(e.Items))
	for i, item := range e.Items {
		outcomes[i].Handle = fmt.Sprint("result-", item.ID)
	}
	return batching.Finished{Batch: e.Batch, Outcomes: outcomes}
}

func newCrashingService() *crashingService {
	return &crashingService{
		core: newCore(3), now: start, results: map[string]int{}, failures: map[string]*verdict.Error{}, requests: map[batching.ItemID]string{},
	}
}

// TestItemsThatCrashTargets checks that a request whose items crash the targets of a
// stage crashes two of them, and that items of other requests in the same batches are
// computed. When crashes were not counted, each item of the request was part of four
// batches, and so were the items that shared them.
func TestItemsThatCrashTargets(t *testing.T) {
	convey.Convey("Given a request among others whose items crash each target that gets them", t, func() {
		s := newCrashingService()
		s.run("a", "b", crashingRequest, "c", "d")
		convey.Convey("it fails after the second crash", func() {
			convey.So(s.crashes, convey.ShouldEqual, 2)
			convey.So(s.failures[crashingRequest].Reason(), convey.ShouldEqual, verdict.ReasonQuarantined)
			convey.So(s.failures[crashingRequest].Verdict(), convey.ShouldEqual, verdict.NotRun)
		})
		convey.Convey("and all other requests get their results", func() {
			convey.So(s.failures, convey.ShouldHaveLength, 1)
			for _, request := range []string{"a", "b", "c", "d"} {
				convey.So(s.results[request], convey.ShouldEqual, 4)
			}
		})
	})
	convey.Convey("A request that was suspect when it was submitted crashes one target", t, func() {
		s := newCrashingService()
		s.run("a")
		list := items(1, 4, 20*time.Second)
		for i := range list {
			list[i].ID = batching.ItemID(100 + i)
			list[i].Request, list[i].Suspect = crashingRequest, true
			s.requests[list[i].ID] = crashingRequest
		}
		effects := s.core.Handle(s.now, batching.Submit{Items: list})
		for range 50 {
			s.now = s.now.Add(50 * time.Millisecond)
			effects = append(s.apply(effects), s.core.Handle(s.now, batching.Tick{})...)
		}
		convey.So(s.crashes, convey.ShouldEqual, 1)
		convey.So(s.failures[crashingRequest].Reason(), convey.ShouldEqual, verdict.ReasonQuarantined)
	})
	convey.Convey("Suspected items of two requests do not share a batch; those of one request and other items do", t, func() {
		list := append(items(1, 2, 5*time.Second), items(3, 2, 5*time.Second)...)
		for i := range list {
			list[i].Request, list[i].Suspect = fmt.Sprint("suspect-", i/2), true
		}
		others := items(5, 2, 6*time.Second)
		for i := range others {
			others[i].Request = "other"
		}
		sent := sends(newCore(1).Handle(start, batching.Submit{Items: append(list, others...)}))
		convey.So(sent, convey.ShouldHaveLength, 1)
		requests := map[string]int{}
		for _, item := range sent[0].Items {
			requests[item.Request]++
		}
		convey.So(requests, convey.ShouldResemble, map[string]int{"suspect-0": 2, "other": 2})
	})
}
