package batching_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// endingService is a service whose targets end when they get an item of one request, and
// answer others. An ended target is replaced.
type endingService struct {
	core *batching.Core
	now  time.Time
	// ended counts the targets that ended, and failures those of each request's items.
	ended    int
	results  map[string]int
	failures map[string]*verdict.Error
	requests map[batching.ItemID]string
}

const endingRequest = "ends its targets"

// play submits four items of each request and plays until nothing is left to do.
func (s *endingService) play(requests ...string) {
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
		next := s.carryOut(effects)
		if len(next) == 0 && s.core.Idle() {
			return
		}
		effects = append(next, s.core.Handle(s.now, batching.Tick{})...)
	}
}

// carryOut carries effects out and returns those that follow.
func (s *endingService) carryOut(effects []batching.Effect) []batching.Effect {
	var next []batching.Effect
	for _, e := range append([]batching.Effect(nil), effects...) {
		switch e := e.(type) {
		case batching.Resolve:
			s.resolved(e)
		case batching.Send:
			next = append(next, s.core.Handle(s.now, s.end(e))...)
		}
	}
	return next
}

func (s *endingService) resolved(e batching.Resolve) {
	request := s.requests[e.ItemID]
	if e.Err != nil {
		s.failures[request] = e.Err
		return
	}
	s.results[request]++
}

// end is how a batch ends.
func (s *endingService) end(e batching.Send) batching.Finished {
	for _, item := range e.Items {
		if item.Request == endingRequest {
			s.ended++
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

func newEndingService() *endingService {
	return &endingService{
		core: newCore(3), now: start, results: map[string]int{}, failures: map[string]*verdict.Error{}, requests: map[batching.ItemID]string{},
	}
}

// TestItemsThatEndTheirTargets holds that a request whose items end the targets of a stage
// ends two of them, and that the items of others which shared their batches are computed.
// Without a memory of ends each of its items was part of four batches, and so were those
// that shared them.
func TestItemsThatEndTheirTargets(t *testing.T) {
	convey.Convey("Given a request among others whose items end each target that gets them", t, func() {
		s := newEndingService()
		s.play("a", "b", endingRequest, "c", "d")
		convey.Convey("it fails after the second target", func() {
			convey.So(s.ended, convey.ShouldEqual, 2)
			convey.So(s.failures[endingRequest].Reason(), convey.ShouldEqual, verdict.ReasonQuarantined)
			convey.So(s.failures[endingRequest].Verdict(), convey.ShouldEqual, verdict.NotRun)
		})
		convey.Convey("and all others get their results", func() {
			convey.So(s.failures, convey.ShouldHaveLength, 1)
			for _, request := range []string{"a", "b", "c", "d"} {
				convey.So(s.results[request], convey.ShouldEqual, 4)
			}
		})
	})
	convey.Convey("A request that ended a target before, at another time, ends one more", t, func() {
		s := newEndingService()
		s.play("a")
		list := items(1, 4, 20*time.Second)
		for i := range list {
			list[i].ID = batching.ItemID(100 + i)
			list[i].Request, list[i].Suspect = endingRequest, true
			s.requests[list[i].ID] = endingRequest
		}
		effects := s.core.Handle(s.now, batching.Submit{Items: list})
		for range 50 {
			s.now = s.now.Add(50 * time.Millisecond)
			effects = append(s.carryOut(effects), s.core.Handle(s.now, batching.Tick{})...)
		}
		convey.So(s.ended, convey.ShouldEqual, 1)
		convey.So(s.failures[endingRequest].Reason(), convey.ShouldEqual, verdict.ReasonQuarantined)
	})
	convey.Convey("Items of two suspected requests do not share a batch, those of one and of others do", t, func() {
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
