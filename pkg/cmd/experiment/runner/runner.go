// Package runner prints the results of experiments.
package runner

import (
	"io"

	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// Result is the outcome of an experiment.
type Result interface{ Print(io.Writer) error }

// Runner holds what the verbs share.
type Runner struct {
	Factory *factory.Factory
	JSON    bool
}

// Print prints a result for people or machines, unless the experiment failed.
func (r *Runner) Print(result Result, err error) error {
	if err != nil {
		return err
	}
	if r.JSON {
		return r.Factory.PrintJSON(result)
	}
	return result.Print(r.Factory.Out)
}
