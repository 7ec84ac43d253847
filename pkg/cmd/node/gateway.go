package node

import (
	"context"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/honeydyke/honeydyke/internal/saturate"
	"github.com/honeydyke/honeydyke/pkg/gateway"
	"github.com/honeydyke/honeydyke/pkg/settings"
)

const (
	// memoryShare is the part of the machine's memory that the garbage collector keeps the
	// process below.
	memoryShare = 0.6
	// logLines is how many lines wait for a slow standard output; when more are dropped, a
	// line on standard error says so.
	logLines = 2000
)

// runGateway runs a node that relays requests by a published configuration, until ctx
// ends or a signal asks for it.
func runGateway(ctx context.Context, opts *Options, cfg *settings.Settings, on signals) error {
	out := newLogWriter(opts.Factory.Out)
	defer func() { _ = out.Close() }() // waits for the last lines; there is nowhere to report a failure
	log, err := gatewayLog(out, cfg)
	if err != nil {
		return err
	}
	if mb := cfg.Gateway.MemoryMb; mb > 0 {
		debug.SetMemoryLimit(saturate.Int64(memoryShare * float64(mb) * (1 << 20)))
	}
	g, err := gateway.New(cfg, gateway.WithLogger(log))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		on.awaitStop(ctx)
		stop()
	}()
	go reloads(ctx, opts, g, log, on.reload)
	return g.Run(ctx)
}

// newLogWriter returns a writer that never waits for the reader of w. Its Close
// writes what is left and leaves w open.
func newLogWriter(w io.Writer) io.WriteCloser {
	return diode.NewWriter(struct{ io.Writer }{w}, logLines, 0, func(int) {
		_, _ = io.WriteString(os.Stderr, "log: lines dropped\n") // nowhere else to report it
	})
}

// gatewayLog returns the log in the form and at the level of the settings.
func gatewayLog(w io.Writer, cfg *settings.Settings) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(cfg.LogLevelName())
	if err != nil {
		return zerolog.Nop(), err
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	if cfg.TextLog() {
		w = zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: time.TimeOnly}
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger(), nil
}

// reloads reads the settings again at each signal that asks for it. Settings
// that do not read are refused whole.
func reloads(ctx context.Context, opts *Options, g *gateway.Gateway, log zerolog.Logger, asked <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
		}
		text, err := opts.Factory.Read(opts.Settings)
		if err != nil {
			log.Error().Err(err).Msg("settings: not read, the old ones stay")
			continue
		}
		cfg, err := settings.Parse(opts.Settings, text)
		if err != nil {
			log.Error().Err(err).Msg("settings: refused, the old ones stay")
			continue
		}
		g.Reload(cfg)
	}
}
