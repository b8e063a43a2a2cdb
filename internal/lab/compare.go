package lab

import (
	"context"

	"milletramp.example/milletramp/internal/lab/report"
	"milletramp.example/milletramp/internal/lab/scenario"
)

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
func (p Player) Sweep(
	ctx context.Context, s *scenario.Scenario, knob string, values []string, seeds int, done func(n, of int),
) ([]Point, error) {
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
	Verdict string   `json:"verdict"` // on b, by in-time priority or its like; for costs more is worse
}

// Compare plays a scenario with both players on the same seeds.
func Compare(
	ctx context.Context, s *scenario.Scenario, a, b Player, seeds int, done func(n, of int),
) ([]Difference, error) {
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
		d := Difference{
			Measure: m.Name,
			A:       IntervalOf(got[k][0]).Mean,
			B:       IntervalOf(got[k][1]).Mean,
			Diff:    IntervalOf(diffs),
		}
		d.Verdict = d.Diff.Verdict()
		if k >= 3 { // of these less is better
			d.Verdict = Interval{Low: -d.Diff.High, High: -d.Diff.Low}.Verdict()
		}
		all = append(all, d)
	}
	return all, nil
}
