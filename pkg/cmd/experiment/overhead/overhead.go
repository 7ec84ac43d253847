// Package overhead holds the verb that runs the experiment of that name.
package overhead

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/harness/experiment"
	"github.com/honeydyke/honeydyke/pkg/cmd/experiment/runner"
)

// NewCmdOverhead returns the verb.
func NewCmdOverhead(r *runner.Runner, runF func() error) *cobra.Command {
	var o experiment.OverheadOptions
	cmd := &cobra.Command{
		Use:     "overhead",
		Short:   "Time calls through one node beside direct ones",
		Long:    "Send the same calls to one stand-in directly and through one node, in turn and at\nthe same concurrency, and print the ratio of the times.",
		Example: "  honeydyke experiment overhead --concurrency 16 --calls 500",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF()
			}
			result, err := experiment.MeasureOverhead(cmd.Context(), o)
			return r.Print(result, err)
		},
	}
	cmd.Flags().IntVar(&o.Concurrency, "concurrency", 8, "callers")
	cmd.Flags().IntVar(&o.Calls, "calls", 500, "calls of each kind per caller")
	cmd.Flags().DurationVar(&o.Work, "work", time.Millisecond, "time that the stand-in works")
	return cmd
}
