// Package lab plays scenarios of the emulated service and judges them: it puts the plan, a backend, the checker and the
// meter together.
package lab

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"milletramp.example/milletramp/internal/lab/checker"
	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/report"
	"milletramp.example/milletramp/internal/lab/runplan"
	"milletramp.example/milletramp/internal/lab/scenario"
	"milletramp.example/milletramp/internal/lab/sim"
)

// Simulated plays a scenario in simulated time.
func Simulated(ctx context.Context, s *scenario.Scenario, seed uint64, opt sim.Options) (*report.Result, error) {
	began := time.Now()
	p := runplan.Draw(s, seed)
	meter, judge := report.NewMeter(p), checker.New(Terms(p, 20*time.Millisecond))
	sinks := record.Sinks{meter, judge}
	if opt.Sink != nil {
		sinks = append(sinks, opt.Sink)
	}
	opt.Sink = sinks
	res, err := sim.Run(ctx, p, opt)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	d := Judge(p, meter, judge)
	d.Backend, d.Events, d.ElapsedSeconds = "simulated", res.Events, time.Since(began).Seconds()
	return d, nil
}

// Judge ends a day.
func Judge(p *runplan.Plan, meter *report.Meter, judge *checker.Checker) *report.Result {
	d := &report.Result{Scenario: p.Scenario.Name, About: p.Scenario.About, Seed: p.Seed, Figures: meter.Figures(),
		Verdict: judge.Verdict(24 * time.Hour), FirstFaultSecond: p.FirstFault.Seconds(),
		LastFaultSecond: p.LastFaultEnd.Seconds()}
	d.Missed = Missed(p.Scenario.Expect, d.Figures)
	return d
}

// Missed lists the expectations that a day did not meet.
func Missed(e scenario.Expect, f report.Figures) (missed []string) {
	check := func(name string, want, got float64, least bool) {
		if want != 0 && (least && got < want || !least && got > want) {
			word := "at most"
			if least {
				word = "at least"
			}
			missed = append(missed, fmt.Sprintf("%s is %.3f, expected %s %.3f", name, got, word, want))
		}
	}
	check("in_time", e.InTime, f.InTimePriority, true)
	check("worst_10s", e.Worst10s, f.Worst10s, true)
	check("failed", e.Failed, f.Failed, false)
	check("attempts", e.Attempts, f.AttemptsPerRequest, false)
	check("useful", e.Useful, f.UsefulWork, true)
	if e.Recover > 0 && f.RecoverSeconds < 0 {
		missed = append(missed, "recover: service is not back by the end")
	} else {
		check("recover", e.Recover.Std().Seconds(), f.RecoverSeconds, false)
	}
	return missed
}

// Terms are what the checker goes by for a plan, with a slack for the backend's own lateness.
func Terms(p *runplan.Plan, slack time.Duration) checker.Limits {
	s := p.Scenario
	limits := checker.Limits{
		ResponseSlack:     slack,
		DrainGrace:        time.Second + slack,
		GiveUpGrace:       50 * time.Millisecond,
		SendGrace:         time.Millisecond,
		OverloadMultiple:  s.Fleet.OverloadMultiple,
		OverloadWindow:    s.Fleet.OverloadWindow.Std(),
		OverloadSlack:     8 * s.MeanWork(),
		SlowStartCapacity: s.Fleet.SlowStartCapacity,
		SlowStartWindow:   s.Fleet.SlowStartWindow.Std(),
	}
	for _, class := range s.Classes {
		limits.Classes = append(limits.Classes, retryRules(p, class))
	}
	return limits
}

// retryRules returns what the checker goes by for the retries of a class.
func retryRules(p *runplan.Plan, class scenario.Class) checker.RetryRules {
	rules := checker.RetryRules{
		Idempotent:   class.Effect == "idempotent",
		Deduplicated: class.Effect == "deduplicated",
		DedupeWindow: class.DedupeWindow.Std(),
	}
	rules.MayReject = rules.Idempotent || rules.Deduplicated && class.Scope == "all"
	switch class.Scope {
	case "zone":
		rules.PodGroup = func(node int32) int { return p.Machines[node].Zone }
	case "cell":
		rules.PodGroup = func(node int32) int { return p.Machines[node].PodGroup }
	default:
		rules.PodGroup = func(int32) int { return 0 }
	}
	return rules
}

// Find returns the file of a scenario: a path, or a name under dir.
func Find(dir, name string) (string, error) {
	if strings.HasSuffix(name, ".toml") {
		return name, nil
	}
	file := filepath.Join(dir, name+".toml")
	if _, err := os.Stat(file); errors.Is(err, fs.ErrNotExist) {
		all, _ := List(dir)
		for i := range all {
			all[i] = strings.TrimSuffix(filepath.Base(all[i]), ".toml")
		}
		return "", fmt.Errorf("no scenario %q in %s, there are: %s", name, dir, strings.Join(all, ", "))
	}
	return file, nil
}

// List returns the files of all scenarios in a folder, sorted.
func List(dir string) ([]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return nil, fmt.Errorf("scenarios in %s: %w", dir, err)
	}
	slices.Sort(files)
	return files, nil
}
