// Package check holds the verb that checks configurations of a gateway.
package check

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/gateway/catalog"
	"github.com/honeydyke/honeydyke/internal/jsondoc"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
	"github.com/honeydyke/honeydyke/platform"
)

// Options are the parts and flags of the verb.
type Options struct {
	Factory *factory.Factory
	Files   []string
	JSON    bool
}

// Result is the outcome for one file.
type Result struct {
	File    string `json:"file"`
	Version int64  `json:"version,omitempty"`
	// Refused reports whether a gateway refuses the whole configuration.
	Refused bool    `json:"refused"`
	Faults  []Fault `json:"faults"`
}

// Fault is a part that a gateway refuses, or a value that it does not use.
type Fault struct {
	Line   int `json:"line"`
	Column int `json:"column"`
	// Place is the JSON pointer of the fault; empty for the document.
	Place string `json:"place"`
	// Part is the kind of the part, Name its name.
	Part string `json:"part"`
	Name string `json:"name,omitempty"`
	Why  string `json:"why"`
	// Refused reports whether the part is refused; otherwise the value counts as absent.
	Refused bool `json:"refused"`
}

// NewCmdCheck returns the verb.
func NewCmdCheck(f *factory.Factory, runF func(*Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "check <file>...",
		Short: "Check configurations",
		Long: "Read configurations as a gateway would. Each part that it would refuse, and each value that it would not use,\n" +
			"is printed with its line and column.\n\n" +
			"Exit code 0: no part is refused; 1: a part is, or a file cannot be read; 2: a configuration is refused whole.",
		Example: "  honeydyke config check config.json\n  honeydyke config check --json config.json",
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
	for _, file := range opts.Files {
		text, err := opts.Factory.Read(file)
		if err != nil {
			return err
		}
		results = append(results, check(file, text))
	}
	if err := opts.Factory.Print(opts.JSON, results, factory.Text(format(results))); err != nil {
		return err
	}
	return verdict(results)
}

// check reads one configuration.
func check(file string, text []byte) Result {
	text = bytes.TrimPrefix(text, []byte("\ufeff"))
	c, err := platform.ReadConfig(text)
	if err != nil {
		line, column := locateError(text)
		return Result{File: file, Refused: true, Faults: []Fault{{Line: line, Column: column, Part: "configuration", Why: errors.Cause(err).Error(), Refused: true}}}
	}
	r := Result{File: file, Version: c.Version, Faults: []Fault{}}
	for _, f := range c.Faults() {
		r.Faults = append(r.Faults, located(text, f))
	}
	return r
}

func located(text []byte, f catalog.Fault) Fault {
	line, column := jsondoc.Locate(text, f.Place)
	return Fault{Line: line, Column: column, Place: f.Place, Part: f.Part, Name: f.Name, Why: f.Why, Refused: f.Refused}
}

// locateError returns where a text stops being JSON; its begin for one that is JSON.
func locateError(text []byte) (line, column int) {
	var value json.RawMessage
	var syntax *json.SyntaxError
	if errors.As(json.Unmarshal(text, &value), &syntax) {
		return jsondoc.LocateOffset(text, int(syntax.Offset)-1)
	}
	return 1, 1
}

func format(results []Result) string {
	var text strings.Builder
	for _, r := range results {
		refused := 0
		for _, f := range r.Faults {
			kind := "warning"
			if f.Refused {
				kind = "refused"
				refused++
			}
			fmt.Fprintf(&text, "%s:%d:%d: %s: %s: %s\n", r.File, f.Line, f.Column, kind, strings.TrimSpace(f.Part+" "+f.Name), f.Why)
		}
		switch {
		case r.Refused:
			fmt.Fprintf(&text, "%s: refused whole\n", r.File)
		default:
			fmt.Fprintf(&text, "%s: version %d, %d parts refused, %d values not used\n", r.File, r.Version, refused, len(r.Faults)-refused)
		}
	}
	return text.String()
}

// verdict returns the error that the exit code follows from.
func verdict(results []Result) error {
	whole, inPart := 0, 0
	for _, r := range results {
		refusesPart := func() bool {
			for _, f := range r.Faults {
				if f.Refused {
					return true
				}
			}
			return false
		}
		switch {
		case r.Refused:
			whole++
		case refusesPart():
			inPart++
		}
	}
	switch {
	case whole > 0:
		return factory.StatusError{Code: exitRefusedWhole, Err: errors.Errorf("%d of %d configurations refused whole", whole, len(results))}
	case inPart > 0:
		return errors.Errorf("%d of %d configurations have parts that are refused", inPart, len(results))
	}
	return nil
}

// exitRefusedWhole is the exit code for a configuration that a gateway refuses whole.
const exitRefusedWhole = 2
