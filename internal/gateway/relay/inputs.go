package relay

import (
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// inputsGone records when inputs that were released early turned out to be missing, by the
// service that reads them. It is safe for concurrent use.
type inputsGone struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func newInputsGone() *inputsGone { return &inputsGone{last: map[string]time.Time{}} }

// of returns when inputs of a service were last missing; zero for never.
func (g *inputsGone) of(service string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.last[service]
}

// note records that inputs of a service were missing.
func (g *inputsGone) note(now time.Time, service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last[service] = now
}

// releaseInputs schedules the release of the request's inputs for when the engine that the
// request was just sent to should have fetched them. The returned function cancels the
// release and is called when the attempt ends.
func (s *sender) releaseInputs() (end func()) {
	transfers := s.work.results.transfers(s.route.LastStages())
	if !s.service.Engine || len(transfers) == 0 {
		return func() {}
	}
	longest := rules.LongestTransfer(transfers)
	if !rules.ReleaseBeforeAnswer(s.now(), longest, s.inputsGone.of(s.service.Name)) {
		return func() {}
	}
	results := s.work.results
	timer := time.AfterFunc(rules.InputsReadTime(longest), func() { results.consumed(releasedEarly) })
	return func() { timer.Stop() }
}

// noteInputsGone records it if an attempt failed because its inputs were missing and they
// had been released early.
func (s *sender) noteInputsGone(err *verdict.Error) {
	if err != nil && err.Reason() == verdict.ReasonInputGone && s.work.results.wereReleasedEarly() {
		s.inputsGone.note(s.now(), s.service.Name)
	}
}

// transfers returns the transfers of the results of some stages, one for each stage and
// target that holds any.
func (r *stageResults) transfers(stages []int) []rules.Transfer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []rules.Transfer
	for _, i := range stages {
		held := make(map[string]int64)
		for _, result := range r.results[i] {
			held[result.Target] += r.work.route.Stages[i].ResultBytes
		}
		for _, bytes := range held {
			list = append(list, rules.Transfer{Bytes: bytes, BytesPerSecond: r.work.stages[i].BytesPerSecond})
		}
	}
	return list
}
