// Package work holds the verb that runs the experiment of that name.
package work

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/harness/experiment"
	"github.com/honeydyke/honeydyke/pkg/cmd/experiment/runner"
)

// NewCmdWork returns the verb.
func NewCmdWork(r *runner.Runner, runF func() error) *cobra.Command {
	var o experiment.WorkOptions
	cmd := &cobra.Command{
		Use:     "work",
		Short:   "Measure what requests and tokens cost one node process",
		Long:    "Send load at several rates to one node process of this program and fit lines through\nthe processor time that it uses, for docs/CAPACITY.md.",
		Example: "  honeydyke experiment work --duration 4s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF()
			}
			program, err := os.Executable()
			if err != nil {
				return err
			}
			o.Command = []string{program}
			result, err := experiment.MeasureWork(cmd.Context(), o)
			return r.Print(result, err)
		},
	}
	cmd.Flags().DurationVar(&o.Duration, "duration", 4*time.Second, "how long each rate lasts")
	return cmd
}
