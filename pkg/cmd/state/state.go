// Package state holds the verb that prints a node's state, as its admin address
// gives it.
package state

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/pkg/client"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// timeout bounds the call.
const timeout = 5 * time.Second

// Options are the parts and flags of the verb.
type Options struct {
	Factory *factory.Factory
	Admin   string
	JSON    bool
}

// NewCmdState returns the verb.
func NewCmdState(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:     "state --admin <url>",
		Short:   "Dump the state of a node",
		Long:    "Print what a node knows and holds: its bundle, its view of targets and peers with\ntheir ages, its queues, limits and tickets.",
		Example: "  honeydyke state --admin http://10.0.0.1:8082\n  honeydyke state --admin http://10.0.0.1:8082 --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if opts.Admin == "" {
				return factory.Usagef("--admin is required")
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&opts.Admin, "admin", "", "URL of the node's admin address")
	factory.AddJSONFlag(cmd, &opts.JSON)
	return cmd
}

func run(ctx context.Context, opts *Options) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s, err := client.New(opts.Admin, "").ReadState(ctx)
	if err != nil {
		return err
	}
	return opts.Factory.Print(opts.JSON, s, factory.Text(summary(s)))
}

func summary(s *client.State) string {
	lines := []string{
		fmt.Sprintf("node %s in %s, incarnation %s, %s", s.Node, s.DataCentre, s.Incarnation, s.Phase),
		fmt.Sprintf("bundle %d, confirmed %d ms ago, %s", s.Bundle, s.BundleAgeMs, s.Digest),
		fmt.Sprintf("%d requests in flight, %d calls held; tickets: %d running, %d spent", s.InFlight, s.Held, s.Tickets.Running, s.Tickets.Spent),
		"", fmt.Sprintf("%-20s %-14s %-12s %9s %10s  %s", "target", "pool", "data centre", "in flight", "report ms", "state"),
	}
	for _, t := range s.Targets {
		lines = append(lines, fmt.Sprintf("%-20s %-14s %-12s %4d/%-4d %10d  %s",
			t.Target, t.Pool, t.DataCentre, t.InFlight, t.Slots, t.ReportAgeMs, condition(t.Leaving, t.Ejected)))
	}
	lines = append(lines, "", fmt.Sprintf("%-24s %6s %8s  %s", "peer", "bundle", "age ms", "state"))
	for _, p := range s.Peers {
		lines = append(lines, fmt.Sprintf("%-24s %6d %8d  %s", p.Address, p.Bundle, p.AgeMs, condition(p.Leaving, false)))
	}
	lines = append(lines, "", fmt.Sprintf("%-20s %s", "organisation", "in flight"))
	for _, o := range s.Organisations {
		lines = append(lines, fmt.Sprintf("%-20s %d/%d", o.Organisation, o.InFlight, o.Concurrency))
	}
	return strings.Join(lines, "\n") + "\n"
}

func condition(leaving, ejected bool) string {
	switch {
	case leaving:
		return "leaving"
	case ejected:
		return "ejected"
	}
	return "ok"
}
