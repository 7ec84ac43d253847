// Package diff holds the verb that compares bundles.
package diff

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// Options are the parts and flags of the verb.
type Options struct {
	Factory *factory.Factory
	Before  string
	After   string
	JSON    bool
}

// NewCmdDiff returns the verb.
func NewCmdDiff(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:     "diff <before> <after>",
		Short:   "Compare two bundles",
		Long:    "List what changes between two bundles, by key. Comments and order do not count.",
		Example: "  honeydyke bundle diff old.hujson new.hujson",
		Args:    cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.Before = args[0]
			opts.After = args[1]
			if runF != nil {
				return runF(opts)
			}
			return run(opts)
		},
	}
	factory.AddJSONFlag(cmd, &opts.JSON)
	return cmd
}

func run(opts *Options) error {
	before, err := opts.Factory.ReadBundle(opts.Before)
	if err != nil {
		return err
	}
	after, err := opts.Factory.ReadBundle(opts.After)
	if err != nil {
		return err
	}
	changes, err := bundle.Diff(before.Bundle(), after.Bundle())
	if err != nil {
		return err
	}
	var text strings.Builder
	for _, c := range changes {
		fmt.Fprintln(&text, c)
	}
	return opts.Factory.Print(opts.JSON, changes, factory.Text(text.String()))
}
