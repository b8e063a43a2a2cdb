package report

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
)

const pageStyle = "body{font:15px sans-serif;max-width:60em;margin:2em auto}" +
	"pre{background:#f4f4f4;padding:1em;overflow:auto}svg{max-width:100%}"

// page is the template of pageContent.
var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>` + pageStyle + `</style>
<h1>{{.Title}}</h1>{{range .Charts}}
<div>{{.}}</div>{{end}}
<pre>{{.Text}}</pre>
</html>
`))

// pageContent is what a page shows.
type pageContent struct {
	Title, Text string
	Charts      []template.HTML // SVGs
}

// Page writes a self-contained page of charts and a text.
func Page(w io.Writer, title, text string, charts ...[]byte) error {
	content := pageContent{Title: title, Text: text}
	for _, chart := range charts {
		content.Charts = append(content.Charts, template.HTML(chart))
	}
	if err := page.Execute(w, content); err != nil {
		return fmt.Errorf("page: %w", err)
	}
	return nil
}

// Lines of the charts of a run: the first ones are shares, the others latencies.
const (
	shareLines   = 5
	latencyLines = 2
)

// HTML writes the result as a self-contained page with charts.
func (r *Result) HTML(w io.Writer) error {
	charts, err := r.charts()
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		return err
	}
	return Page(w, r.Scenario+": "+r.About, text.String(), charts...)
}

// charts draws the charts of a run.
func (r *Result) charts() (charts [][]byte, err error) {
	lines := r.lines()
	title := fmt.Sprintf("Outcomes of first tries (troubles %.0f to %.0f s)", r.FirstFaultSecond, r.LastFaultSecond)
	names, attempts, utilization := r.nodeValues()
	for _, draw := range []func() ([]byte, error){
		func() ([]byte, error) { return Chart(title, "s", "share", lines[:shareLines]...) },
		func() ([]byte, error) {
			return Chart("Time to an answer that serves", "s", "ms", lines[shareLines:]...)
		},
		func() ([]byte, error) { return Bars("Attempts by node", "attempts", names, attempts) },
		func() ([]byte, error) { return Bars("Use of nodes", "share of capacity", names, utilization) },
	} {
		chart, err := draw()
		if err != nil {
			return nil, err
		}
		charts = append(charts, chart)
	}
	return charts, nil
}

// lines are the course of the run by second.
func (r *Result) lines() []Line {
	var x []float64
	lines := make([]Line, shareLines+latencyLines)
	for i, s := range r.Figures.Seconds {
		x = append(x, float64(i))
		for k, value := range []float64{
			ratio(s.InTime, s.FirstRequests),
			ratio(s.Late, s.FirstRequests),
			ratio(s.Rejected, s.FirstRequests),
			ratio(s.Failed, s.FirstRequests),
			ratio(s.Attempts, s.Requests),
			s.P50ms,
			s.P99ms,
		} {
			lines[k].Y = append(lines[k].Y, value)
		}
	}
	for k, name := range []string{"in time", "late", "refused", "failed", "attempts a try", "p50", "p99"} {
		lines[k].X, lines[k].Name = x, name
	}
	return lines
}

// nodeValues are the bars of the nodes.
func (r *Result) nodeValues() (names []string, attempts, utilization []float64) {
	for i := range r.Figures.Nodes {
		node := &r.Figures.Nodes[i]
		names = append(names, node.ID)
		attempts = append(attempts, node.Attempts)
		utilization = append(utilization, node.Utilization)
	}
	return names, attempts, utilization
}
