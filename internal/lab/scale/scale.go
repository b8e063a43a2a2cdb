// Package scale measures what one sidecar needs in fleets of different sizes while half of the servers are replaced,
// and checks the larger fleets against the operators' limits on growth. It owns the servers, the discovery and the
// sidecar's process of each case. Run fails with the errors of all cases, each with its case's size.
package scale

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"
)

// Case is one fleet to measure a sidecar in.
type Case struct {
	Servers int
	Peers   int // sidecars of the fleet, of which one is run
	Base    int // index of the case of the usual size that limits this one; its own index: nothing limits it
}

// Options say what is measured, and how.
type Options struct {
	Command []string // of a sidecar
	Cases   []Case
	Zones   int
	Rate    float64       // requests a second
	Length  time.Duration // for which they come
	Replace time.Duration // in which half of the servers are replaced, one by one
}

// Standard is the measurement that the limits are meant for: up to sixteen times the servers of usual fleets.
func Standard(command []string) Options {
	return Options{Command: command, Zones: 3, Rate: 30, Length: 25 * time.Second, Replace: 12 * time.Second,
		Cases: []Case{{60, 300, 0}, {200, 300, 1}, {960, 900, 0}, {3200, 300, 1}, {3200, 900, 1}}}
}

// Figures are what a sidecar needed.
type Figures struct {
	CPU         float64 // seconds
	Memory      float64 // MB of peak memory
	Descriptors float64 // at the most
	Connections float64 // made to servers
	Lists       float64 // kB of lists from discovery
	Served      float64 // share of the requests
}

// Measure is one of the figures with its limit in a larger fleet.
type Measure struct {
	Name  string
	Of    func(Figures) float64
	Timed bool // it varies with how busy the machine is
	// Limit is what the figure may be in a fleet of so many thousand servers, for what it is at the usual size.
	Limit func(usual, thousands float64) float64
	Least bool // the limit is the least, not the most
}

// Measures are all figures, with the limits that the operators set.
var Measures = []Measure{
	{Name: "CPU s", Of: func(f Figures) float64 { return f.CPU }, Timed: true,
		Limit: func(usual, thousands float64) float64 { return 1.4*usual + 0.02 + 0.03*thousands }},
	{Name: "memory MB", Of: func(f Figures) float64 { return f.Memory }, Timed: true,
		Limit: func(usual, thousands float64) float64 { return 1.5*usual + 8 + 4*thousands }},
	{Name: "descriptors", Of: func(f Figures) float64 { return f.Descriptors },
		Limit: func(usual, _ float64) float64 { return 2*usual + 40 }},
	{Name: "connections", Of: func(f Figures) float64 { return f.Connections },
		Limit: func(usual, _ float64) float64 { return 2.5*usual + 40 }},
	{Name: "lists kB", Of: func(f Figures) float64 { return f.Lists },
		Limit: func(usual, thousands float64) float64 { return 2*usual + 64 + 500*thousands }},
	{Name: "served", Of: func(f Figures) float64 { return f.Served }, Least: true,
		Limit: func(usual, _ float64) float64 { return 0.85 * usual }},
}

// Result is what was measured of all cases.
type Result struct {
	Cases   []Case
	Figures []Figures
}

// Figure is one figure of one case.
type Figure struct {
	Case    Case
	Measure Measure
	Value   float64
	Limit   float64
	Limited bool
}

// ExceedsLimit tells whether the figure is beyond its limit.
func (f Figure) ExceedsLimit() bool {
	return f.Limited && (f.Measure.Least && f.Value < f.Limit || !f.Measure.Least && f.Value > f.Limit)
}

// All lists each figure of each case with its limit.
func (r Result) All() (all []Figure) {
	for i, c := range r.Cases {
		for _, m := range Measures {
			f := Figure{Case: c, Measure: m, Value: m.Of(r.Figures[i]), Limited: c.Base != i}
			if f.Limited {
				f.Limit = m.Limit(m.Of(r.Figures[c.Base]), float64(c.Servers)/1000)
			}
			all = append(all, f)
		}
	}
	return all
}

// Exceeded lists the figures that are beyond their limits.
func (r Result) Exceeded() (over []Figure) {
	for _, f := range r.All() {
		if f.ExceedsLimit() {
			over = append(over, f)
		}
	}
	return over
}

// row is a figure's line.
func (f Figure) row() []string {
	limit, verdict := "-", "-"
	if f.Limited {
		limit, verdict = strconv.FormatFloat(f.Limit, 'f', 2, 64), "within"
	}
	if f.ExceedsLimit() {
		verdict = "OVER"
	}
	return []string{strconv.Itoa(f.Case.Servers), strconv.Itoa(f.Case.Peers), f.Measure.Name,
		strconv.FormatFloat(f.Value, 'f', 2, 64), limit, verdict}
}

var header = []string{"servers", "sidecars", "figure", "measured", "limit", "verdict"}

// Write writes the figures as a table.
func (r Result) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(cells []string) {
		for _, c := range cells {
			fmt.Fprint(t, c, "\t")
		}
		fmt.Fprintln(t)
	}
	line(header)
	for _, f := range r.All() {
		line(f.row())
	}
	return t.Flush()
}

// CSV writes the figures as comma-separated values.
func (r Result) CSV(w io.Writer) error {
	c := csv.NewWriter(w)
	_ = c.Write(header) // Error tells
	for _, f := range r.All() {
		_ = c.Write(f.row())
	}
	c.Flush()
	return c.Error()
}
