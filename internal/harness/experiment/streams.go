package experiment

import (
	"context"
	"fmt"
	"io"

	"github.com/honeydyke/honeydyke/examples"
	"github.com/honeydyke/honeydyke/internal/harness/lab"
	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/client"
	"github.com/honeydyke/honeydyke/pkg/verdict"
)

// StreamOptions shape the measurement of lost streams.
type StreamOptions struct {
	// Streams is the number of replies asked for, one after another.
	Streams int
	// EveryNth reply's engine is lost in the middle of its answer.
	EveryNth int
}

// StreamWay is the outcome of one way to treat a lost stream.
type StreamWay struct {
	Way string `json:"way"`
	// Whole counts replies that came whole at the first asking.
	Whole int `json:"whole"`
	// Asked counts all askings until every reply was whole.
	Asked int `json:"asked"`
	// TokensPerReply is what engines generated for each whole reply.
	TokensPerReply float64 `json:"tokensPerReply"`
	// Wrong counts replies that are not the right ones.
	Wrong int `json:"wrong"`
}

// StreamReport compares the ways.
type StreamReport struct {
	Streams int         `json:"streams"`
	Lost    int         `json:"lost"`
	Ways    []StreamWay `json:"ways"`
}

// Print writes the result for people.
func (r *StreamReport) Print(w io.Writer) error {
	for _, way := range r.Ways {
		if _, err := fmt.Fprintf(w, "%-9s %d of %d whole at the first asking, %d askings, %.0f tokens a reply, %d wrong\n",
			way.Way, way.Whole, r.Streams, way.Asked, way.TokensPerReply, way.Wrong); err != nil {
			return err
		}
	}
	return nil
}

// CompareStreams loses the engine of some replies in mid-stream, once with an
// explicit error after which the caller asks again, once with another engine
// that goes on from the text sent.
func CompareStreams(ctx context.Context, opts StreamOptions) (*StreamReport, error) {
	rep := &StreamReport{Streams: opts.Streams, Lost: opts.Streams / opts.EveryNth}
	for _, way := range []bundle.StageOnLoss{bundle.StageOnLossFail, bundle.StageOnLossContinue} {
		w, err := measureStreams(ctx, opts, way)
		if err != nil {
			return nil, err
		}
		rep.Ways = append(rep.Ways, *w)
	}
	return rep, nil
}

func measureStreams(ctx context.Context, opts StreamOptions, way bundle.StageOnLoss) (*StreamWay, error) {
	text, err := changed(examples.Kowhai(), func(b *bundle.Bundle) {
		for i := range b.Pipelines {
			last := len(b.Pipelines[i].Stages) - 1
			if b.Pipelines[i].Name == "chat-reply" {
				b.Pipelines[i].Stages[last].OnLoss = way
			}
		}
	})
	if err != nil {
		return nil, err
	}
	l, err := lab.Start(ctx, text, lab.WithNodes(1), lab.WithSpeed(bundle.KindEngine, standin.Speed{}))
	if err != nil {
		return nil, err
	}
	defer l.Close()
	w := &StreamWay{Way: string(way)}
	for i := range opts.Streams {
		if i%opts.EveryNth == 0 {
			l.Scripts["engines"].Add(standin.ResetDuring, 1)
		}
		askUntilWhole(ctx, l, w, fmt.Sprint("reply ", i))
	}
	for _, t := range l.Pool("engines") {
		for _, r := range t.Runs() {
			w.TokensPerReply += float64(r.Tokens) / float64(opts.Streams)
		}
	}
	return w, ctx.Err()
}

// maxAskings bounds the askings for one reply.
const maxAskings = 5

func askUntilWhole(ctx context.Context, l *lab.Lab, w *StreamWay, input string) {
	c := client.New(l.Nodes[0].URL(), examples.Key("members-app"))
	for asked := range maxAskings {
		w.Asked++
		answer, err := c.Run(ctx, client.Request{Pipeline: "chat-reply", Input: input, Stream: true}, nil)
		if err != nil && verdict.From(err).SafeToRetry() {
			continue
		}
		if err != nil || answer.Output != lab.Expected(l.Plan, "members-app", "chat-reply", input) {
			w.Wrong++
		} else if asked == 0 {
			w.Whole++
		}
		return
	}
	w.Wrong++
}
