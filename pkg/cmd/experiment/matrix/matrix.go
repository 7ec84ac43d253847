// Package matrix holds the verb that runs the experiment of that name.
package matrix

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/harness/matrix"
	"github.com/honeydyke/honeydyke/pkg/cmd/experiment/runner"
)

// NewCmdMatrix returns the verb.
func NewCmdMatrix(r *runner.Runner, runF func() error) *cobra.Command {
	var o matrix.Options
	verbose := false
	cmd := &cobra.Command{
		Use:     "matrix",
		Short:   "Bring about every fault at every step",
		Long:    "Send requests that meet every fault at every stage and step, alone and in pairs,\nhold each end against what the stand-ins saw, and print the table.",
		Example: "  honeydyke experiment matrix --pairs 100",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF()
			}
			if verbose {
				o.Progress = func(c matrix.Cell, took time.Duration) {
					_, _ = fmt.Fprintf(r.Factory.Err, "%6d ms %s, %v: %s %v\n", took.Milliseconds(), c.Form, c.Faults, c.End, c.Broken)
				}
			}
			result, err := matrix.Run(cmd.Context(), o)
			if err := r.Print(result, err); err != nil {
				return err
			}
			if n := len(result.Broken()); n > 0 {
				return errors.Errorf("%d cells are broken", n)
			}
			return nil
		},
	}
	cmd.Flags().BoolVarP(&verbose, "verbose", "v", false, "print each cell as it ends")
	cmd.Flags().IntVar(&o.Pairs, "pairs", 100, "cells with two faults")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the pairs")
	return cmd
}
