package report

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
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
	for i, l := range lines {
		var points plotter.XYs
		var bars plotter.YErrors
		for k := range l.X {
			if math.IsNaN(l.Y[k]) || math.IsInf(l.Y[k], 0) {
				continue
			}
			points = append(points, plotter.XY{X: l.X[k], Y: l.Y[k]})
			if l.Spread != nil {
				bars = append(bars, struct{ Low, High float64 }{l.Spread[k], l.Spread[k]})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, fmt.Errorf("chart %q: %w", title, err)
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(l.Name, line)
		if l.Spread != nil {
			e, err := plotter.NewYErrorBars(struct {
				plotter.XYer
				plotter.YErrorer
			}{points, bars})
			if err != nil {
				return nil, fmt.Errorf("chart %q: %w", title, err)
			}
			e.Color = plotutil.Color(i)
			p.Add(e)
		}
	}
	return render(p)
}

// Bars draws one bar a name.
func Bars(title, y string, names []string, values []float64) ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, y
	bars, err := plotter.NewBarChart(plotter.Values(values), vg.Points(math.Max(3, 300/float64(len(values)))))
	if err != nil {
		return nil, fmt.Errorf("chart %q: %w", title, err)
	}
	bars.Color = plotutil.Color(2)
	p.Add(bars)
	if len(names) <= 30 {
		p.NominalX(names...)
		p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = 0.8, draw.XRight, draw.YCenter
	}
	return render(p)
}

func render(p *plot.Plot) ([]byte, error) {
	c := vgsvg.New(18*vg.Centimeter, 7.5*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return nil, fmt.Errorf("chart: %w", err)
	}
	svg := b.Bytes()
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		svg = svg[at:] // without the XML head, which has no place within a page
	}
	return svg, nil
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px sans-serif;max-width:60em;margin:2em auto}pre{background:#f4f4f4;padding:1em;overflow:auto}svg{max-width:100%}</style>
<h1>{{.Title}}</h1>{{range .Charts}}
<div>{{.}}</div>{{end}}
<pre>{{.Text}}</pre>
</html>
`))

// Page writes a self-contained page of charts and a text.
func Page(w io.Writer, title, text string, charts ...[]byte) error {
	var svgs []template.HTML
	for _, c := range charts {
		svgs = append(svgs, template.HTML(c))
	}
	if err := page.Execute(w, map[string]any{"Title": title, "Text": text, "Charts": svgs}); err != nil {
		return fmt.Errorf("page: %w", err)
	}
	return nil
}

// HTML writes the day as a self-contained page with plots.
func (d *Result) HTML(w io.Writer) error {
	var x []float64
	lines := make([]Line, 7)
	for i, s := range d.Figures.Seconds {
		x = append(x, float64(i))
		for k, v := range []float64{ratio(s.InTime, s.FirstRequests), ratio(s.Late, s.FirstRequests), ratio(s.Rejected, s.FirstRequests), ratio(s.Failed, s.FirstRequests),
			ratio(s.Attempts, s.Requests), s.P50ms, s.P99ms} {
			lines[k].Y = append(lines[k].Y, v)
		}
	}
	for k, name := range []string{"in time", "late", "refused", "failed", "attempts a try", "p50", "p99"} {
		lines[k].X, lines[k].Name = x, name
	}
	var names []string
	var attempts, use []float64
	for _, n := range d.Figures.Nodes {
		names, attempts, use = append(names, n.ID), append(attempts, n.Attempts), append(use, n.Utilization)
	}
	var charts [][]byte
	for _, draw := range []func() ([]byte, error){
		func() ([]byte, error) {
			return Chart(fmt.Sprintf("Outcomes of first tries (troubles %.0f to %.0f s)", d.FirstFaultSecond, d.LastFaultSecond), "s", "share", lines[:5]...)
		},
		func() ([]byte, error) { return Chart("Time to an answer that serves", "s", "ms", lines[5:]...) },
		func() ([]byte, error) { return Bars("Attempts by node", "attempts", names, attempts) },
		func() ([]byte, error) { return Bars("Use of nodes", "share of capacity", names, use) },
	} {
		c, err := draw()
		if err != nil {
			return err
		}
		charts = append(charts, c)
	}
	var text bytes.Buffer
	if err := d.Write(&text); err != nil {
		return err
	}
	return Page(w, d.Scenario+": "+d.About, text.String(), charts...)
}
