// Package node holds the verb that runs the daemon: a node of the native interface,
// or with the settings' gateway a gateway. It turns signals into stops and reloads;
// what runs is in pkg/node and pkg/gateway.
package node

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
	"github.com/honeydyke/honeydyke/pkg/node"
)

// Options are the parts and flags of the verb.
type Options struct {
	Factory  *factory.Factory
	Settings string
	Check    bool
}

// NewCmdNode returns the verb.
func NewCmdNode(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "node --settings <file>",
		Short: "Run a node",
		Long: "Run a node until a signal asks it to stop. The first SIGTERM or SIGINT starts a\n" +
			"planned stop, which cuts no work in flight; a second one cuts what is left and\n" +
			"the log says what. The node writes nothing but its log on standard error.\n\n" +
			"With the settings' gateway, the node relays requests by the configuration that a\n" +
			"trusted store publishes. It then logs to standard output, a planned stop ends\n" +
			"within the grace time of the settings and a second signal changes nothing, and\n" +
			"SIGHUP reads the settings again.",
		Example: "  honeydyke node --settings node.hujson\n  honeydyke node --settings node.hujson --check",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.Settings == "" {
				return factory.Usagef("--settings is required")
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&opts.Settings, "settings", "", "settings file, JSON with comments; - reads standard input")
	cmd.Flags().BoolVar(&opts.Check, "check", false, "check the settings and exit")
	return cmd
}

// signals are those that the daemon acts on.
type signals struct {
	// stop asks for a planned stop, reload to read the settings again.
	stop, reload chan os.Signal
}

// notifySignals has the signals of this process come by channels from now on.
func notifySignals() signals {
	s := signals{stop: make(chan os.Signal, 2), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, os.Interrupt, syscall.SIGTERM)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// awaitStop waits for the first signal to stop. That may have come before the channels
// were there: then it has ended ctx, the program's own.
func (s signals) awaitStop(ctx context.Context) {
	select {
	case <-s.stop:
		return
	case <-ctx.Done():
	}
	select {
	case <-s.stop:
	case <-time.After(sameSignal):
	}
}

// sameSignal is how long a signal may take to come by the channel after it has ended
// the program's context.
const sameSignal = 100 * time.Millisecond

// run runs the daemon. The signals' channels are there before the settings are read, so
// that a signal which comes meanwhile is neither lost nor ends the process.
func run(ctx context.Context, opts *Options) error {
	on := notifySignals()
	cfg, err := opts.Factory.ReadSettings(opts.Settings)
	if err != nil || opts.Check {
		return err
	}
	if cfg.Gateway != nil {
		return runGateway(ctx, opts, cfg, on)
	}
	log, err := opts.Factory.Logger(cfg.LogLevelName(), cfg.TextLog())
	if err != nil {
		return err
	}
	n, err := node.New(cfg, node.WithLogger(log))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		on.awaitStop(ctx)
		stop()
		<-on.stop
		n.Cut()
	}()
	return n.Run(ctx)
}
