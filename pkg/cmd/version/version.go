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
	factory.AddJSONFlag(cmd, &opts.JSON)
	return cmd
}

func run(opts *Options) error {
	versions := struct {
		Version string `json:"version"`
		Go      string `json:"go"`
	}{opts.Factory.Version, runtime.Version()}
	text := fmt.Sprintf("honeydyke %s (%s)\n", versions.Version, versions.Go)
	return opts.Factory.Print(opts.JSON, versions, factory.Text(text))
}
