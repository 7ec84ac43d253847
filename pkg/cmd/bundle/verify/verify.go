// Package verify holds the verb that verifies signed bundles.
package verify

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// Options are the parts and flags of the verb.
type Options struct {
	Factory  *factory.Factory
	File     string
	Settings string
	Previous string
}

// NewCmdVerify returns the verb.
func NewCmdVerify(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "verify <file> --settings <file>",
		Short: "Verify a signed bundle",
		Long: "Verify a signed bundle against the approvers in a node's settings. With\n" +
			"--previous it must also follow that signed bundle directly.",
		Example: "  honeydyke bundle verify two.json --settings node.hujson\n" +
			"  honeydyke bundle verify two.json --settings node.hujson --previous one.json",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.File = args[0]
			if opts.Settings == "" {
				return factory.Usagef("--settings is required")
			}
			if runF != nil {
				return runF(opts)
			}
			return run(opts)
		},
	}
	cmd.Flags().StringVar(&opts.Settings, "settings", "", "settings file of a node")
	cmd.Flags().StringVar(&opts.Previous, "previous", "", "signed bundle that comes before")
	return cmd
}

func run(opts *Options) error {
	cfg, err := opts.Factory.ReadSettings(opts.Settings)
	if err != nil {
		return err
	}
	plan, err := load(opts.Factory, cfg.BundleTrust(), opts.File)
	if err != nil {
		return err
	}
	if opts.Previous != "" {
		before, err := load(opts.Factory, cfg.BundleTrust(), opts.Previous)
		if err != nil {
			return err
		}
		if !bundle.Follows(before, plan) {
			return errors.Errorf("%s: number %d does not follow number %d directly", opts.File, plan.Number(), before.Number())
		}
	}
	_, err = fmt.Fprintf(opts.Factory.Out, "%s: %s number %d is signed as required, %s\n", opts.File, plan.Name(), plan.Number(), plan.Digest())
	return err
}

func load(f *factory.Factory, trust bundle.Trust, file string) (*bundle.Plan, error) {
	s, err := f.ReadSigned(file)
	if err != nil {
		return nil, err
	}
	return trust.Verify(file, s)
}
