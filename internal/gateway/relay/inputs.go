package relay

import (
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/relay/rules"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// missingInputs records when inputs that were released early turned out to be missing, by
// the service that reads them. It is safe for concurrent use.
type missingInputs struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func newMissingInputs() *missingInputs { return &missingInputs{last: map[string]time.Time{}} }

// lastMissing returns when inputs that had been released early were last missing at a
// service; zero for never.
func (m *missingInputs) lastMissing(service string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.last[service]
}

// record records that inputs of a service were missing.
func (m *missingInputs) record(now time.Time, service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last[service] = now
}

// scheduleInputRelease schedules the release of the request's inputs for when the engine
// that the request was just sent to should have fetched them. The returned function
// cancels the release and is called when the attempt ends.
func (s *sender) scheduleInputRelease() (end func()) {
	transfers := s.runner.results.transfers(s.route.LastStages())
	if !s.service.Engine || len(transfers) == 0 {
		return func() {}
	}
	longest := rules.LongestTransfer(transfers)
	if !rules.ReleaseBeforeResponse(s.now(), longest, s.missingInputs.lastMissing(s.service.Name)) {
		return func() {}
	}
	results := s.runner.results
	timer := time.AfterFunc(rules.InputsReadTime(longest), func() { results.releaseInputs(inputsReleasedEarly) })
	return func() { timer.Stop() }
}

// recordMissingInputs records that inputs were missing if an attempt failed for that
// reason after an early release.
func (s *sender) recordMissingInputs(err *verdict.Error) {
	if err != nil && err.Reason() == verdict.ReasonInputGone && s.runner.results.wereReleasedEarly() {
		s.missingInputs.record(s.now(), s.service.Name)
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
			held[result.Target] += r.runner.route.Stages[i].ResultBytes
		}
		for _, bytes := range held {
			list = append(list, rules.Transfer{Bytes: bytes, BytesPerSecond: r.runner.stages[i].BytesPerSecond})
		}
	}
	return list
}
