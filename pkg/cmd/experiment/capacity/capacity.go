// Package capacity holds the verb that runs the experiment of that name.
package capacity

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/harness/experiment"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// Options are the parts and flags of the verb.
type Options struct {
	Factory *factory.Factory
	// JSON is the flag of the group of experiments.
	JSON *bool
}

// NewCmdCapacity returns the verb.
func NewCmdCapacity(f *factory.Factory, asJSON *bool, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f, JSON: asJSON}
	return &cobra.Command{
		Use:     "capacity",
		Short:   "Measure the cost of each duty at several sizes",
		Long:    "Measure the cost of each duty at several sizes and fit a line through it, for\ndocs/CAPACITY.md.",
		Example: "  honeydyke experiment capacity",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
}

func run(ctx context.Context, opts *Options) error {
	report, err := experiment.MeasureCapacity(ctx)
	if err != nil {
		return err
	}
	return opts.Factory.Print(*opts.JSON, report, report.Print)
}
