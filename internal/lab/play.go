package lab

import (
	"context"
	"fmt"
	"io"
	"time"

	"milletramp.example/milletramp/internal/lab/checker"
	"milletramp.example/milletramp/internal/lab/loopback"
	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/report"
	"milletramp.example/milletramp/internal/lab/runplan"
	"milletramp.example/milletramp/internal/lab/scenario"
)

// Player says how scenarios are played.
type Player struct {
	Sockets  bool     // on loopback with real sidecars, else in simulated time
	Sidecar  []string // the command of one, for the socket plane
	Policy   string   // of the simulated plane: "module" or a baseline policy
	Log      io.Writer
	Progress func(at, of time.Duration) // may be nil
}

// Name words what is played.
func (p Player) Name() string {
	if p.Sockets {
		return p.Sidecar[0]
	}
	return p.Policy
}

// Play plays a scenario; a seed of 0 is the scenario's own.
func (p Player) Play(ctx context.Context, s *scenario.Scenario, seed uint64) (*report.Result, error) {
	if seed == 0 {
		seed = s.Seed
	}
	progress := func(at time.Duration) {
		if p.Progress != nil {
			p.Progress(at, s.Length.Std())
		}
	}
	if p.Sockets {
		return p.onSockets(ctx, s, seed, progress)
	}
	opt, err := simulated(p.Policy, s)
	if err != nil {
		return nil, err
	}
	opt.Progress = progress
	if p.Log != nil {
		opt.Log = func(at time.Duration, sidecar int, line string) {
			fmt.Fprintf(p.Log, "%8.3f n%d %s\n", at.Seconds(), sidecar, line)
		}
	}
	d, err := Simulated(ctx, s, seed, opt)
	if err != nil {
		return nil, err
	}
	d.Policy = p.Policy
	return d, nil
}

func (p Player) onSockets(ctx context.Context, s *scenario.Scenario, seed uint64, progress func(time.Duration)) (*report.Result, error) {
	began := time.Now()
	drawn := runplan.Draw(s, seed)
	meter, tape := report.NewMeter(drawn), &record.Tape{}
	res, err := loopback.Run(ctx, drawn, loopback.Options{Command: p.Sidecar, Sink: record.Sinks{meter, tape}, Progress: progress,
		SidecarLog: p.Log})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	judge := checker.New(socketTerms(drawn, res.MaxSendDelay))
	for i := range tape.Events {
		judge.Record(&tape.Events[i])
	}
	d := Judge(drawn, meter, judge)
	d.Backend, d.Policy, d.ElapsedSeconds = "socket", p.Name(), time.Since(began).Seconds()
	d.MaxSendDelaySeconds, d.MaxSidecarKB, d.MaxSidecarFDs = res.MaxSendDelay.Seconds(), res.MaxRSS, res.MaxDescriptors
	return d, nil
}

// mostExcused is the most by which a machine that stands still excuses late answers. One that stands still for longer is not fit to
// play on, and its breaches say so.
const mostExcused = 300 * time.Millisecond

// socketTerms are the terms of a play in real time. The clients' own lateness, the most by which a request was sent behind its time, is
// how exactly this machine tells times that day: a sidecar beside them that answers as late was stood still with them.
func socketTerms(drawn *runplan.Plan, late time.Duration) checker.Limits {
	s := drawn.Scenario
	late = min(late, mostExcused)
	terms := Terms(drawn, loopback.ResponseSlack+late)
	// Where connections never come up, the wire shows no attempt while the sidecar waits for one; elsewhere an answer has
	// to follow what was last out within the way there and the lateness of a machine that does all parts at once.
	terms.SendGrace = s.Network.ConnectTimeout.Std() + 4*s.Network.CrossZone.Std() // nodes are seen, not the sidecars' sending
	terms.GiveUpGrace = s.Network.ConnectTimeout.Std() + 4*s.Network.CrossZone.Std() + 100*time.Millisecond + late
	for _, a := range drawn.Actions {
		if a.Kind == runplan.IsolateNode || a.Kind == runplan.CutZone {
			terms.GiveUpGrace = time.Hour
		}
	}
	return terms
}

