// Package experiment holds the verbs that measure honeydyke.
package experiment

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/experiment"
	"github.com/honeydyke/honeydyke/internal/matrix"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// printer is the result of an experiment.
type printer interface{ Print(io.Writer) error }

// Options are the parts and flags that all experiments share.
type Options struct {
	Factory *factory.Factory
	JSON    bool
}

// NewCmdExperiment returns the command that groups the experiments.
func NewCmdExperiment(f *factory.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "experiment <name>",
		Short: "Measure honeydyke against stand-ins and baselines",
		Long:  "Measure honeydyke on loopback, bounded in count and time. The figures of\ndocs/MEASUREMENTS.md and docs/CAPACITY.md come from here.",
	}
	opts := &Options{Factory: f}
	cmd.PersistentFlags().BoolVar(&opts.JSON, "json", false, "print JSON")
	cmd.AddCommand(newCmdOverhead(opts), newCmdPolicy(opts), newCmdMatrix(opts), newCmdStreams(opts), newCmdFleet(opts), newCmdCapacity(opts), newCmdWork(opts))
	return cmd
}

// measure runs an experiment and prints its result.
func (o *Options) measure(result printer, err error) error {
	if err != nil {
		return err
	}
	if o.JSON {
		return o.Factory.PrintJSON(result)
	}
	return result.Print(o.Factory.Out)
}

func newCmdOverhead(opts *Options) *cobra.Command {
	var o experiment.OverheadOptions
	cmd := &cobra.Command{
		Use:     "overhead",
		Short:   "Time calls through one node beside direct ones",
		Long:    "Send the same calls to one stand-in directly and through one node, in turn and at\nthe same concurrency, and print the ratio of the times.",
		Example: "  honeydyke experiment overhead --concurrency 16 --calls 500",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			result, err := experiment.MeasureOverhead(context.WithoutCancel(cmd.Context()), o)
			return opts.measure(result, err)
		},
	}
	cmd.Flags().IntVar(&o.Concurrency, "concurrency", 8, "callers")
	cmd.Flags().IntVar(&o.Calls, "calls", 500, "calls of each kind per caller")
	cmd.Flags().DurationVar(&o.Work, "work", time.Millisecond, "time that the stand-in works")
	return cmd
}

func newCmdPolicy(opts *Options) *cobra.Command {
	var o experiment.PolicyOptions
	svg := ""
	cmd := &cobra.Command{
		Use:   "policy",
		Short: "Compare attainment and cost with baselines",
		Long: "Send one user's mix at several loads under several conditions, with the same\n" +
			"arrivals to honeydyke and to baselines, and print attainment, the bound that no\n" +
			"scheduler can beat, and cost. A load of 1 fills the busiest pool.",
		Example: "  honeydyke experiment policy --user kowhai --condition calm --load 0.6,1.2\n" +
			"  honeydyke experiment policy --user floraria --svg calm > calm.svg",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			result, err := experiment.ComparePolicies(cmd.Context(), o, func(c experiment.PolicyCell) {
				_, _ = fmt.Fprintln(opts.Factory.Err, c.Line())
			})
			if err == nil && svg != "" {
				return result.Chart(svg).WriteSVG(opts.Factory.Out)
			}
			return opts.measure(result, err)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.User, "user", "kowhai", "kowhai or floraria")
	flags.StringSliceVar(&o.Conditions, "condition", experiment.Conditions, "conditions")
	flags.StringSliceVar(&o.Policies, "policy", experiment.Policies, "policies")
	flags.Float64SliceVar(&o.Loads, "load", []float64{0.6, 0.9, 1.2, 2}, "loads")
	flags.DurationVar(&o.Duration, "duration", 4*time.Second, "how long requests arrive in each cell")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the arrivals")
	flags.StringVar(&svg, "svg", "", "print the chart of this condition as SVG")
	return cmd
}

