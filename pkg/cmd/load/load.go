// Package load holds the verb that sends load.
package load

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/harness/load"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// Formats of the report.
const (
	formatText = "text"
	formatJSON = "json"
	formatSVG  = "svg"
)

// Options are the parts and flags of the verb.
type Options struct {
	factory.CallFlags
	Factory  *factory.Factory
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Bytes    int
	Stream   bool
	Once     bool
	Format   string
}

// NewCmdLoad returns the verb.
func NewCmdLoad(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "load --node <url> --pipeline <name>",
		Short: "Send load and report attainment and cost by stage",
		Long: "Send requests at a mean rate with exponential gaps, whatever the nodes do, and\n" +
			"report what became of each: attainment, refusals by verdict, times and cost by\n" +
			"stage. The report is text, JSON, or an SVG chart of the times.",
		Example: "  honeydyke load --node http://10.0.0.1:8080 --pipeline availability --rate 50 --duration 10s\n" +
			"  honeydyke load --node http://10.0.0.1:8080 --pipeline chat-reply --stream --format svg > times.svg",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := opts.check(); err != nil {
				return err
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	opts.Add(cmd)
	flags := cmd.Flags()
	flags.Float64Var(&opts.Rate, "rate", 10, "requests a second")
	flags.DurationVar(&opts.Duration, "duration", 10*time.Second, "how long requests arrive")
	flags.Uint64Var(&opts.Seed, "seed", 1, "seed of the arrivals")
	flags.IntVar(&opts.Bytes, "bytes", 200, "size of the input")
	flags.BoolVar(&opts.Stream, "stream", false, "ask for streams")
	flags.BoolVar(&opts.Once, "once", false, "take a ticket for each request")
	flags.StringVar(&opts.Format, "format", formatText, "text, json or svg")
	return cmd
}

func (o *Options) check() error {
	if err := o.Complete(); err != nil {
		return err
	}
	switch o.Format {
	case formatText, formatJSON, formatSVG:
		return nil
	}
	return factory.Usagef("--format %q is unknown; text, json and svg are allowed", o.Format)
}

func run(ctx context.Context, opts *Options) error {
	report, err := load.Run(ctx, load.Plan{
		Nodes: opts.Nodes, Key: func(string) string { return opts.Key },
		Rate: opts.Rate, Duration: opts.Duration, Seed: opts.Seed,
		Mix: []load.Share{{
			Pipeline: opts.Pipeline, Weight: 1, InputBytes: opts.Bytes, Stream: opts.Stream, Once: opts.Once, Deadline: opts.Deadline,
		}},
	})
	if report == nil {
		return err
	}
	switch opts.Format {
	case formatJSON:
		return opts.Factory.PrintJSON(report)
	case formatSVG:
		return report.Chart().WriteSVG(opts.Factory.Out)
	default:
		return report.Print(opts.Factory.Out)
	}
}
