// Package plot draws lines over two axes as SVG, for the reports of loads and
// experiments. It relies on gonum's plot, whose errors it returns.
package plot

import (
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a chart, as docs/plots has them.
const (
	width  = 18 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// Point is one point of a line.
type Point struct{ X, Y float64 }

// Line is a named line.
type Line struct {
	Name   string
	Points []Point
}

// Chart is a chart of lines.
type Chart struct {
	Title  string
	X, Y   string
	Lines  []Line
	LogX   bool
	Marked bool
}

// WriteSVG draws the chart.
func (c Chart) WriteSVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = c.Title
	p.X.Label.Text = c.X
	p.Y.Label.Text = c.Y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	if c.LogX {
		p.X.Scale = plot.LogScale{}
		p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	for i, line := range c.Lines {
		if err := c.add(p, i, line); err != nil {
			return err
		}
	}
	return writeSVG(p, w)
}

// writeSVG draws a chart of the usual size.
func writeSVG(p *plot.Plot, w io.Writer) error {
	to, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return err
	}
	_, err = to.WriteTo(w)
	return err
}

// add draws one line with the colours of its place.
func (c Chart) add(p *plot.Plot, i int, line Line) error {
	points := make(plotter.XYs, 0, len(line.Points))
	for _, pt := range line.Points {
		points = append(points, plotter.XY{X: pt.X, Y: pt.Y})
	}
	l, s, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	l.Color = plotutil.Color(i)
	l.Dashes = plotutil.Dashes(i)
	s.Color = plotutil.Color(i)
	p.Add(l)
	if c.Marked {
		p.Add(s)
	}
	p.Legend.Add(line.Name, l)
	return nil
}
