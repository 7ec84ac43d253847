// Package streams holds the verb that runs the experiment of that name.
package streams

import (
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/harness/experiment"
	"github.com/honeydyke/honeydyke/pkg/cmd/experiment/runner"
)

// NewCmdStreams returns the verb.
func NewCmdStreams(r *runner.Runner, runF func() error) *cobra.Command {
	var o experiment.StreamOptions
	cmd := &cobra.Command{
		Use:     "streams",
		Short:   "Compare ways to treat a stream whose engine is lost",
		Long:    "Lose the engine of some replies in mid-stream and compare an explicit error, after\nwhich the caller asks again, with another engine that goes on from the text sent.",
		Example: "  honeydyke experiment streams --streams 200 --every 4",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF()
			}
			result, err := experiment.CompareStreams(cmd.Context(), o)
			return r.Print(result, err)
		},
	}
	cmd.Flags().IntVar(&o.Streams, "streams", 200, "replies")
	cmd.Flags().IntVar(&o.EveryNth, "every", 4, "one reply in so many loses its engine")
	return cmd
}
