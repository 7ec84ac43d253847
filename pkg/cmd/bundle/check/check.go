// Package check holds the verb that checks bundles.
package check

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/jsondoc"
	"github.com/honeydyke/honeydyke/pkg/bundle"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// Options are the parts and flags of the verb.
type Options struct {
	Factory *factory.Factory
	Files   []string
	JSON    bool
}

// Result is the outcome for one file.
type Result struct {
	File     string           `json:"file"`
	Name     string           `json:"name,omitempty"`
	Number   int              `json:"number,omitempty"`
	Digest   string           `json:"digest,omitempty"`
	Problems jsondoc.Problems `json:"problems,omitempty"`
}

// NewCmdCheck returns the verb.
func NewCmdCheck(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:     "check <file>...",
		Short:   "Check bundles",
		Long:    "Check bundles as a node would. Each fault is named by file, line and key.",
		Example: "  honeydyke bundle check examples/kowhai/bundle.hujson\n  honeydyke bundle check --json a.hujson b.hujson",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			opts.Files = args
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
	var results []Result
	bad := 0
	for _, file := range opts.Files {
		r, err := checkFile(opts.Factory, file)
		if err != nil {
			return err
		}
		if len(r.Problems) > 0 {
			bad++
		}
		results = append(results, r)
	}
	if err := report(opts, results); err != nil {
		return err
	}
	if bad > 0 {
		return errors.Errorf("%d of %d bundles refused", bad, len(results))
	}
	return nil
}

func checkFile(f *factory.Factory, file string) (Result, error) {
	text, err := f.Read(file)
	if err != nil {
		return Result{}, err
	}
	plan, err := bundle.Parse(file, text)
	var ps jsondoc.Problems
	if errors.As(err, &ps) {
		return Result{File: file, Problems: ps}, nil
	}
	if err != nil {
		return Result{}, err
	}
	return Result{File: file, Name: plan.Name(), Number: plan.Number(), Digest: plan.Digest()}, nil
}

// report prints the good bundles to standard output and the problems of the others
// to standard error.
func report(opts *Options, results []Result) error {
	if opts.JSON {
		return opts.Factory.PrintJSON(results)
	}
	for _, r := range results {
		if len(r.Problems) > 0 {
			if _, err := fmt.Fprintln(opts.Factory.Err, r.Problems.Error()); err != nil {
				return err
			}
			continue
		}
		if _, err := fmt.Fprintf(opts.Factory.Out, "%s: %s number %d is good, %s\n", r.File, r.Name, r.Number, r.Digest); err != nil {
			return err
		}
	}
	return nil
}
