package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/honeydyke/honeydyke/internal/gateway/targetspeed"
	"github.com/honeydyke/honeydyke/internal/message"
	"github.com/honeydyke/honeydyke/internal/wait"
)

const (
	// slowLogInterval is the least time between two log lines about slow targets.
	slowLogInterval = time.Second
	// slowLogFactor is the slowdown from which on a target is logged: below it the target is
	// still used like others under load.
	slowLogFactor = 2
	// maxSlowLogged is the maximum number of targets in a log line, which bounds its length.
	maxSlowLogged = 10
)

// Users of a target's speed, as operators see them. A target may be in the state for several.
const (
	speedOfBatches = "batches"
	speedOfPrompts = "prompts"
	speedOfCalls   = "calls"
)

// targetSpeeds collects what this node knows about the speed of the targets that report it.
type targetSpeeds struct {
	log zerolog.Logger
	// sources returns the targets that each user of speeds knows.
	sources func(ctx context.Context) map[string][]targetspeed.View
}

// list returns the known targets for the state, those that are the slowest first.
func (s *targetSpeeds) list(ctx context.Context) []message.TargetSpeed {
	var list []message.TargetSpeed
	for use, views := range s.sources(ctx) {
		for _, v := range views {
			list = append(list, message.TargetSpeed{
				Target: v.Target, Use: use, Reported: v.Reported, Observed: v.Observed, Used: v.Used, AgeMs: int(v.Age.Milliseconds()),
			})
		}
	}
	slices.SortFunc(list, func(a, b message.TargetSpeed) int {
		return cmp.Or(cmp.Compare(b.Used, a.Used), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Use, b.Use))
	})
	return list
}

// run logs the targets that are used at more than slowLogFactor times the usual time, until ctx
// is done. wait.For fails only then.
func (s *targetSpeeds) run(ctx context.Context) {
	for wait.For(ctx, slowLogInterval) == nil {
		s.logSlow(ctx)
	}
}

// logSlow logs the slow targets, if there are any.
func (s *targetSpeeds) logSlow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	list := s.list(ctx)
	slow, _ := slices.BinarySearchFunc(list, slowLogFactor, func(t message.TargetSpeed, factor float64) int { return cmp.Compare(factor, t.Used) })
	if slow == 0 {
		return
	}
	targets := zerolog.Arr()
	for _, t := range list[:min(slow, maxSlowLogged)] {
		targets.Dict(zerolog.Dict().Str("target", t.Target).Str("use", t.Use).
			Float64("reported", t.Reported).Float64("observed", t.Observed).Float64("used", t.Used).Int("ageMs", t.AgeMs))
	}
	s.log.Info().Int("slow", slow).Int("known", len(list)).Array("slowest", targets).Msg("speed: targets are slow")
}
