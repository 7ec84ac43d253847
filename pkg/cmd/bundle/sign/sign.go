// Package sign holds the verb that signs bundles.
package sign

import (
	"crypto/ed25519"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// Options are the parts and flags of the verb.
type Options struct {
	Factory  *factory.Factory
	File     string
	Approver string
	KeyFile  string
	Signed   bool
}

// NewCmdSign returns the verb.
func NewCmdSign(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "sign <file> --approver <name> --key <file>",
		Short: "Sign a bundle",
		Long: "Check a bundle and sign it as one approver. The signed bundle goes to standard\n" +
			"output; with --signed the file is already a signed one and gets one more\n" +
			"signature.",
		Example: "  honeydyke bundle sign bundle.hujson --approver mere --key mere.key > one.json\n" +
			"  honeydyke bundle sign one.json --signed --approver tane --key tane.key > two.json",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.File = args[0]
			if opts.Approver == "" || opts.KeyFile == "" {
				return factory.Usagef("--approver and --key are required")
			}
			if runF != nil {
				return runF(opts)
			}
			return run(opts)
		},
	}
	cmd.Flags().StringVar(&opts.Approver, "approver", "", "name of the approver")
	cmd.Flags().StringVar(&opts.KeyFile, "key", "", "file with the approver's private key in hexadecimal")
	cmd.Flags().BoolVar(&opts.Signed, "signed", false, "the file is a signed bundle")
	return cmd
}

func run(opts *Options) error {
	signed, err := read(opts)
	if err != nil {
		return err
	}
	if _, err := bundle.Parse(opts.File, []byte(signed.Text)); err != nil {
		return err
	}
	key, err := readKey(opts)
	if err != nil {
		return err
	}
	return opts.Factory.PrintJSON(signed.WithSignature(bundle.Sign(opts.Approver, key, []byte(signed.Text))))
}

func read(opts *Options) (bundle.Signed, error) {
	if opts.Signed {
		return opts.Factory.ReadSigned(opts.File)
	}
	text, err := opts.Factory.Read(opts.File)
	return bundle.Signed{Text: string(text)}, err
}

func readKey(opts *Options) (ed25519.PrivateKey, error) {
	text, err := opts.Factory.Read(opts.KeyFile)
	if err != nil {
		return nil, err
	}
	seed, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errors.Errorf("%s: a private key is %d bytes in hexadecimal", opts.KeyFile, ed25519.SeedSize)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
