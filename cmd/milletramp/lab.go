package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"milletramp.example/milletramp/internal/lab"
	"milletramp.example/milletramp/internal/lab/report"
	"milletramp.example/milletramp/internal/lab/scenario"
)

type labCommands struct {
	Dir string `default:"lab" help:"Folder of the scenarios." type:"path"`

	Run     labRun     `cmd:"" help:"Play scenarios and report; exit status 1 if a rule is broken or an expectation missed."`
	Sweep   labSweep   `cmd:"" help:"Play a scenario over a range of one of its values."`
	Compare labCompare `cmd:"" help:"Play a scenario with two policies, or two builds of the sidecar, on the same seeds."`
	Scale   labScale   `cmd:"" help:"Measure a sidecar in fleets of up to 3,200 servers; exit status 1 if a figure is over its limit."`
	List    labList    `cmd:"" help:"List the scenarios."`
}

type labList struct{}

// Run lists the scenarios.
func (labList) Run(all *commands) error {
	files, err := lab.List(all.Lab.Dir)
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return fmt.Errorf("no scenarios in %s", all.Lab.Dir)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, file := range files {
		s, err := scenario.Read(file)
		if err != nil {
			return err
		}
		fmt.Fprintf(t, "%s\t%s\n", s.Name, s.About)
	}
	return t.Flush()
}

func readScenario(dir, name string) (*scenario.Scenario, error) {
	file, err := lab.Find(dir, name)
	if err != nil {
		return nil, err
	}
	return scenario.Read(file)
}

// newPlayer says how to play: with which build on sockets, or which policy in simulated time.
func newPlayer(plane, policy, sidecar string, log bool) (lab.Player, error) {
	p := lab.Player{Sockets: plane == "sockets", Policy: policy}
	if log {
		p.Log = os.Stderr
	}
	if !p.Sockets {
		if sidecar != "" {
			return p, errors.New("--sidecar names a build for the socket plane: use --plane sockets")
		}
		return p, nil
	}
	if policy != "module" {
		return p, fmt.Errorf("policy %q exists in the simulated plane alone: use --plane sim", policy)
	}
	if sidecar != "" {
		p.Sidecar = []string{sidecar}
		return p, nil
	}
	self, err := os.Executable()
	if err != nil {
		return p, fmt.Errorf("own path: %w", err)
	}
	p.Sidecar = []string{self, "sidecar"}
	return p, nil
}

// newProgressPrinter says from time to time how far something has come.
func newProgressPrinter(name string) func(at, of time.Duration) {
	last := time.Now()
	return func(at, of time.Duration) {
		if time.Since(last) > 2*time.Second {
			last = time.Now()
			fmt.Fprintf(os.Stderr, "%s: %.0f of %.0f s\n", name, at.Seconds(), of.Seconds())
		}
	}
}

// printDayCount says how many days are done.
func printDayCount(n, of int) {
	if n%max(of/10, 1) == 0 {
		fmt.Fprintf(os.Stderr, "%d of %d days\n", n, of)
	}
}

// writeFile writes a whole file or none.
func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.CreateTemp(filepath.Dir(name), ".milletramp-*")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	defer os.Remove(f.Name()) // no more than a name once it is renamed
	if err := errors.Join(write(f), f.Close()); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.Chmod(f.Name(), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.Rename(f.Name(), name); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

func printJSON(v any) error {
	if err := json.NewEncoder(os.Stdout).Encode(v); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

type labRun struct {
	Scenario []string `arg:"" help:"Names of scenarios, or paths of their files."`
	Backend  string   `name:"plane" enum:"sockets,sim" default:"sockets" help:"sockets: real sidecars and stand-ins on loopback, in real time; sim: simulated time."`
	Policy   string   `default:"module" help:"In the simulated plane: module, random, round-robin, least-requests, two-choices, oracle."`
	Sidecar  string   `help:"On the socket plane: a build of the sidecar to play in place of this one." type:"existingfile"`
	Seed     uint64   `help:"Of the draw; 0: the scenario's own."`
	JSON     bool     `name:"json" help:"Print the report as JSON."`
	HTML     string   `name:"html" help:"Write the report as a page with plots to this file; of several scenarios, the last one's."`
	Log      bool     `help:"Pass on what the sidecars log, to standard error."`
}

// Run plays the scenarios.
func (r *labRun) Run(ctx context.Context, all *commands) error {
	p, err := newPlayer(r.Backend, r.Policy, r.Sidecar, r.Log)
	if err != nil {
		return err
	}
	bad := 0
	for _, name := range r.Scenario {
		s, err := readScenario(all.Lab.Dir, name)
		if err != nil {
			return err
		}
		p.Progress = newProgressPrinter(s.Name)
		d, err := p.Play(ctx, s, r.Seed)
		if err != nil {
			return err
		}
		if r.JSON {
			err = printJSON(d)
		} else {
			err = d.Write(os.Stdout)
		}
		if err == nil && r.HTML != "" {
			err = writeFile(r.HTML, d.HTML)
		}
		if err != nil {
			return err
		}
		if !d.Good() {
			bad++
		}
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d scenarios broke a rule or missed an expectation", bad, len(r.Scenario))
	}
	return nil
}

type labSweep struct {
	Scenario  string `arg:"" help:"Name of a scenario, or its file."`
	Parameter string `name:"knob" required:"" help:"The value to vary, by its path in the file: load.use, fleet.nodes, trouble[0].size, ..."`
	Range     string `required:"" help:"Its values: FROM:TO:STEP, or a list with commas."`
	Seeds     int    `default:"5" help:"Days for each value."`
	Policy    string `default:"module" help:"As for lab run."`
	JSON      bool   `name:"json" help:"Print the points as JSON."`
	HTML      string `name:"html" help:"Write a page with a plot to this file."`
}

// Run sweeps.
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
		if err := writeFile(r.HTML, func(w io.Writer) error { return writeSweepPage(w, s, r, points) }); err != nil {
			return err
		}
	}
	if r.JSON {
		return printJSON(points)
	}
	return writeSweepTable(os.Stdout, r.Parameter, r.Seeds, points)
}

