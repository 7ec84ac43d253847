package matrix

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Report is the outcome of the matrix.
type Report struct {
	Cells []Cell `json:"cells"`
}

// Broken returns the cells in which a promise did not hold.
func (r *Report) Broken() []Cell {
	return slices.DeleteFunc(slices.Clone(r.Cells), func(c Cell) bool { return len(c.Broken) == 0 })
}

// letters stand for ends in the table.
var letters = map[string]string{endWhole: "W", "ran": "R", "may-have-run": "M", "not-run": "N"}

// Print writes a table for each form, then what was broken.
func (r *Report) Print(w io.Writer) error {
	var b strings.Builder
	b.WriteString("W whole, R ran, M may have run, N not run; ! a promise was broken\n")
	for _, f := range forms {
		r.printForm(&b, f)
	}
	r.printPairs(&b)
	for _, c := range r.Broken() {
		fmt.Fprintf(&b, "BROKEN %s, %v: %s\n", c.Form, c.Faults, strings.Join(c.Broken, "; "))
	}
	fmt.Fprintf(&b, "%d cells, %d broken\n", len(r.Cells), len(r.Broken()))
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Report) printForm(b *strings.Builder, f form) {
	fmt.Fprintf(b, "\n%s: the end for a fault at stage 1, 2, ...\n", f.name)
	rows := map[string]string{}
	var names []string
	for _, c := range r.Cells {
		if c.Form != f.name || len(c.Faults) != 1 {
			continue
		}
		name := c.Faults[0].String()
		if _, seen := rows[name]; !seen {
			names = append(names, name)
		}
		rows[name] += " " + c.letter()
	}
	for _, name := range names {
		fmt.Fprintf(b, "  %-32s%s\n", name, rows[name])
	}
}

func (c Cell) letter() string {
	l := letters[c.End]
	if len(c.Broken) > 0 {
		return l + "!"
	}
	return l
}

func (r *Report) printPairs(b *strings.Builder) {
	ends := map[string]int{}
	total := 0
	for _, c := range r.Cells {
		if len(c.Faults) == 2 {
			ends[c.End]++
			total++
		}
	}
	fmt.Fprintf(b, "\n%d pairs of faults:", total)
	for _, end := range []string{endWhole, "ran", "may-have-run", "not-run"} {
		fmt.Fprintf(b, " %d %s", ends[end], end)
	}
	b.WriteString("\n")
}
