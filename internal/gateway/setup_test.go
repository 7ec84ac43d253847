package gateway

import (
	"context"
	"net/http"

	"github.com/honeydyke/honeydyke/internal/answers"
	"github.com/honeydyke/honeydyke/internal/delivery"
	"github.com/honeydyke/honeydyke/internal/gateway/backpressure"
	"github.com/honeydyke/honeydyke/internal/gateway/batching"
	"github.com/honeydyke/honeydyke/internal/gateway/directory"
	"github.com/honeydyke/honeydyke/internal/gateway/relay"
	"github.com/honeydyke/honeydyke/pkg/settings"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// localSettings returns the settings of a node that listens on free local ports.
func localSettings() *settings.Settings {
	const free = "127.0.0.1:0"
	return &settings.Settings{
		DataCentre: "d", Listen: settings.Listen{Callers: free, Peers: free, Admin: free},
		Gateway: &settings.Gateway{Store: "-", Ready: free},
	}
}

// noCallers returns a handler for tests without callers.
func noCallers(Relay) http.Handler { return http.NotFoundHandler() }

// noTargets are targets for tests that call none.
type noTargets struct{}

func (noTargets) Send(context.Context, relay.Call) (*relay.Reply, *verdict.Error) {
	return nil, verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "none")
}

func (noTargets) HasEnded(context.Context, directory.Target) bool { return false }

func (noTargets) OnSignal(func(directory.Target, backpressure.Signal)) {}

func (noTargets) UsePaths(delivery.Paths) {}

func (noTargets) UseAnswers(*answers.Pool) {}
func (noTargets) CloseIdle()               {}

func (noTargets) RunBatch(context.Context, BatchCall) (BatchAnswer, *verdict.Error) {
	return BatchAnswer{}, verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "none")
}

func (noTargets) Runs(context.Context, directory.Target) ([]Run, *verdict.Error) { return nil, nil }

func (noTargets) Inspect(context.Context, directory.Target) (batching.Report, *verdict.Error) {
	return batching.Report{}, verdict.New(verdict.NotRun, verdict.ReasonNoTarget, "none")
}

func (noTargets) Release(context.Context, directory.Target, []string) error { return nil }
