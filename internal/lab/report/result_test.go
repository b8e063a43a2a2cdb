package report

import (
	"math"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/checker"
)

func TestWriteNamesWhatFailed(t *testing.T) {
	result := Result{
		Scenario: "x", About: "about x", Backend: "socket", Policy: "module", Seed: 7,
		Events: 3_000_000, ElapsedSeconds: 2,
		MaxSidecarKB: 2048, MaxSidecarFDs: 40, MaxSendDelaySeconds: 0.015,
		Figures: Figures{
			RecoverSeconds: notRecovered,
			LossDetection:  LossDetection{Losses: 5, Undetected: 2, UndetectedFew: 1, P50s: 0.5, P90s: 1, MaxS: 2},
		},
		Verdict: checker.Verdict{
			Counts:     map[checker.Rule]int{checker.RuleDrain: 3},
			Violations: []checker.Violation{{At: time.Second, Rule: checker.RuleDrain, Detail: "sent too late"}},
		},
		Missed: []string{"in_time is low"},
	}
	var text strings.Builder
	if err := result.Write(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"x (socket plane, module, seed 7): about x\n",
		"nodes that lose  5  ",
		"2, 1 after few  known after s (p50, p90, max)  0.50, 1.00, 2.00\n",
		"not by the end",
		"3000000 events in 2.0 s (1.50 million/s)\n",
		"sidecars: 2.0 MB resident, 40 descriptors at most; requests sent 15 ms late at most\n",
		"rules: drain BROKEN 3 times\n      1.000s drain   sent too late\nMISSED: in_time is low\n",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in\n%s", want, text.String())
		}
	}
	if strings.Contains(text.String(), "all kept") || strings.Contains(text.String(), "all expectations met") {
		t.Errorf("a failed run is written as passed:\n%s", text.String())
	}
}

// TestChart: a value that is no number is left out, and a line without points has no place in the legend.
func TestChart(t *testing.T) {
	svg, err := Chart("title", "x axis", "y axis",
		Line{Name: "values", X: []float64{1, 2, 3}, Y: []float64{1, math.NaN(), 3}, Spread: []float64{0.1, 0.1, 0.1}},
		Line{Name: "nothing", X: []float64{1}, Y: []float64{math.Inf(1)}})
	if err != nil {
		t.Fatal(err)
	}
	text := string(svg)
	if !strings.HasPrefix(text, "<svg") || strings.Contains(text, "NaN") {
		t.Errorf("chart is %q", text)
	}
	if !strings.Contains(text, "values") || strings.Contains(text, "nothing") {
		t.Errorf("the legend is wrong in %q", text)
	}
}
