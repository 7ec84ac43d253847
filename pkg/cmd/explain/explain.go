// Package explain holds the verb that shows what happened to one request, from
// the log lines of the nodes that handled it. It reads lines of any version: it
// knows the fields that order and introduce a line, and prints the others as they
// stand. Text that is not JSON is left out.
package explain

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/honeydyke/honeydyke/internal/saturate"
	"github.com/honeydyke/honeydyke/pkg/cmd/factory"
)

// maxLine bounds one line of a log, in bytes; a file is read up to a longer one. Nodes
// write lines of some hundred bytes.
const maxLine = 1 << 20

// Options are the parts and flags of the verb.
type Options struct {
	Factory *factory.Factory
	Request string
	Files   []string
	JSON    bool
}

// NewCmdExplain returns the verb.
func NewCmdExplain(f *factory.Factory, runF func(context.Context, *Options) error) *cobra.Command {
	opts := &Options{Factory: f}
	cmd := &cobra.Command{
		Use:   "explain <request> [<file>...]",
		Short: "Tell one request's story from the nodes' logs",
		Long: "Read log lines of nodes, from files or standard input, and print those of one\n" +
			"request in the order of their times, with what decided it. Beside them stand which\n" +
			"data centres were evacuated then, and why such a request is held back. Text before a\n" +
			"line's JSON, such as a node's name that a log collector adds, is kept. Exits with 1\n" +
			"when no line names the request.",
		Example: "  honeydyke explain 9c41d07be2a35f68 node-*.log\n" +
			"  collect-logs | honeydyke explain 9c41d07be2a35f68 --json",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Request, opts.Files = args[0], args[1:]
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return run(opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "print the lines as a JSON array")
	return cmd
}

// line is one log line of the request.
type line struct {
	// From is what stood before the line's JSON, or the file's name.
	From string `json:"from,omitempty"`
	// Fields are the line's own.
	Fields map[string]any `json:"fields"`
}

// at returns the line's time.
func (l line) at() time.Time {
	ms, _ := l.Fields["time"].(float64)
	return time.UnixMilli(saturate.Int64(ms))
}

func run(opts *Options) error {
	var story story
	if len(opts.Files) == 0 {
		opts.Files = []string{"-"}
	}
	for _, name := range opts.Files {
		text, err := opts.Factory.Read(name)
		if err != nil {
			return err
		}
		err = story.read(name, bytes.NewReader(text), opts.Request)
		if err != nil {
			// A failure to write to standard error leaves nothing to report it with.
			fmt.Fprintf(opts.Factory.Err, "%s: the rest is left out: %v\n", name, err)
		}
	}
	if len(story.own) == 0 {
		return fmt.Errorf("no line names request %q", opts.Request)
	}
	lines := story.lines()
	var text strings.Builder
	for _, l := range lines {
		fmt.Fprintln(&text, l.text(story.own[0].at()))
	}
	return opts.Factory.Print(opts.JSON, lines, factory.Text(text.String()))
}

// read adds the lines that name the request, and those of its background; what is no JSON
// is passed over. With an error, of a line that is too long, the lines before it are there.
func (s *story) read(name string, r io.Reader, request string) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		before, text, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		l := line{From: strings.TrimSpace(before)}
		if json.Unmarshal([]byte("{"+text), &l.Fields) != nil {
			continue
		}
		if l.From == "" && name != "-" {
			l.From = name
		}
		s.add(l, request)
	}
	return scanner.Err()
}

// text is the line for people: the time since the request's first, where it comes from,
// what happened, what a refusal compared, what a withdrawn request was displaced by or which answer
// a failure was concluded from, and the other fields by name.
func (l line) text(first time.Time) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%+.3fs  %v", l.at().Sub(first).Seconds(), l.Fields["message"])
	if l.From != "" {
		fmt.Fprintf(&b, "  [%s]", l.From)
	}
	if c, ok := comparisonOf(l.Fields); ok {
		fmt.Fprintf(&b, "\n         %s", c.text())
	}
	if w, ok := withdrawalOf(l.Fields); ok {
		fmt.Fprintf(&b, "\n         %s", w.text())
	}
	if e, ok := evidenceOf(l.Fields); ok {
		fmt.Fprintf(&b, "\n         %s", e.text())
	}
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		switch k {
		case "message", "time", "request", "level":
		default:
			fmt.Fprintf(&b, "\n         %s: %v", k, l.Fields[k])
		}
	}
	return b.String()
}