// parseRange reads FROM:TO:STEP or a list.
func parseRange(text string) ([]string, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 3 {
		return strings.Split(text, ","), nil
	}
	var f [3]float64
	for i, p := range parts {
		v, err := strconv.ParseFloat(p, 64)
		if err != nil {
			return nil, fmt.Errorf("--range: %q is no number", p)
		}
		f[i] = v
	}
	if n := (f[1] - f[0]) / f[2]; !(f[2] > 0 && n >= 0 && n < 1000) {
		return nil, fmt.Errorf("--range: %s has no sensible number of steps", text)
	}
	var values []string
	for v := f[0]; v <= f[1]+f[2]/1e6; v += f[2] {
		values = append(values, strconv.FormatFloat(v, 'g', 6, 64))
	}
	return values, nil
}

func writeSweepTable(w io.Writer, knob string, seeds int, points []lab.Point) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s", knob)
	for _, m := range lab.Measures {
		fmt.Fprintf(t, "\t%s", m.Name)
	}
	fmt.Fprintln(t, "\thealed\tbroke rules")
	for _, p := range points {
		fmt.Fprint(t, p.Value)
		for _, m := range lab.Measures {
			i := p.Figures[m.Name]
			fmt.Fprintf(t, "\t%.3f ± %.3f", i.Mean, i.High-i.Mean)
		}
		fmt.Fprintf(t, "\t%d of %d\t%d\n", p.Healed, seeds, p.Broken)
	}
	return t.Flush()
}

func writeSweepPage(w io.Writer, s *scenario.Scenario, r *labSweep, points []lab.Point) error {
	var lines []report.Line
	for _, m := range lab.Measures[:4] {
		l := report.Line{Name: m.Name}
		for i, p := range points {
			x, err := strconv.ParseFloat(p.Value, 64)
			if err != nil {
				x = float64(i)
			}
			l.X, l.Y = append(l.X, x), append(l.Y, p.Figures[m.Name].Mean)
			l.Spread = append(l.Spread, p.Figures[m.Name].High-p.Figures[m.Name].Mean)
		}
		lines = append(lines, l)
	}
	svg, err := report.Chart(fmt.Sprintf("%s, %s", s.Name, r.Policy), r.Parameter, "share", lines...)
	if err != nil {
		return err
	}
	var text strings.Builder
	if err := writeSweepTable(&text, r.Parameter, r.Seeds, points); err != nil {
		return err
	}
	return report.Page(w, "Sweep of "+r.Parameter+" in "+s.Name, text.String(), svg)
}

type labCompare struct {
	Scenario string `arg:"" help:"Name of a scenario, or its file."`
	A        string `required:"" help:"A policy, or on the socket plane a build of the sidecar."`
	B        string `required:"" help:"The one to judge against it."`
	Backend  string `name:"plane" enum:"sockets,sim" default:"sim" help:"As for lab run."`
	Seeds    int    `default:"10" help:"Days for each."`
	JSON     bool   `name:"json" help:"Print the differences as JSON."`
}

// Run compares.
func (r *labCompare) Run(ctx context.Context, all *commands) error {
	s, err := readScenario(all.Lab.Dir, r.Scenario)
	if err != nil {
		return err
	}
	var sides [2]lab.Player
	for i, name := range []string{r.A, r.B} {
		policy, build := name, ""
		if r.Backend == "sockets" {
			if policy = "module"; name != "module" { // this build
				build = name
				if _, err := os.Stat(name); err != nil {
					return fmt.Errorf("build %q: %w", name, err)
				}
			}
		}
		if sides[i], err = newPlayer(r.Backend, policy, build, false); err != nil {
			return err
		}
	}
	diffs, err := lab.Compare(ctx, s, sides[0], sides[1], r.Seeds, printDayCount)
	if err != nil {
		return err
	}
	if r.JSON {
		return printJSON(diffs)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s, %d seeds\tA: %s\tB: %s\tB - A\t95%% interval\tB is\n", s.Name, r.Seeds, r.A, r.B)
	for _, d := range diffs {
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%+.3f\t%+.3f to %+.3f\t%s\n", d.Measure, d.A, d.B, d.Diff.Mean, d.Diff.Low, d.Diff.High, d.Verdict)
	}
	return t.Flush()
}
