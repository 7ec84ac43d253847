package placement

import (
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/targetspeed"
)

// engineSpeed is the speed of an engine that reports it: how many times the time per token of
// the service its prefills take, by its own prompts and by its reports. Engines that report
// nothing all have the time per token of the service.
type engineSpeed struct {
	calls   targetspeed.Calls
	reports targetspeed.Estimate
}

func (s engineSpeed) at(now time.Time) float64 { return s.reports.At(now, s.calls.At(now)) }

// RecordReport records the slowdown that an engine reported with the first event of a prompt; 0
// for none. It is used by the RecordPrefill of the prompt that follows.
func (p *EngineChooser) RecordReport(request string, slowdown float64) {
	if r, known := p.pending[request]; known {
		r.reported = slowdown
		p.pending[request] = r
	}
}

// recordSpeed records the speed of an engine with the first event of a prompt. msPerToken is
// the time per token that its prefill took; 0 if unknown. It returns the slowdown of the
// engine by which that time is divided before it counts for the service.
func (p *EngineChooser) recordSpeed(now time.Time, r pendingPrompt, msPerToken float64) float64 {
	s := p.speeds[r.engine]
	if r.reported == 0 && !s.reports.Known() {
		return 1
	}
	took := msPerToken / p.prefillMsPerToken
	s.reports = s.reports.WithAnswer(targetspeed.Answer{At: now, Reported: r.reported, Took: took, Observed: s.calls.At(now)})
	if took > 0 {
		s.calls = s.calls.With(now, took)
	}
	if !s.reports.Known() {
		delete(p.speeds, r.engine)
		return 1
	}
	p.speeds[r.engine] = s
	return s.at(now)
}

// slowdown returns how many times the time per token of the service an engine takes.
func (p *EngineChooser) slowdown(now time.Time, engine directory.Incarnation) float64 {
	if s, known := p.speeds[engine]; known {
		return s.at(now)
	}
	return 1
}

// Speeds describes the engines that report their speed.
func (p *EngineChooser) Speeds(now time.Time) []targetspeed.View {
	var list []targetspeed.View
	for l, s := range p.speeds {
		list = append(list, s.reports.View(now, l.String(), s.calls.At(now)))
	}
	return list
}
