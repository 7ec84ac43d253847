// Package key groups the verbs on keys.
package key

import (
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
	newkey "github.com/honeydyke/honeydyke/pkg/cmd/key/new"
)

// NewCmdKey returns the command that groups the verbs.
func NewCmdKey(f *factory.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "key <verb>",
		Short: "Make keys",
		Long:  "Make the keys of approvers, nodes and organisations.",
	}
	cmd.AddCommand(newkey.NewCmdNew(f, nil))
	return cmd
}
