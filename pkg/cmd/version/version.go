// Package version holds the verb that prints the version.
package version

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// Options are the parts and flags of the verb.
type Options struct {
	Factory *factory.Factory
	JSON    bool
}

// NewCmdVersion returns the verb.
func NewCmdVersion(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Long:    "Print the version of honeydyke and of the Go toolchain that built it.",
		Example: "  honeydyke version\n  honeydyke version --json",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if runF != nil {
				return runF(opts)
			}
			return run(opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print JSON")
	return cmd
}

func run(opts *Options) error {
	if opts.JSON {
		return opts.Factory.PrintJSON(struct {
			Version string `json:"version"`
			Go      string `json:"go"`
		}{opts.Factory.Version, runtime.Version()})
	}
	_, err := fmt.Fprintf(opts.Factory.Out, "honeydyke %s (%s)\n", opts.Factory.Version, runtime.Version())
	return err
}
