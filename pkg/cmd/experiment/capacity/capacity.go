// Package capacity holds the verb that runs the experiment of that name.
package capacity

import (
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/harness/experiment"
	"github.com/honeydyke/honeydyke/pkg/cmd/experiment/runner"
)

// NewCmdCapacity returns the verb.
func NewCmdCapacity(r *runner.Runner, runF func() error) *cobra.Command {
	return &cobra.Command{
		Use:     "capacity",
		Short:   "Measure the cost of each duty at several sizes",
		Long:    "Measure the cost of each duty at several sizes and fit a line through it, for\ndocs/CAPACITY.md.",
		Example: "  honeydyke experiment capacity",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF()
			}
			result, err := experiment.MeasureCapacity(cmd.Context())
			return r.Print(result, err)
		},
	}
}
