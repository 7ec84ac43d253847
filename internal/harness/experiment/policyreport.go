package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/honeydyke/honeydyke/internal/harness/plot"
)

// PolicyCell is the outcome of one policy at one load under one condition.
type PolicyCell struct {
	Condition string  `json:"condition"`
	Policy    string  `json:"policy"`
	Load      float64 `json:"load"`
	Sent      int     `json:"sent"`
	// Attainment is the share of requests that were answered whole in time.
	Attainment float64 `json:"attainment"`
	// Bound is the largest attainment that the slots allow on these arrivals.
	Bound float64 `json:"bound"`
	// CostRatio is all that was spent over the cost of the whole answers with
	// each stage run once.
	CostRatio float64 `json:"costRatio"`
	// Wasted is the share of all cost that went to requests without a whole
	// answer, or to attempts that did not count.
	Wasted float64 `json:"wasted"`
	// ByPipeline is the attainment of each pipeline.
	ByPipeline map[string]float64 `json:"byPipeline"`
	// Reasons counts the refusals of each pipeline by reason.
	Reasons map[string]map[string]int `json:"reasons"`
}

// PolicyReport is the outcome of a comparison.
type PolicyReport struct {
	User  string       `json:"user"`
	Cells []PolicyCell `json:"cells"`
}

// Print writes the table for people.
func (r *PolicyReport) Print(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%-13s %-18s %5s %6s %8s %7s %7s %7s\n",
		"condition", "policy", "load", "sent", "attain", "bound", "cost", "wasted"); err != nil {
		return err
	}
	for _, c := range r.Cells {
		if _, err := fmt.Fprintln(w, c.Line()); err != nil {
			return err
		}
	}
	return nil
}

// Line is the cell as a line of the table.
func (c PolicyCell) Line() string {
	line := fmt.Sprintf("%-13s %-18s %5.1f %6d %7.1f%% %6.1f%% %7.2f %6.1f%% ",
		c.Condition, c.Policy, c.Load, c.Sent, 100*c.Attainment, 100*c.Bound, c.CostRatio, 100*c.Wasted)
	for _, name := range slices.Sorted(maps.Keys(c.ByPipeline)) {
		line += fmt.Sprintf(" %s %.0f", name, 100*c.ByPipeline[name])
	}
	return line
}

// Chart draws attainment over load for one condition.
func (r *PolicyReport) Chart(condition string) plot.Chart {
	c := plot.Chart{
		Title: fmt.Sprintf("%s, %s: requests answered whole in time", r.User, condition),
		X:     "load (1 is the capacity of the busiest pool)", Y: "attainment", Marked: true,
	}
	bound := plot.Line{Name: "bound"}
	for _, name := range Policies {
		line := plot.Line{Name: name}
		for _, cell := range r.Cells {
			if cell.Condition != condition || cell.Policy != name {
				continue
			}
			line.Points = append(line.Points, plot.Point{X: cell.Load, Y: cell.Attainment})
			if name == PolicyProduct {
				bound.Points = append(bound.Points, plot.Point{X: cell.Load, Y: cell.Bound})
			}
		}
		if len(line.Points) > 0 {
			c.Lines = append(c.Lines, line)
		}
	}
	c.Lines = append(c.Lines, bound)
	return c
}
