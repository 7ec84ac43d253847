// Package matrix holds the verb that runs the experiment of that name.
package matrix

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/harness/matrix"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// Options are the parts and flags of the verb.
type Options struct {
	matrix.Options
	Factory *factory.Factory
	Verbose bool
	// JSON is the flag of the group of experiments.
	JSON *bool
}

// NewCmdMatrix returns the verb.
func NewCmdMatrix(f *factory.Factory, asJSON *bool, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f, JSON: asJSON}
	cmd := &cobra.Command{
		Use:     "matrix",
		Short:   "Bring about every fault at every step",
		Long:    "Send requests that meet every fault at every stage and step, alone and in pairs,\nhold each end against what the stand-ins saw, and print the table.",
		Example: "  honeydyke experiment matrix --pairs 100",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	cmd.Flags().BoolVarP(&opts.Verbose, "verbose", "v", false, "print each cell as it ends")
	cmd.Flags().IntVar(&opts.Pairs, "pairs", 100, "cells with two faults")
	cmd.Flags().Uint64Var(&opts.Seed, "seed", 1, "seed of the pairs")
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	if opts.Verbose {
		opts.Progress = func(c matrix.Cell, took time.Duration) {
			// A line of progress that cannot be printed does not end the run.
			_, _ = fmt.Fprintf(opts.Factory.Err, "%6d ms %s, %v: %s %v\n", took.Milliseconds(), c.Form, c.Faults, c.End, c.Broken)
		}
	}
	report, err := matrix.Run(ctx, opts.Options)
	if err != nil {
		return err
	}
	if err := opts.Factory.Print(*opts.JSON, report, report.Print); err != nil {
		return err
	}
	if n := len(report.Broken()); n > 0 {
		return errors.Errorf("%d cells are broken", n)
	}
	return nil
}
