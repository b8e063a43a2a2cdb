package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"milletramp.example/milletramp/internal/lab"
	"milletramp.example/milletramp/internal/lab/report"
	"milletramp.example/milletramp/internal/lab/scenario"
)

const (
	maxSweepSteps = 1000
	// stepTolerance is the part of a step by which rounding may carry the last value past the end of its range.
	stepTolerance = 1e-6
	// plottedMeasures is how many of the measures the page plots: the shares, which come first.
	plottedMeasures = 4
)

type labSweep struct {
	Scenario  string `arg:"" help:"Name of a scenario, or path of its file."`
	Parameter string `name:"knob" required:"" help:"${parameter_help}"`
	Range     string `required:"" help:"Its values: FROM:TO:STEP, or a list with commas."`
	Seeds     int    `default:"5" help:"Seeds to run for each value."`
	Policy    string `default:"module" help:"As for lab run."`
	JSON      bool   `name:"json" help:"Print the points as JSON."`
	HTML      string `name:"html" help:"Write a page with a plot to this file."`
}

// Help says what the exit status means.
func (*labSweep) Help() string {
	return "Always in simulated time. Exit status: 0 if all seeds were run, whether or not they kept the rules; 1 " +
		"otherwise."
}

// Run runs the scenario for each value and seed.
func (r *labSweep) Run(ctx context.Context, all *commands) error {
	s, err := readScenario(all.Lab.Dir, r.Scenario)
	if err != nil {
		return err
	}
	values, err := parseRange(r.Range)
	if err != nil {
		return err
	}
	points, err := lab.Player{Policy: r.Policy}.Sweep(ctx, s, r.Parameter, values, r.Seeds, printDayCount)
	if err != nil {
		return err
	}
	if r.HTML != "" {
		page := func(w io.Writer) error { return r.writePage(w, s, points) }
		if err := writeFile(r.HTML, page); err != nil {
			return err
		}
	}
	if r.JSON {
		return printJSON(points)
	}
	return r.writeTable(os.Stdout, points)
}

// parseRange reads FROM:TO:STEP or a list.
func parseRange(text string) ([]string, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 3 {
		return strings.Split(text, ","), nil
	}
	var bounds [3]float64
	for i, part := range parts {
		bound, err := strconv.ParseFloat(part, 64)
		if err != nil {
			return nil, fmt.Errorf("--range: %q is no number", part)
		}
		bounds[i] = bound
	}
	from, to, step := bounds[0], bounds[1], bounds[2]
	steps := (to - from) / step
	if !(step > 0 && steps >= 0 && steps < maxSweepSteps) { // in this form it refuses NaN too
		return nil, fmt.Errorf("--range: %s has no sensible number of steps", text)
	}
	var values []string
	for value := from; value <= to+step*stepTolerance; value += step {
		values = append(values, strconv.FormatFloat(value, 'g', 6, 64))
	}
	return values, nil
}

// writeTable writes a row for each value, with the mean of each measure and half of its interval.
func (r *labSweep) writeTable(w io.Writer, points []lab.Point) error {
	table := newTable(w)
	fmt.Fprint(table, r.Parameter)
	for _, measure := range lab.Measures {
		fmt.Fprintf(table, "\t%s", measure.Name)
	}
	fmt.Fprintln(table, "\thealed\tbroke rules")
	for _, point := range points {
		fmt.Fprint(table, point.Value)
		for _, measure := range lab.Measures {
			figure := point.Figures[measure.Name]
			fmt.Fprintf(table, "\t%.3f ± %.3f", figure.Mean, figure.High-figure.Mean)
		}
		fmt.Fprintf(table, "\t%d of %d\t%d\n", point.Healed, r.Seeds, point.Broken)
	}
	return table.Flush()
}

// writePage writes the table and a plot.
func (r *labSweep) writePage(w io.Writer, s *scenario.Scenario, points []lab.Point) error {
	var lines []report.Line
	for _, measure := range lab.Measures[:plottedMeasures] {
		lines = append(lines, plotLine(measure.Name, points))
	}
	svg, err := report.Chart(fmt.Sprintf("%s, %s", s.Name, r.Policy), r.Parameter, "share", lines...)
	if err != nil {
		return err
	}
	var text strings.Builder
	if err := r.writeTable(&text, points); err != nil {
		return err
	}
	return report.Page(w, "Sweep of "+r.Parameter+" in "+s.Name, text.String(), svg)
}

// plotLine returns a measure over the values, or over their positions where they are no numbers.
func plotLine(measure string, points []lab.Point) report.Line {
	line := report.Line{Name: measure}
	for i, point := range points {
		x, err := strconv.ParseFloat(point.Value, 64)
		if err != nil {
			x = float64(i)
		}
		figure := point.Figures[measure]
		line.X = append(line.X, x)
		line.Y = append(line.Y, figure.Mean)
		line.Spread = append(line.Spread, figure.High-figure.Mean)
	}
	return line
}
