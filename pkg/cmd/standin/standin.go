// Package standin holds the verbs that run stand-ins for the systems that
// honeydyke meets.
package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/harness/standin"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

const (
	// readHeaderTimeout bounds how long a caller may take for its headers; not
	// measured.
	readHeaderTimeout = 5 * time.Second
	defaultAddress    = "127.0.0.1:0"
)

// TargetOptions are the parts and flags of the target verbs.
type TargetOptions struct {
	Factory    *factory.Factory
	Name       string
	Address    string
	Slots      int
	Speed      standin.Speed
	ReportLag  time.Duration
	ChecksKeys bool
}

// NewCmdStandin returns the command that groups the stand-ins.
func NewCmdStandin(f *factory.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin <kind>",
		Short: "Run a stand-in for a target or for the platform",
		Long: "Run a small stand-in for one of the systems that honeydyke meets. A target's\n" +
			"fails on command: POST " + standin.PathFault + " with {\"fault\":\"stall\",\"times\":1},\n" +
			"POST " + standin.PathLeave + "; GET " + standin.PathRuns + " lists what ran.",
	}
	cmd.AddCommand(
		newCmdTarget(f, "engine", "Run an engine that speaks OpenAI's chat completions", nil),
		newCmdTarget(f, "pool", "Run an encoder, retriever or reranker", nil),
		newCmdTarget(f, "service", "Run a plain service", nil),
		NewCmdPlatform(f, nil),
		NewCmdWeights(f, nil),
	)
	return cmd
}

func newCmdTarget(f *factory.Factory, kind, short string, runF func(context.Context, *TargetOptions) error) *cobra.Command {
	opts := &TargetOptions{Factory: f}
	cmd := &cobra.Command{
		Use:     kind + " --name <name>",
		Short:   short,
		Long:    short + ", as a small stand-in with a load report.",
		Example: "  honeydyke standin " + kind + " --name " + kind + "-1 --address 127.0.0.1:8000 --slots 8",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.Name == "" {
				return factory.Usagef("--name is required")
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return runTarget(cmd.Context(), opts)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&opts.Name, "name", "", "name of the target, as in the bundle")
	flags.StringVar(&opts.Address, "address", defaultAddress, "IP number and port to listen on")
	flags.IntVar(&opts.Slots, "slots", 8, "calls worked on at once")
	flags.DurationVar(&opts.Speed.Base, "base", time.Millisecond, "time of every call")
	flags.DurationVar(&opts.Speed.PerKB, "per-kb", 0, "time added for each 1,024 bytes of input")
	flags.DurationVar(&opts.Speed.PerToken, "per-token", time.Millisecond, "time between tokens")
	flags.DurationVar(&opts.ReportLag, "report-lag", 0, "age of what load reports describe")
	flags.BoolVar(&opts.ChecksKeys, "checks-keys", false, "run one idempotency key at most once")
	return cmd
}

func runTarget(ctx context.Context, opts *TargetOptions) error {
	options := []standin.TargetOption{
		standin.WithSlots(opts.Slots), standin.WithSpeed(opts.Speed), standin.WithReportLag(opts.ReportLag),
	}
	if opts.ChecksKeys {
		options = append(options, standin.WithKeys(standin.NewKeyLedger()))
	}
	t := standin.NewTarget(opts.Name, options...)
	if err := t.Start(opts.Address); err != nil {
		return err
	}
	defer t.Crash()
	if _, err := fmt.Fprintln(opts.Factory.Out, t.Address()); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// PlatformOptions are the parts and flags of the platform verb.
type PlatformOptions struct {
	Factory *factory.Factory
	Address string
	Bundle  string
	Poll    time.Duration
}

// NewCmdPlatform returns the verb that runs the platform's services.
func NewCmdPlatform(f *factory.Factory, runF func(context.Context, *PlatformOptions) error) *cobra.Command {
	opts := &PlatformOptions{Factory: f}
	cmd := &cobra.Command{
		Use:     "platform --bundle <file>",
		Short:   "Run the configuration service and the list of instances",
		Long:    "Run the read-only configuration service, which holds one signed bundle and\nfollows the file, and the list of instances, which is empty.",
		Example: "  honeydyke standin platform --bundle signed.json --address 127.0.0.1:8500",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.Bundle == "" {
				return factory.Usagef("--bundle is required")
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return runPlatform(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&opts.Address, "address", defaultAddress, "IP number and port to listen on")
	cmd.Flags().StringVar(&opts.Bundle, "bundle", "", "file with the signed bundle")
	cmd.Flags().DurationVar(&opts.Poll, "poll", 500*time.Millisecond, "how often the file is read again")
	return cmd
}

func runPlatform(ctx context.Context, opts *PlatformOptions) error {
	value, err := opts.Factory.Read(opts.Bundle)
	if err != nil {
		return err
	}
	c := standin.NewConfiguration(value)
	go follow(ctx, opts, c, string(value))
	return serve(ctx, opts.Factory, opts.Address, standin.PlatformHandler(c))
}

// follow puts the file's content into the service when it changes.
func follow(ctx context.Context, opts *PlatformOptions, c *standin.Configuration, last string) {
	ticker := time.NewTicker(opts.Poll)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if value, err := opts.Factory.Read(opts.Bundle); err == nil && string(value) != last {
			last = string(value)
			c.Put(value)
		}
	}
}

// WeightsOptions are the parts and flags of the weights verb.
type WeightsOptions struct {
	Factory *factory.Factory
	Address string
	Rate    float64
}

// NewCmdWeights returns the verb that runs the weight store.
func NewCmdWeights(f *factory.Factory, runF func(context.Context, *WeightsOptions) error) *cobra.Command {
	opts := &WeightsOptions{Factory: f}
	cmd := &cobra.Command{
		Use:     "weights",
		Short:   "Run the rate-limited weight store",
		Long:    "Run a store of model weights that refuses fetches over its rate.",
		Example: "  honeydyke standin weights --rate 2",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.Rate <= 0 {
				return factory.Usagef("--rate must be above 0")
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			mux := http.NewServeMux()
			mux.Handle("GET "+standin.PathWeights, standin.NewWeightStore(opts.Rate))
			return serve(cmd.Context(), f, opts.Address, mux)
		},
	}
	cmd.Flags().StringVar(&opts.Address, "address", defaultAddress, "IP number and port to listen on")
	cmd.Flags().Float64Var(&opts.Rate, "rate", 1, "fetches a second")
	return cmd
}

// serve prints the address and serves until ctx ends.
func serve(ctx context.Context, f *factory.Factory, address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(f.Out, ln.Addr()); err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = s.Close() // the process ends with it
	}()
	if err := s.Serve(ln); err != http.ErrServerClosed {
		return err
	}
	return nil
}
