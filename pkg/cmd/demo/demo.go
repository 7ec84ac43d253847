// Package demo holds the verb that shows the main job.
package demo

import (
	"context"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/harness/demo"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// Options are the parts and flags of the verb.
type Options struct {
	Factory *factory.Factory
	JSON    bool
	Verbose bool
}

// NewCmdDemo returns the verb.
func NewCmdDemo(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Show the main job on two deployments in this process",
		Long: "Start stand-ins and several nodes in this one process, send real requests of\n" +
			"both first users, break things, and check every promise against what the\n" +
			"stand-ins saw. The exit code is 0 only when every promise held.",
		Example: "  honeydyke demo\n  honeydyke demo --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	factory.AddJSONFlag(cmd, &opts.JSON)
	cmd.Flags().BoolVarP(&opts.Verbose, "verbose", "v", false, "print the nodes' log")
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	log := zerolog.Nop()
	if opts.Verbose {
		var err error
		if log, err = opts.Factory.Logger("info", true); err != nil {
			return err
		}
	}
	progress := opts.Factory.Err
	if !opts.JSON {
		progress = opts.Factory.Out
	}
	report, err := demo.Run(ctx, demo.Options{Progress: progress, Log: log})
	if err != nil {
		return err
	}
	if err := opts.Factory.Print(opts.JSON, report, report.Print); err != nil {
		return err
	}
	if !report.Held {
		return errors.New("a promise was broken")
	}
	return nil
}
