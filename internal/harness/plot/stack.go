package plot

import (
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Band is one named part of a Stack, with a value for each place on the X axis.
type Band struct {
	Name   string
	Values []float64
}

// Mark is a vertical line at a place on the X axis.
type Mark struct{ X float64 }

// Marks are marks of one kind.
type Marks struct {
	Name  string
	Marks []Mark
}

// Stack is a chart of parts that add up, one on top of the other.
type Stack struct {
	Title string
	X, Y  string
	// Bands are from the lowest up; all have as many values.
	Bands []Band
	Marks []Marks
}

// markDashes are the dashes of the first kind of marks; each further kind has longer
// ones.
const markDashes = vg.Length(2)

// headroom is how many times as high as the highest sum the chart is, so that the legend
// covers nothing.
const headroom = 1.5

// WriteSVG draws the chart.
func (s Stack) WriteSVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = s.Title
	p.X.Label.Text = s.X
	p.Y.Label.Text = s.Y
	p.Legend.Top = true
	top := 0.0
	var below []float64
	for i, band := range s.Bands {
		above := sumOf(below, band.Values)
		area, err := plotter.NewPolygon(outline(below, above))
		if err != nil {
			return err
		}
		area.Color = plotutil.Color(i)
		area.LineStyle.Width = 0
		p.Add(area)
		p.Legend.Add(band.Name, area)
		for _, y := range above {
			top = max(top, y)
		}
		below = above
	}
	p.Y.Max = headroom * top
	for i, marks := range s.Marks {
		if err := marks.add(p, top, markDashes*vg.Length(i+1)); err != nil {
			return err
		}
	}
	return writeSVG(p, w)
}

// add draws the marks from the axis up to top.
func (m Marks) add(p *plot.Plot, top float64, dashes vg.Length) error {
	style := draw.LineStyle{Color: color.Black, Width: vg.Points(1), Dashes: []vg.Length{dashes, dashes}}
	for i, mark := range m.Marks {
		l, err := plotter.NewLine(plotter.XYs{{X: mark.X}, {X: mark.X, Y: top}})
		if err != nil {
			return err
		}
		l.LineStyle = style
		p.Add(l)
		if i == 0 {
			p.Legend.Add(m.Name, l)
		}
	}
	return nil
}

// sumOf adds values to those below them.
func sumOf(below, values []float64) []float64 {
	above := make([]float64, len(values))
	for i, v := range values {
		above[i] = v
		if i < len(below) {
			above[i] += below[i]
		}
	}
	return above
}

// outline goes along the upper values and back along the lower ones.
func outline(below, above []float64) plotter.XYs {
	var points plotter.XYs
	for i, y := range above {
		points = append(points, plotter.XY{X: float64(i), Y: y})
	}
	for i := len(above) - 1; i >= 0; i-- {
		y := 0.0
		if i < len(below) {
			y = below[i]
		}
		points = append(points, plotter.XY{X: float64(i), Y: y})
	}
	return points
}
