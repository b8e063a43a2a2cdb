package main

import (
	"context"
	"fmt"
	"os"

	"milletramp.example/milletramp/internal/lab"
	"milletramp.example/milletramp/internal/lab/scenario"
)

type labCompare struct {
	Scenario string `arg:"" help:"Name of a scenario, or path of its file."`
	A        string `required:"" help:"A policy; with --plane sockets a build of the sidecar, or module for this one."`
	B        string `required:"" help:"The one to judge against it."`
	Backend  string `name:"plane" enum:"sockets,sim" default:"sim" help:"As for lab run."`
	Seeds    int    `default:"10" help:"Seeds to run with each."`
	JSON     bool   `name:"json" help:"Print the differences as JSON."`
}

// Help says what the exit status means.
func (*labCompare) Help() string {
	return "Exit status: 0 if all seeds were run, whichever side is better; 1 otherwise."
}

// Run runs the scenario with both sides on the same seeds.
func (r *labCompare) Run(ctx context.Context, all *commands) error {
	s, err := readScenario(all.Lab.Dir, r.Scenario)
	if err != nil {
		return err
	}
	a, err := r.player(r.A)
	if err != nil {
		return err
	}
	b, err := r.player(r.B)
	if err != nil {
		return err
	}
	differences, err := lab.Compare(ctx, s, a, b, r.Seeds, printDayCount)
	if err != nil {
		return err
	}
	if r.JSON {
		return printJSON(differences)
	}
	return r.printTable(s, differences)
}

// player returns the player of one side, which is a policy in simulated time and a build on sockets.
func (r *labCompare) player(side string) (lab.Player, error) {
	if r.Backend != backendSockets {
		return newPlayer(playerOptions{backend: r.Backend, policy: side})
	}
	options := playerOptions{backend: r.Backend, policy: modulePolicy}
	if side != modulePolicy {
		if _, err := os.Stat(side); err != nil {
			return lab.Player{}, fmt.Errorf("build %q: %w", side, err)
		}
		options.build = side
	}
	return newPlayer(options)
}

func (r *labCompare) printTable(s *scenario.Scenario, differences []lab.Difference) error {
	table := newTable(os.Stdout)
	fmt.Fprintf(table, "%s, %d seeds\tA: %s\tB: %s\tB - A\t95%% interval\tB is\n", s.Name, r.Seeds, r.A, r.B)
	for _, d := range differences {
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%+.3f\t%+.3f to %+.3f\t%s\n",
			d.Measure, d.A, d.B, d.Diff.Mean, d.Diff.Low, d.Diff.High, d.Verdict)
	}
	return table.Flush()
}
