// Package bundle groups the verbs on bundles.
package bundle

import (
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/pkg/cmd/bundle/check"
	"github.com/honeydyke/honeydyke/pkg/cmd/bundle/diff"
	"github.com/honeydyke/honeydyke/pkg/cmd/bundle/show"
	"github.com/honeydyke/honeydyke/pkg/cmd/bundle/sign"
	"github.com/honeydyke/honeydyke/pkg/cmd/bundle/verify"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// NewCmdBundle returns the command that groups the verbs.
func NewCmdBundle(f *factory.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "bundle <verb>",
		Short: "Check, sign, verify and compare bundles",
		Long:  "Work with bundles, the signed and numbered descriptions of a deployment.",
	}
	cmd.AddCommand(
		check.NewCmdCheck(f, nil),
		diff.NewCmdDiff(f, nil),
		show.NewCmdShow(f, nil),
		sign.NewCmdSign(f, nil),
		verify.NewCmdVerify(f, nil),
	)
	return cmd
}
