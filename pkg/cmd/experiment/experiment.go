// Package experiment groups the verbs that measure honeydyke.
package experiment

import (
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/pkg/cmd/experiment/capacity"
	"github.com/honeydyke/honeydyke/pkg/cmd/experiment/matrix"
	"github.com/honeydyke/honeydyke/pkg/cmd/experiment/policy"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// NewCmdExperiment returns the command that groups the experiments.
func NewCmdExperiment(f *factory.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "experiment <name>",
		Short: "Measure honeydyke against stand-ins and baselines",
		Long:  "Measure honeydyke on loopback, bounded in count and time. The figures of\ndocs/MEASUREMENTS.md and docs/CAPACITY.md come from here.",
	}
	asJSON := false
	cmd.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	cmd.AddCommand(
		capacity.NewCmdCapacity(f, &asJSON, nil),
		matrix.NewCmdMatrix(f, &asJSON, nil),
		policy.NewCmdPolicy(f, &asJSON, nil),
	)
	return cmd
}
