package load

import (
	"maps"
	"slices"

	"github.com/honeydyke/honeydyke/internal/harness/plot"
)

// Chart draws, for each pipeline, the share of requests that were answered whole
// within a time.
func (r *Report) Chart() plot.Chart {
	c := plot.Chart{Title: "Requests answered whole", X: "time to the whole answer (ms)", Y: "share of requests sent", LogX: true}
	for _, name := range slices.Sorted(maps.Keys(r.Pipelines)) {
		p := r.Pipelines[name]
		line := plot.Line{Name: name}
		seen := int64(0)
		for _, bar := range p.answers.Distribution() {
			if bar.Count == 0 {
				continue
			}
			seen += bar.Count
			line.Points = append(line.Points, plot.Point{X: float64(bar.To) / 1000, Y: float64(seen) / float64(p.Sent)})
		}
		if len(line.Points) > 0 {
			c.Lines = append(c.Lines, line)
		}
	}
	return c
}
