// Package root assembles the program's commands.
package root

import (
	"context"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/pkg/cmd/bundle"
	"github.com/honeydyke/honeydyke/pkg/cmd/config"
	"github.com/honeydyke/honeydyke/pkg/cmd/demo"
	"github.com/honeydyke/honeydyke/pkg/cmd/experiment"
	"github.com/honeydyke/honeydyke/pkg/cmd/explain"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
	"github.com/honeydyke/honeydyke/pkg/cmd/key"
	"github.com/honeydyke/honeydyke/pkg/cmd/load"
	"github.com/honeydyke/honeydyke/pkg/cmd/losses"
	"github.com/honeydyke/honeydyke/pkg/cmd/node"
	"github.com/honeydyke/honeydyke/pkg/cmd/send"
	"github.com/honeydyke/honeydyke/pkg/cmd/standin"
	"github.com/honeydyke/honeydyke/pkg/cmd/state"
	"github.com/honeydyke/honeydyke/pkg/cmd/version"
)

// Version is set by the linker in releases.
var Version = "0.1.0-dev"

// Main runs the program with arguments and returns its exit code.
func Main(args []string) int {
	log.SetOutput(io.Discard) // commands with a log of their own set it again
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return mainWith(ctx, factory.New(Version), args)
}

// mainWith runs a command line. An error from before a verb started is one of
// the arguments.
func mainWith(ctx context.Context, f *factory.Factory, args []string) int {
	cmd := NewCmdRoot(f)
	cmd.SetArgs(args)
	started := false
	cmd.PersistentPreRun = func(*cobra.Command, []string) { started = true }
	err := cmd.ExecuteContext(ctx)
	if err != nil && !started {
		err = factory.UsageError{Err: err}
	}
	if err != nil {
		_, _ = fmt.Fprintln(f.Err, "honeydyke:", err)
	}
	return factory.ExitCode(err)
}

// NewCmdRoot returns the command that holds all others.
func NewCmdRoot(f *factory.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:           "honeydyke <command>",
		Short:         "Serve multi-stage model pipelines from a signed bundle",
		Long:          "Honeydyke serves pipelines of encoding, retrieval, reranking and generation.\nA signed, versioned bundle decides which target serves each stage of each\nrequest, when work is held back and when it is refused.",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	cmd.SetOut(f.Out)
	cmd.SetErr(f.Err)
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return factory.UsageError{Err: err} })
	cmd.AddCommand(
		bundle.NewCmdBundle(f),
		config.NewCmdConfig(f),
		demo.NewCmdDemo(f, nil),
		explain.NewCmdExplain(f, nil),
		experiment.NewCmdExperiment(f),
		key.NewCmdKey(f),
		load.NewCmdLoad(f, nil),
		losses.NewCmdLosses(f, nil),
		node.NewCmdNode(f, nil),
		send.NewCmdSend(f, nil),
		standin.NewCmdStandin(f),
		state.NewCmdState(f, nil),
		version.NewCmdVersion(f, nil),
	)
	return cmd
}
