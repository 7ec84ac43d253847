// Package show holds the verb that sums a bundle up.
package show

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// Options are the parts and flags of the verb.
type Options struct {
	Factory *factory.Factory
	File    string
	JSON    bool
}

// NewCmdShow returns the verb.
func NewCmdShow(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:     "show <file>",
		Short:   "Sum a bundle up",
		Long:    "Print the pipelines, pools and organisations of a bundle; with --json the bundle\nwithout its comments.",
		Example: "  honeydyke bundle show examples/floraria/bundle.hujson",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.File = args[0]
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
	plan, err := opts.Factory.ReadBundle(opts.File)
	if err != nil {
		return err
	}
	return opts.Factory.Print(opts.JSON, plan.Bundle(), factory.Text(summary(plan)))
}

func summary(plan *bundle.Plan) string {
	var b strings.Builder
	doc := plan.Bundle()
	fmt.Fprintf(&b, "%s number %d, %s\n", doc.Name, doc.Number, plan.Digest())
	fmt.Fprintf(&b, "weighs attainment %.2f, cost %.2f\n\npipelines\n", doc.Objective.AttainmentWeight, doc.Objective.CostWeight)
	for _, p := range doc.Pipelines {
		fmt.Fprintf(&b, "  %-18s %6d ms  %s\n", p.Name, p.DeadlineMs, stages(p))
	}
	b.WriteString("\npools\n")
	for _, p := range doc.Pools {
		slots := 0
		for _, t := range p.Targets {
			slots += t.Slots
		}
		fmt.Fprintf(&b, "  %-18s %-10s %3d targets, %4d slots\n", p.Name, p.Kind, len(p.Targets), slots)
	}
	b.WriteString("\norganisations\n")
	for _, o := range doc.Organisations {
		fmt.Fprintf(&b, "  %-18s weight %d, %d at once, %g requests/s, %g tokens/s\n",
			o.Name, o.Weight, o.Limits.Concurrency, o.Limits.RequestsPerSecond, o.Limits.TokensPerSecond)
	}
	return b.String()
}

func stages(p bundle.Pipeline) string {
	var names []string
	for _, s := range p.Stages {
		name := s.Name
		if !s.Repeatable {
			name += "(once)"
		}
		names = append(names, name)
	}
	return strings.Join(names, " -> ")
}
