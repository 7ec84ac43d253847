// Package fleet holds the verb that runs the experiment of that name.
package fleet

import (
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/harness/experiment"
	"github.com/honeydyke/honeydyke/pkg/cmd/experiment/runner"
)

// NewCmdFleet returns the verb.
func NewCmdFleet(r *runner.Runner, runF func() error) *cobra.Command {
	var o experiment.FleetOptions
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Run many node processes under load and faults",
		Long: "Start node processes of this program on loopback, watch them idle, publish\n" +
			"bundles, then send load while nodes are killed, paused, woken and stopped, targets\n" +
			"leave and the configuration service is down; compare with what must hold.",
		Example: "  honeydyke experiment fleet --nodes 30\n  honeydyke experiment fleet --nodes 10 --storm 0s --json",
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
			result, err := experiment.RunFleet(cmd.Context(), o)
			if err := r.Print(result, err); err != nil {
				return err
			}
			if n := len(result.Broken); n > 0 {
				return errors.Errorf("%d promises are broken", n)
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&o.Nodes, "nodes", 30, "node processes")
	flags.DurationVar(&o.Settle, "settle", 15*time.Second, "how long the nodes get to know each other first")
	flags.DurationVar(&o.Calm, "calm", 10*time.Second, "how long the idle nodes are watched")
	flags.DurationVar(&o.Storm, "storm", 16*time.Second, "how long load and faults last; 0 for none")
	flags.Float64Var(&o.Rate, "rate", 100, "requests a second")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the arrivals")
	return cmd
}
