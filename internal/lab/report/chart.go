package report

import (
	"bytes"
	"fmt"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of charts, in points where no unit is named.
const (
	lineWidth      = 1.5
	barsWidth      = 300 // of all bars together
	narrowestBar   = 3
	maxNamedBars   = 30  // more bars than this have no names
	nameRotation   = 0.8 // radians
	chartWidth     = 18 * vg.Centimeter
	chartHeight    = 7.5 * vg.Centimeter
	barsColorIndex = 2
)

// Line is one line of a chart.
type Line struct {
	Name   string
	X, Y   []float64
	Spread []float64 // half of an interval about each Y; nil: none
}

// Chart draws lines as an SVG that stands by itself.
func Chart(title, x, y string, lines ...Line) ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Y.Min = true, 0
	p.Add(plotter.NewGrid())
	for i := range lines {
		if err := lines[i].draw(p, i); err != nil {
			return nil, fmt.Errorf("chart %q: %w", title, err)
		}
	}
	return render(p)
}

// draw adds a line with its intervals to a plot, in the color of an index. A line without points is left out.
func (l *Line) draw(p *plot.Plot, color int) error {
	points, bars := l.points()
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = plotutil.Color(color), vg.Points(lineWidth)
	p.Add(line)
	p.Legend.Add(l.Name, line)
	if l.Spread == nil {
		return nil
	}
	errorBars, err := plotter.NewYErrorBars(struct {
		plotter.XYer
		plotter.YErrorer
	}{points, bars})
	if err != nil {
		return err
	}
	errorBars.Color = plotutil.Color(color)
	p.Add(errorBars)
	return nil
}

// points are the points of a line that are numbers, and their intervals.
func (l *Line) points() (points plotter.XYs, bars plotter.YErrors) {
	for i := range l.X {
		if math.IsNaN(l.Y[i]) || math.IsInf(l.Y[i], 0) {
			continue
		}
		points = append(points, plotter.XY{X: l.X[i], Y: l.Y[i]})
		if l.Spread != nil {
			bars = append(bars, struct{ Low, High float64 }{l.Spread[i], l.Spread[i]})
		}
	}
	return points, bars
}

// Bars draws one bar a name, as an SVG that stands by itself.
func Bars(title, y string, names []string, values []float64) ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, y
	width := vg.Points(math.Max(narrowestBar, barsWidth/float64(len(values))))
	bars, err := plotter.NewBarChart(plotter.Values(values), width)
	if err != nil {
		return nil, fmt.Errorf("chart %q: %w", title, err)
	}
	bars.Color = plotutil.Color(barsColorIndex)
	p.Add(bars)
	if len(names) <= maxNamedBars {
		p.NominalX(names...)
		label := &p.X.Tick.Label
		label.Rotation, label.XAlign, label.YAlign = nameRotation, draw.XRight, draw.YCenter
	}
	return render(p)
}

// render draws a plot as an SVG without the XML head, which has no place within a page.
func render(p *plot.Plot) ([]byte, error) {
	c := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("chart: %w", err)
	}
	svg := b.Bytes()
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		svg = svg[at:]
	}
	return svg, nil
}
