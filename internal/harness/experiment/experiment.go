// Package experiment measures honeydyke against its stand-ins and against its
// own baselines. Every figure in docs/MEASUREMENTS.md comes from an experiment
// here or from a benchmark; the page names the command.
package experiment

import (
	"encoding/json"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

const (
	// plenty lifts a limit out of the way of an experiment.
	plenty = 100_000
)

// changed returns the text of a bundle after change, with limits out of the way.
func changed(text []byte, change func(*bundle.Bundle)) ([]byte, error) {
	plan, err := bundle.Parse("experiment", text)
	if err != nil {
		return nil, err
	}
	b := plan.Bundle()
	for i := range b.Organisations {
		b.Organisations[i].Limits = bundle.Limits{Concurrency: plenty, RequestsPerSecond: plenty, TokensPerSecond: 100 * plenty}
	}
	change(&b)
	return json.Marshal(b)
}

// oneStage is Kōwhai's deployment with a pipeline of one stage called "echo".
func oneStage() ([]byte, error) {
	return changed(examples.Kowhai(), func(b *bundle.Bundle) {
		b.Pipelines = append(b.Pipelines, bundle.Pipeline{Name: "echo", DeadlineMs: 60_000, Stages: []bundle.Stage{{
			Name: "echo", Pool: "encoders", Repeatable: true, Cost: bundle.Cost{PerCall: 1},
		}}})
	})
}
