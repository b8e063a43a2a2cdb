package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"beechmill.example/beechmill/internal/lab"
	"beechmill.example/beechmill/internal/lab/report"
	"beechmill.example/beechmill/internal/lab/rival"
	"beechmill.example/beechmill/internal/lab/scenario"
	"beechmill.example/beechmill/internal/lab/sim"
)

type labCommands struct {
	Dir string `default:"lab" help:"Folder of the scenarios." type:"path"`

	Run  labRun  `cmd:"" help:"Play scenarios and report; exit status 1 if a rule is broken or an expectation missed."`
	List labList `cmd:"" help:"List the scenarios."`
}

type labList struct{}

// Run lists the scenarios.
func (labList) Run(all *commands) error {
	files, err := lab.List(all.Lab.Dir)
	if err != nil {
		return err
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

type labRun struct {
	Scenario []string `arg:"" help:"Names of scenarios, or paths of their files."`
	Plane    string   `enum:"sockets,sim" default:"sim" help:"sockets: real sidecars and stand-ins on loopback; sim: simulated time."`
	Policy   string   `default:"module" help:"In the simulated plane: module, random, round-robin, least-requests, two-choices, oracle."`
	Seed     uint64   `help:"Of the draw; 0: the scenario's own."`
	JSON     bool     `name:"json" help:"Print the report as JSON."`
	Module   bool     `help:"Print what the module logs, to standard error."`
}

// Run plays the scenarios.
func (r *labRun) Run(ctx context.Context, all *commands) error {
	bad := 0
	for _, name := range r.Scenario {
		s, err := read(all.Lab.Dir, name)
		if err != nil {
			return err
		}
		d, err := r.play(ctx, s)
		if err != nil {
			return err
		}
		if err := r.print(d); err != nil {
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

func read(dir, name string) (*scenario.Scenario, error) {
	file, err := lab.Find(dir, name)
	if err != nil {
		return nil, err
	}
	return scenario.Read(file)
}

func (r *labRun) play(ctx context.Context, s *scenario.Scenario) (*report.Day, error) {
	seed := r.Seed
	if seed == 0 {
		seed = s.Seed
	}
	if r.Plane == "sockets" {
		return nil, errors.New("the socket plane is not built yet")
	}
	make, err := rival.New(r.Policy)
	if err != nil {
		return nil, err
	}
	opt := sim.Options{Make: make}
	if r.Module {
		opt.Log = func(at time.Duration, sidecar int, line string) {
			fmt.Fprintf(os.Stderr, "%8.3f n%d %s\n", at.Seconds(), sidecar, line)
		}
	}
	last := time.Now()
	opt.Progress = func(at time.Duration) {
		if time.Since(last) > time.Second {
			last = time.Now()
			fmt.Fprintf(os.Stderr, "%s: %.0f of %.0f s\n", s.Name, at.Seconds(), s.Length.Std().Seconds())
		}
	}
	d, err := lab.Simulated(ctx, s, seed, opt)
	if d != nil {
		d.Policy = r.Policy
	}
	return d, err
}

func (r *labRun) print(d *report.Day) error {
	if !r.JSON {
		return d.Write(os.Stdout)
	}
	e := json.NewEncoder(os.Stdout)
	if err := e.Encode(d); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}