func newCmdMatrix(opts *Options) *cobra.Command {
	var o matrix.Options
	verbose := false
	cmd := &cobra.Command{
		Use:     "matrix",
		Short:   "Bring about every fault at every step",
		Long:    "Send requests that meet every fault at every stage and step, alone and in pairs,\nhold each end against what the stand-ins saw, and print the table.",
		Example: "  honeydyke experiment matrix --pairs 100",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if verbose {
				o.Progress = func(c matrix.Cell, took time.Duration) {
					_, _ = fmt.Fprintf(opts.Factory.Err, "%6d ms %s, %v: %s %v\n", took.Milliseconds(), c.Form, c.Faults, c.End, c.Broken)
				}
			}
			result, err := matrix.Run(cmd.Context(), o)
			if err := opts.measure(result, err); err != nil {
				return err
			}
			if n := len(result.Broken()); n > 0 {
				return errors.Errorf("%d cells are broken", n)
			}
			return nil
		},
	}
	cmd.Flags().BoolVarP(&verbose, "verbose", "v", false, "print each cell as it ends")
	cmd.Flags().IntVar(&o.Pairs, "pairs", 100, "cells with two faults")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the pairs")
	return cmd
}

func newCmdStreams(opts *Options) *cobra.Command {
	var o experiment.StreamOptions
	cmd := &cobra.Command{
		Use:     "streams",
		Short:   "Compare ways to treat a stream whose engine is lost",
		Long:    "Lose the engine of some replies in mid-stream and compare an explicit error, after\nwhich the caller asks again, with another engine that goes on from the text sent.",
		Example: "  honeydyke experiment streams --streams 200 --every 4",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			result, err := experiment.CompareStreams(cmd.Context(), o)
			return opts.measure(result, err)
		},
	}
	cmd.Flags().IntVar(&o.Streams, "streams", 200, "replies")
	cmd.Flags().IntVar(&o.EveryNth, "every", 4, "one reply in so many loses its engine")
	return cmd
}

func newCmdFleet(opts *Options) *cobra.Command {
	var o experiment.FleetOptions
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Run many node processes under load and faults",
		Long: "Start node processes of this program on loopback, watch them idle, publish\n" +
			"bundles, then send load while nodes are killed, paused, woken and stopped, targets\n" +
			"leave and the configuration service is down; compare with what must hold.",
		Example: "  honeydyke experiment fleet --nodes 30\n  honeydyke experiment fleet --nodes 10 --storm 0s --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			program, err := os.Executable()
			if err != nil {
				return err
			}
			o.Command = []string{program}
			result, err := experiment.RunFleet(cmd.Context(), o)
			if err := opts.measure(result, err); err != nil {
				return err
			}
			if n := len(result.Broken); n > 0 {
				return errors.Errorf("%d promises are broken", n)
			}
			return nil
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&o.Nodes, "nodes", 30, "node processes")
	flags.DurationVar(&o.Settle, "settle", 15*time.Second, "how long the nodes get to know each other first")
	flags.DurationVar(&o.Calm, "calm", 10*time.Second, "how long the idle nodes are watched")
	flags.DurationVar(&o.Storm, "storm", 16*time.Second, "how long load and faults last; 0 for none")
	flags.Float64Var(&o.Rate, "rate", 100, "requests a second")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the arrivals")
	return cmd
}

func newCmdCapacity(opts *Options) *cobra.Command {
	return &cobra.Command{
		Use:     "capacity",
		Short:   "Measure the cost of each duty at several sizes",
		Long:    "Measure the cost of each duty at several sizes and fit a line through it, for\ndocs/CAPACITY.md.",
		Example: "  honeydyke experiment capacity",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			result, err := experiment.MeasureCapacity(cmd.Context())
			return opts.measure(result, err)
		},
	}
}

func newCmdWork(opts *Options) *cobra.Command {
	var o experiment.WorkOptions
	cmd := &cobra.Command{
		Use:     "work",
		Short:   "Measure what requests and tokens cost one node process",
		Long:    "Send load at several rates to one node process of this program and fit lines through\nthe processor time that it uses, for docs/CAPACITY.md.",
		Example: "  honeydyke experiment work --duration 4s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			program, err := os.Executable()
			if err != nil {
				return err
			}
			o.Command = []string{program}
			result, err := experiment.MeasureWork(cmd.Context(), o)
			return opts.measure(result, err)
		},
	}
	cmd.Flags().DurationVar(&o.Duration, "duration", 4*time.Second, "how long each rate lasts")
	return cmd
}
