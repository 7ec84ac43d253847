// Package config groups the verbs on configurations of a gateway.
package config

import (
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/pkg/cmd/config/check"
	"github.com/honeydyke/honeydyke/pkg/cmd/config/diff"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// NewCmdConfig returns the command that groups the verbs.
func NewCmdConfig(f *factory.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config <verb>",
		Short: "Check and compare configurations of a gateway",
		Long:  "Read configurations as the platform publishes them, before they are published.",
	}
	cmd.AddCommand(check.NewCmdCheck(f, nil), diff.NewCmdDiff(f, nil))
	return cmd
}
