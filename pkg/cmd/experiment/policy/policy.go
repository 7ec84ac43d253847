// Package policy holds the verb that runs the experiment of that name.
package policy

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/harness/experiment"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// Options are the parts and flags of the verb.
type Options struct {
	experiment.PolicyOptions
	Factory *factory.Factory
	// SVG is the condition whose chart is printed; empty for the table.
	SVG string
	// JSON is the flag of the group of experiments.
	JSON *bool
}

// NewCmdPolicy returns the verb.
func NewCmdPolicy(f *factory.Factory, asJSON *bool, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f, JSON: asJSON}
	cmd := &cobra.Command{
		Use:   "policy",
		Short: "Compare attainment and cost with baselines",
		Long: "Send one user's mix at several loads under several conditions, with the same\n" +
			"arrivals to honeydyke and to baselines, and print attainment, the bound that no\n" +
			"scheduler can beat, and cost. A load of 1 fills the busiest pool.",
		Example: "  honeydyke experiment policy --user kowhai --condition calm --load 0.6,1.2\n" +
			"  honeydyke experiment policy --user floraria --svg calm > calm.svg",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&opts.User, "user", "kowhai", "kowhai or floraria")
	flags.StringSliceVar(&opts.Conditions, "condition", experiment.Conditions, "conditions")
	flags.StringSliceVar(&opts.Policies, "policy", experiment.Policies, "policies")
	flags.Float64SliceVar(&opts.Loads, "load", []float64{0.6, 0.9, 1.2, 2}, "loads")
	flags.DurationVar(&opts.Duration, "duration", 4*time.Second, "how long requests arrive in each cell")
	flags.Uint64Var(&opts.Seed, "seed", 1, "seed of the arrivals")
	flags.StringVar(&opts.SVG, "svg", "", "print the chart of this condition as SVG")
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	report, err := experiment.ComparePolicies(ctx, opts.PolicyOptions, func(c experiment.PolicyCell) {
		// A line of progress that cannot be printed does not end the run.
		_, _ = fmt.Fprintln(opts.Factory.Err, c.Line())
	})
	if err != nil {
		return err
	}
	if opts.SVG != "" {
		return report.Chart(opts.SVG).WriteSVG(opts.Factory.Out)
	}
	return opts.Factory.Print(*opts.JSON, report, report.Print)
}
