package experiment

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// repeats is how often each point is measured; the median counts.
const repeats = 5

// Slope is one cost measured at several sizes, and the line through it.
type Slope struct {
	Name string `json:"name"`
	// Size is what X counts, Unit what Y is in.
	Size string    `json:"size"`
	Unit string    `json:"unit"`
	X    []float64 `json:"x"`
	Y    []float64 `json:"y"`
	// Spread is the largest range of a point's repeats over its median.
	Spread float64 `json:"spread"`
	// Fixed and PerOne are the line: Y is about Fixed + PerOne * X. R2 is how
	// much of the variation it explains.
	Fixed  float64 `json:"fixed"`
	PerOne float64 `json:"perOne"`
	R2     float64 `json:"r2"`
}

// CapacityReport holds the slopes that docs/CAPACITY.md works with.
type CapacityReport struct {
	Slopes []Slope `json:"slopes"`
}

// Print writes the slopes for people.
func (r *CapacityReport) Print(w io.Writer) error {
	for _, s := range r.Slopes {
		if _, err := fmt.Fprintf(w, "%-34s %s = %.4g + %.4g x %s  (R2 %.3f, spread %.0f%%)\n  x %v\n  y %.4g\n",
			s.Name, s.Unit, s.Fixed, s.PerOne, s.Size, s.R2, 100*s.Spread, s.X, s.Y); err != nil {
			return err
		}
	}
	return nil
}

// MeasureCapacity measures the cost of each duty at several sizes.
func MeasureCapacity(ctx context.Context) (*CapacityReport, error) {
	rep := &CapacityReport{}
	measures := []struct {
		name, size, unit string
		sizes            []int
		at               func(n int) func() float64
	}{
		{"decision of admission", "targets in a pool", "us", []int{10, 100, 300, 1000, 3000}, decisionCost},
		{"report of a target", "targets in a pool", "us", []int{10, 100, 300, 1000, 3000}, reportCost},
		{"request let in", "organisations", "us", []int{10, 100, 400, 1200}, openCost},
		{"checking a bundle", "targets", "ms", []int{100, 1000, 3000, 9000}, verifyCost},
		{"memory of a plan in force", "targets", "KB", []int{1000, 3000, 10000}, planMemory},
		{"taking in an exchange", "peers known", "us", []int{10, 100, 300, 880}, exchangeCost},
		{"size of an exchange", "peers known", "bytes", []int{10, 100, 300, 880}, exchangeBytes},
		{"one change sent whole", "targets", "bytes", []int{100, 1000, 3000, 9000}, wholeBytes},
		{"one change sent as a step", "targets", "bytes", []int{100, 1000, 3000, 9000}, stepBytes},
		{"minting and spending a ticket", "tickets in the book", "us", []int{100, 1000, 10000, 50000}, ticketCost},
		{"memory of the ticket book", "spent tickets", "KB", []int{1000, 10000, 50000}, bookMemory},
	}
	for _, m := range measures {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		s := Slope{Name: m.name, Size: m.size, Unit: m.unit}
		for _, n := range m.sizes {
			s.add(n, m.at(n))
		}
		s.fit()
		rep.Slopes = append(rep.Slopes, s)
	}
	return rep, nil
}

// add measures one point.
func (s *Slope) add(n int, measure func() float64) {
	var ys []float64
	for range repeats {
		ys = append(ys, measure())
	}
	slices.Sort(ys)
	median := ys[repeats/2]
	s.X = append(s.X, float64(n))
	s.Y = append(s.Y, median)
	if median > 0 {
		s.Spread = max(s.Spread, (ys[repeats-1]-ys[0])/median)
	}
}

// fit puts a line through the points.
func (s *Slope) fit() {
	s.Fixed, s.PerOne = stat.LinearRegression(s.X, s.Y, nil, false)
	s.R2 = stat.RSquared(s.X, s.Y, nil, s.Fixed, s.PerOne)
	if math.IsNaN(s.R2) {
		s.R2 = 1 // all points are the same, and so is the line
	}
}
