// Package newkey holds the verb that makes keys.
package newkey

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// secretBytes is the length of every secret: the seed of an Ed25519 key and the key
// of AES-256 have it, and settings ask for no less of the others.
const secretBytes = 32

// Kinds of keys.
const (
	kindApprover     = "approver"
	kindPeer         = "peer"
	kindTicket       = "ticket"
	kindOrganisation = "organisation"
)

// Options are the parts and flags of the verb.
type Options struct {
	Factory *factory.Factory
	Kind    string
	JSON    bool
}

// Key is a new key. Public is what others may know: an approver's public key,
// or the digest of an organisation's key.
type Key struct {
	Kind   string `json:"kind"`
	Secret string `json:"secret"`
	Public string `json:"public,omitempty"`
}

// NewCmdNew returns the verb.
func NewCmdNew(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "new <kind>",
		Short: "Make a key",
		Long: "Make a key and print it; nothing is written to a file. Kinds:\n" +
			"  approver      signs bundles; public goes into trust.approvers of the settings\n" +
			"  peer          keys.peer of the settings, the same at all nodes\n" +
			"  ticket        keys.ticket of the settings, the same at all nodes\n" +
			"  organisation  bearer key; public goes into keyDigests of the bundle",
		Example:   "  honeydyke key new approver\n  honeydyke key new organisation --json",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{kindApprover, kindPeer, kindTicket, kindOrganisation},
		RunE: func(_ *cobra.Command, args []string) error {
			opts.Kind = args[0]
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
	secret := make([]byte, secretBytes)
	rand.Read(secret) // never fails
	key := Key{Kind: opts.Kind, Secret: hex.EncodeToString(secret)}
	switch opts.Kind {
	case kindApprover:
		public := ed25519.NewKeyFromSeed(secret).Public().(ed25519.PublicKey)
		key.Public = hex.EncodeToString(public)
	case kindOrganisation:
		key.Public = bundle.Digest([]byte(key.Secret))
	}
	text := fmt.Sprintf("secret %s\n", key.Secret)
	if key.Public != "" {
		text += fmt.Sprintf("public %s\n", key.Public)
	}
	return opts.Factory.Print(opts.JSON, key, factory.Text(text))
}
