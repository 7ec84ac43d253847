// Package diff holds the verb that compares configurations of a gateway.
package diff

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
	"github.com/honeydyke/honeydyke/platform"
)

// Options are the parts and flags of the verb.
type Options struct {
	Factory *factory.Factory
	Old     string
	New     string
	JSON    bool
}

// NewCmdDiff returns the verb.
func NewCmdDiff(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "diff <old> <new>",
		Short: "Compare two configurations",
		Long: "List what a new configuration changes for callers: routes, their shares, times and stages, services, and how\n" +
			"many keys of an organisation come and go. Keys are not printed.",
		Example: "  honeydyke config diff now.json next.json",
		Args:    cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.Old, opts.New = args[0], args[1]
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
	old, err := read(opts.Factory, opts.Old)
	if err != nil {
		return err
	}
	next, err := read(opts.Factory, opts.New)
	if err != nil {
		return err
	}
	changes := catalog.Diff(old, next)
	if changes == nil {
		changes = []catalog.Change{}
	}
	var text strings.Builder
	for _, c := range changes {
		fmt.Fprintln(&text, c)
	}
	if next.Version <= old.Version {
		fmt.Fprintf(&text, "gateways at version %d do not take version %d, which is not newer\n", old.Version, next.Version)
	}
	return opts.Factory.Print(opts.JSON, changes, factory.Text(text.String()))
}

func read(f *factory.Factory, file string) (*catalog.Catalog, error) {
	text, err := f.Read(file)
	if err != nil {
		return nil, err
	}
	c, err := platform.ReadConfig(text)
	return c, errors.Wrap(err, file)
}