// Point is one value of a sweep's knob.
type Point struct {
	Value   string              `json:"value"`
	Figures map[string]Interval `json:"figures"`
	Healed  int                 `json:"healed"` // seeds whose service came back
	Broken  int                 `json:"broken"` // seeds that broke a rule
}

// Measures are the figures that sweeps and comparisons read, by name.
var Measures = []struct {
	Name string
	Of   func(f report.Figures) float64
}{
	{"in_time_worth", func(f report.Figures) float64 { return f.InTimePriority }},
	{"worst_10s_worth", func(f report.Figures) float64 { return f.Worst10s }},
	{"useful_work", func(f report.Figures) float64 { return f.UsefulWork }},
	{"attempts_per_try", func(f report.Figures) float64 { return f.AttemptsPerRequest }},
	{"refused", func(f report.Figures) float64 { return f.Rejected }},
	{"failed", func(f report.Figures) float64 { return f.Failed }},
	{"pairs_that_lost", func(f report.Figures) float64 { return float64(f.LossDetection.Losses) }},
	{"not_known_in_time", func(f report.Figures) float64 { return float64(f.LossDetection.Undetected) }},
	{"known_p50_s", func(f report.Figures) float64 { return f.LossDetection.P50s }},
	{"known_last_s", func(f report.Figures) float64 { return f.LossDetection.MaxS }},
}

// Sweep plays a scenario for each value of a knob with some seeds. done is called after each day; it may be nil.
func (p Player) Sweep(ctx context.Context, s *scenario.Scenario, knob string, values []string, seeds int, done func(n, of int)) ([]Point, error) {
	var points []Point
	for i, v := range values {
		varied, err := s.Set(knob, v)
		if err != nil {
			return nil, err
		}
		point := Point{Value: v, Figures: map[string]Interval{}}
		got := make([][]float64, len(Measures))
		for seed := range seeds {
			d, err := p.Play(ctx, varied, s.Seed+uint64(seed))
			if err != nil {
				return nil, err
			}
			for k, m := range Measures {
				got[k] = append(got[k], m.Of(d.Figures))
			}
			if d.Figures.Healed {
				point.Healed++
			}
			if !d.Verdict.Clean() {
				point.Broken++
			}
			if done != nil {
				done(i*seeds+seed+1, len(values)*seeds)
			}
		}
		for k, m := range Measures {
			point.Figures[m.Name] = IntervalOf(got[k])
		}
		points = append(points, point)
	}
	return points, nil
}

// Difference is what one of two players did better, paired by seed.
type Difference struct {
	Measure string   `json:"measure"`
	A       float64  `json:"a"`
	B       float64  `json:"b"`
	Diff    Interval `json:"b_minus_a"`
	Verdict string   `json:"verdict"` // on b, by in-time worth or its like; for costs more is worse
}

// Compare plays a scenario with both players on the same seeds.
func Compare(ctx context.Context, s *scenario.Scenario, a, b Player, seeds int, done func(n, of int)) ([]Difference, error) {
	got := make([][2][]float64, len(Measures))
	for seed := range seeds {
		for side, p := range []Player{a, b} {
			d, err := p.Play(ctx, s, s.Seed+uint64(seed))
			if err != nil {
				return nil, err
			}
			for k, m := range Measures {
				got[k][side] = append(got[k][side], m.Of(d.Figures))
			}
			if done != nil {
				done(2*seed+side+1, 2*seeds)
			}
		}
	}
	var all []Difference
	for k, m := range Measures {
		diffs := make([]float64, seeds)
		for i := range diffs {
			diffs[i] = got[k][1][i] - got[k][0][i]
		}
		d := Difference{Measure: m.Name, A: IntervalOf(got[k][0]).Mean, B: IntervalOf(got[k][1]).Mean, Diff: IntervalOf(diffs)}
		if d.Verdict = d.Diff.Verdict(); k >= 3 { // of these less is better
			d.Verdict = Interval{Low: -d.Diff.High, High: -d.Diff.Low}.Verdict()
		}
		all = append(all, d)
	}
	return all, nil
}
