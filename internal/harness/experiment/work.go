package experiment

import (
	"context"
	"time"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/internal/harness/load"
	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/pkg/bundle"
)

// WorkOptions shape the measurement of a node's work for requests.
type WorkOptions struct {
	Duration time.Duration
	Command  []string
	Env      []string
}

// MeasureWork measures what requests and tokens cost one node process, at
// several rates.
func MeasureWork(ctx context.Context, opts WorkOptions) (*CapacityReport, error) {
	text, err := changed(examples.Kowhai(), func(b *bundle.Bundle) { b.Rollout = nil })
	if err != nil {
		return nil, err
	}
	l, err := lab.Start(ctx, text, lab.WithNodes(0), lab.WithSlots(500),
		lab.WithSpeed(bundle.KindEngine, standin.Speed{PerToken: time.Millisecond}))
	if err != nil {
		return nil, err
	}
	defer l.Close()
	p, err := l.StartProcess(ctx, 0, nil, opts.Command, opts.Env...)
	if err != nil {
		return nil, err
	}
	if err := lab.WaitReady(ctx, p.Admin); err != nil {
		return nil, err
	}
	calls := Slope{Name: "requests of five stages", Size: "requests/s", Unit: "ms of processor/s"}
	tokens := Slope{Name: "streams of 600 tokens", Size: "tokens/s", Unit: "ms of processor/s"}
	memory := Slope{Name: "memory while streaming", Size: "streams open", Unit: "MB"}
	for _, rate := range []float64{50, 100, 200, 400} {
		u, err := used(ctx, p, opts, rate, load.Share{Pipeline: "availability", Organisation: "depots", Weight: 1, InputBytes: 200})
		if err != nil {
			return nil, err
		}
		calls.point(rate, 1000*u.cpu)
	}
	for _, rate := range []float64{10, 20, 40, 80} {
		u, err := used(ctx, p, opts, rate, load.Share{Pipeline: "chat-reply", Organisation: "members-app", Weight: 1, InputBytes: 200, Stream: true})
		if err != nil {
			return nil, err
		}
		tokens.point(u.tokens, 1000*u.cpu)
		memory.point(rate*meanOfCeiling*0.8, u.memory) // 600 tokens of 1 ms are open for 0.6 s
	}
	rep := &CapacityReport{Slopes: []Slope{calls, tokens, memory}}
	for i := range rep.Slopes {
		rep.Slopes[i].fit()
	}
	return rep, nil
}

func (s *Slope) point(x, y float64) {
	s.X = append(s.X, x)
	s.Y = append(s.Y, y)
}

// rates is what a node used for each second of a load.
type rates struct {
	cpu    float64 // seconds of processor
	tokens float64
	memory float64 // MB at the end
}

func used(ctx context.Context, p *lab.Process, opts WorkOptions, rate float64, share load.Share) (rates, error) {
	before, _, err := processUsage(p.PID())
	if err != nil {
		return rates{}, err
	}
	rep, err := load.Run(ctx, load.Plan{
		Nodes: []string{p.URL()}, Key: examples.Key, Rate: rate, Duration: opts.Duration, Seed: 1, Mix: []load.Share{share},
	})
	if err != nil {
		return rates{}, err
	}
	after, memory, err := processUsage(p.PID())
	if err != nil {
		return rates{}, err
	}
	generate := rep.Pipelines[share.Pipeline].CostByStage["generate"]
	const perCall, perToken = 2, 0.02 // of Kōwhai's engine stages
	whole := float64(rep.Pipelines[share.Pipeline].Whole)
	return rates{
		cpu:    (after - before) / opts.Duration.Seconds(),
		tokens: whole * (generate - perCall) / perToken / opts.Duration.Seconds(),
		memory: memory,
	}, nil
}
