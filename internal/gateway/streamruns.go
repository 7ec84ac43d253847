package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/streamorigin"
)

const (
	// maxRunReports is how many targets of a service are asked at most, at random: other nodes that
	// start ask the others.
	maxRunReports = 64
	// runReportTimeout bounds one answer.
	runReportTimeout = time.Second
)

// readRuns asks the targets of a service what they are answering, if they have several versions. A
// target goes on with a stream until it notices that its node has ended, so that a node that starts
// soon after all others ended learns where their streams began.
func (s *streamOrigins) readRuns(ctx context.Context, targets Targets, list []directory.Target) {
	if !haveSeveralVersions(list) {
		return
	}
	asked := make([]directory.Target, 0, min(len(list), maxRunReports))
	for _, i := range rand.Perm(len(list))[:cap(asked)] {
		asked = append(asked, list[i])
	}
	var readers sync.WaitGroup
	for _, t := range asked {
		readers.Go(func() { s.readRunsOf(ctx, targets, t) })
	}
	readers.Wait()
	s.log.Info().Str("service", asked[0].Service).Int("targets", len(asked)).Int("runs", s.countRuns()).Msg("streams: asked targets what they run")
}

// haveSeveralVersions reports whether targets have several software versions.
func haveSeveralVersions(list []directory.Target) bool {
	for _, t := range list {
		if t.Version != list[0].Version {
			return true
		}
	}
	return false
}

// readRunsOf asks one target what it is answering. Only a run with an event began a stream.
func (s *streamOrigins) readRunsOf(ctx context.Context, targets Targets, t directory.Target) {
	ctx, cancel := context.WithTimeout(ctx, runReportTimeout)
	defer cancel()
	runs, err := targets.Runs(ctx, t)
	if err != nil {
		s.log.Info().Str("target", t.ID).Err(err).Msg("streams: asking a target what it runs failed")
		return
	}
	s.historyMu.Lock()
	defer s.historyMu.Unlock()
	for _, run := range runs {
		if run.Events > 0 {
			s.runs.Put(s.now(), run.Request, streamorigin.Origin{Service: t.Service, Version: t.Version}, maxOriginKeep)
		}
	}
}

// countRuns returns how many runs are known.
func (s *streamOrigins) countRuns() int {
	s.historyMu.Lock()
	defer s.historyMu.Unlock()
	return s.runs.Len()
}

// FindRun implements relay.StreamOrigins.
func (s *streamOrigins) FindRun(request string) (streamorigin.Origin, bool) {
	s.historyMu.Lock()
	defer s.historyMu.Unlock()
	return s.runs.Find(s.now(), request)
}
