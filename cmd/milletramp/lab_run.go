package main

import (
	"context"
	"fmt"
	"os"

	"milletramp.example/milletramp/internal/lab"
	"milletramp.example/milletramp/internal/lab/report"
	"milletramp.example/milletramp/internal/lab/scenario"
)

type labRun struct {
	Scenario []string `arg:"" help:"Names of scenarios, or paths of their files."`
	Backend  string   `name:"plane" enum:"sockets,sim" default:"sockets" help:"${backend_help}"`
	Policy   string   `default:"module" help:"${policy_help}"`
	Sidecar  string   `type:"existingfile" help:"With --plane sockets: a build to run in place of this one."`
	Seed     uint64   `help:"Random seed; 0: the scenario's own."`
	JSON     bool     `name:"json" help:"Print the report as JSON."`
	HTML     string   `name:"html" help:"Write a page with plots to this file; of several scenarios, the last one's."`
	Log      bool     `help:"Pass on what the sidecars log, to standard error."`
}

// Help says what the exit status means.
func (*labRun) Help() string {
	return "Exit status: 0 if every scenario keeps the rules and meets its expectations, 1 if one does not or cannot " +
		"be run. No report is written of a scenario that cannot be run."
}

// Run runs the scenarios one after another.
func (r *labRun) Run(ctx context.Context, all *commands) error {
	player, err := newPlayer(playerOptions{backend: r.Backend, policy: r.Policy, build: r.Sidecar, logs: r.Log})
	if err != nil {
		return err
	}
	failed := 0
	for _, name := range r.Scenario {
		s, err := readScenario(all.Lab.Dir, name)
		if err != nil {
			return err
		}
		day, err := r.play(ctx, player, s)
		if err != nil {
			return err
		}
		if !day.Passed() {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d scenarios broke a rule or missed an expectation", failed, len(r.Scenario))
	}
	return nil
}

// play runs one scenario and writes its report.
func (r *labRun) play(ctx context.Context, player lab.Player, s *scenario.Scenario) (*report.Result, error) {
	player.Progress = newProgressPrinter(s.Name)
	day, err := player.Play(ctx, s, r.Seed)
	if err != nil {
		return nil, err
	}
	if r.JSON {
		err = printJSON(day)
	} else {
		err = day.Write(os.Stdout)
	}
	if err == nil && r.HTML != "" {
		err = writeFile(r.HTML, day.HTML)
	}
	return day, err
}
