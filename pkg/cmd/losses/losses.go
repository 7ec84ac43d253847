// Package losses holds the verb that sums up, from the nodes' logs, which requests were
// not answered in time and what decided that. What it counts is in internal/losses.
package losses

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/harness/plot"
	"github.com/honeydyke/honeydyke/internal/losses"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// maxBands is how many bands the picture has at most; further colours repeat.
const maxBands = 7

// Options are the parts and flags of the verb.
type Options struct {
	Factory *factory.Factory
	Files   []string
	// From and To bound when requests ended, in RFC 3339; empty for no bound.
	From, To string
	Route    string
	By       string
	JSON     bool
	// SVG is the file for the picture; empty for none.
	SVG string
}

// NewCmdLosses returns the verb.
func NewCmdLosses(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "losses [<file>...]",
		Short: "Sum up from the nodes' logs what requests were lost to",
		Long: "Read log lines of nodes, from files or standard input, and count what became of the\n" +
			"requests: in time, late, refused, failed, left by their callers, or not owed since\n" +
			"no configuration allows them. What was late, refused or failed is counted by the\n" +
			"rule that decided it (docs/DECISIONS.md). A node that ends more than 50 requests a\n" +
			"second logs a part of those that went well, so that their share is a lower bound\n" +
			"there. Times are those of the nodes' clocks.",
		Example: "  honeydyke losses node-*.log\n" +
			"  honeydyke losses --by moment --route r-i7j7v75 node-*.log\n" +
			"  honeydyke losses --from 2026-12-02T10:00:00Z --svg losses.svg node-*.log",
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Files = args
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(opts)
		},
	}
	cmd.Flags().StringVar(&opts.From, "from", "", "count requests that ended at this time or later (RFC 3339)")
	cmd.Flags().StringVar(&opts.To, "to", "", "count requests that ended before this time (RFC 3339)")
	cmd.Flags().StringVar(&opts.Route, "route", "", "count the requests of one route")
	cmd.Flags().StringVar(&opts.By, "by", string(losses.ByRule), "sum up by "+groupings())
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print the sums as JSON")
	cmd.Flags().StringVar(&opts.SVG, "svg", "", "draw requests a second by outcome and cause into this file")
	return cmd
}

// groupings names what requests can be summed up by.
func groupings() string {
	var names []string
	for _, g := range losses.Groupings() {
		names = append(names, string(g))
	}
	return strings.Join(names, ", ")
}

// report is what the verb prints.
type report struct {
	Lines losses.Lines `json:"lines"`
	Total losses.Row   `json:"total"`
	Rows  []losses.Row `json:"rows"`
}

func run(opts *Options) error {
	filter, err := opts.filter()
	if err != nil {
		return err
	}
	by := losses.Grouping(opts.By)
	if !slices.Contains(losses.Groupings(), by) {
		return factory.Usagef("--by takes %s, not %q", groupings(), opts.By)
	}
	sum, timeline := losses.NewSum(by, filter), losses.NewTimeline(filter)
	r := losses.NewReader(func(q losses.Request) {
		sum.Add(q)
		timeline.Add(q)
	}, timeline.AddMark)
	unread := opts.read(r)
	if opts.SVG != "" {
		if err := draw(opts.SVG, timeline); err != nil {
			return err
		}
	}
	out := report{Lines: r.Lines(), Total: sum.Total(), Rows: sum.Rows()}
	if err := opts.Factory.Print(opts.JSON, out, out.write); err != nil {
		return err
	}
	return unread
}

// filter reads the bounds.
func (o *Options) filter() (losses.Filter, error) {
	from, err := timeOf("--from", o.From)
	if err != nil {
		return losses.Filter{}, err
	}
	to, err := timeOf("--to", o.To)
	return losses.Filter{From: from, To: to, Route: o.Route}, err
}

// timeOf reads the time of a flag; the zero time for none.
func timeOf(flag, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, factory.Usagef("%s takes a time like 2026-12-02T10:00:00Z, not %q", flag, text)
	}
	return t, nil
}

// read reads all files. One that does not read is reported on standard error, and the
// others count; the error says that the sums are not of all that was asked for.
func (o *Options) read(r *losses.Reader) error {
	files := o.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	unread := 0
	for _, name := range files {
		if err := o.readFile(r, name); err != nil {
			unread++
			// A failure to write to standard error leaves nothing to report it with.
			fmt.Fprintf(o.Factory.Err, "the rest of a log is left out: %v\n", err)
		}
	}
	if unread > 0 {
		return errors.Errorf("%d of %d logs were not read to their end: the sums are of the rest", unread, len(files))
	}
	return nil
}

func (o *Options) readFile(r *losses.Reader, name string) error {
	in, err := o.Factory.Open(name)
	if err != nil {
		return err
	}
	defer in.Close()
	return r.Read(name, in)
}

// write prints the sums as a table, with the seconds that lost requests spent in each
// part of their way.
func (r report) write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "requests\tin time\tlate\trefused\tfailed\tleft\tnot owed\tunknown\tstages s\tattempts s\tanswer s\trest s\t  group, rule, resource\n")
	for _, row := range append(r.Rows, r.Total) {
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t  %s\n", row.Requests,
			row.Count(losses.InTime), row.Count(losses.Late), row.Count(losses.Refused), row.Count(losses.Failed),
			row.Count(losses.Left), row.Count(losses.NotOwed), row.Count(losses.Unknown),
			row.Parts.Stages.Seconds(), row.Parts.Attempts.Seconds(), row.Parts.Answer.Seconds(), row.Parts.Rest.Seconds(), describe(row))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d lines read, %d of requests, %d that do not parse\n", r.Lines.All, r.Lines.Ended, r.Lines.Bad)
	return err
}

// describe names a group with its rule and resource.
func describe(row losses.Row) string {
	parts := []string{row.Group}
	for _, part := range []string{row.Rule, row.Resource} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ", ")
}

// draw writes the picture of a timeline.
func draw(file string, t *losses.Timeline) error {
	stack := plot.Stack{
		Title: "Requests by what became of them, from " + t.Start().UTC().Format(time.RFC3339),
		X:     "seconds", Y: "requests a second",
		Marks: []plot.Marks{
			{Name: "nodes started", Marks: marks(t.MarksOf(losses.Started))},
			{Name: "store lost", Marks: marks(t.MarksOf(losses.SourceLost))},
		},
	}
	for _, s := range t.Series(maxBands) {
		stack.Bands = append(stack.Bands, plot.Band{Name: s.Name, Values: s.Values})
	}
	if len(stack.Bands) == 0 {
		return errors.New("no request to draw")
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	defer out.Close()
	return stack.WriteSVG(out)
}

func marks(seconds []float64) []plot.Mark {
	var list []plot.Mark
	for _, s := range seconds {
		list = append(list, plot.Mark{X: s})
	}
	return list
}
