// Package policy holds the verb that runs the experiment of that name.
package policy

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/harness/experiment"
	"github.com/honeydyke/honeydyke/pkg/cmd/experiment/runner"
)

// NewCmdPolicy returns the verb.
func NewCmdPolicy(r *runner.Runner, runF func() error) *cobra.Command {
	var o experiment.PolicyOptions
	svg := ""
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
				return runF()
			}
			result, err := experiment.ComparePolicies(cmd.Context(), o, func(c experiment.PolicyCell) {
				_, _ = fmt.Fprintln(r.Factory.Err, c.Line())
			})
			if err == nil && svg != "" {
				return result.Chart(svg).WriteSVG(r.Factory.Out)
			}
			return r.Print(result, err)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.User, "user", "kowhai", "kowhai or floraria")
	flags.StringSliceVar(&o.Conditions, "condition", experiment.Conditions, "conditions")
	flags.StringSliceVar(&o.Policies, "policy", experiment.Policies, "policies")
	flags.Float64SliceVar(&o.Loads, "load", []float64{0.6, 0.9, 1.2, 2}, "loads")
	flags.DurationVar(&o.Duration, "duration", 4*time.Second, "how long requests arrive in each cell")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the arrivals")
	flags.StringVar(&svg, "svg", "", "print the chart of this condition as SVG")
	return cmd
}
