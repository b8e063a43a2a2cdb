package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"milletramp.example/milletramp/internal/lab/checker"
)

// Result is one played and judged scenario.
type Result struct {
	Scenario            string          `json:"scenario"`
	About               string          `json:"about"`
	Backend             string          `json:"plane"`
	Policy              string          `json:"policy"`
	Seed                uint64          `json:"seed"`
	Events              uint64          `json:"events,omitempty"` // of the simulated plane
	ElapsedSeconds      float64         `json:"took_s"`
	FirstFaultSecond    float64         `json:"first_trouble_s"`
	LastFaultSecond     float64         `json:"last_trouble_s"`
	Figures             Figures         `json:"figures"`
	Verdict             checker.Verdict `json:"verdict"`
	Missed              []string        `json:"missed"`                // expectations
	MaxSendDelaySeconds float64         `json:"late_s,omitempty"`      // of the socket plane: the latest request was sent so much late
	MaxSidecarKB        int             `json:"sidecar_kb,omitempty"`  // resident memory of the largest sidecar at the end
	MaxSidecarFDs       int             `json:"sidecar_fds,omitempty"` // and descriptors of the one with most
}

// Passed tells whether every rule was kept and every expectation met.
func (d *Result) Passed() bool { return d.Verdict.Clean() && len(d.Missed) == 0 }

// Write prints the day as a table.
func (d *Result) Write(w io.Writer) error {
	f := d.Figures
	var b strings.Builder
	fmt.Fprintf(&b, "%s (%s plane, %s, seed %d): %s\n\n", d.Scenario, d.Backend, d.Policy, d.Seed, d.About)
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "first tries\t%.0f\tworth in time\t%.3f\tworst 10 s\t%.3f\n", f.FirstRequests, f.InTimePriority, f.Worst10s)
	fmt.Fprintf(t, "in time\t%.3f\tlate\t%.3f\trefused\t%.3f\tfailed\t%.3f\n", f.InTime, f.Late, f.Rejected, f.Failed)
	fmt.Fprintf(t, "tries/request\t%.3f\tattempts/try\t%.3f\tuseful work\t%.3f\n", f.RequestsPerFirst, f.AttemptsPerRequest, f.UsefulWork)
	fmt.Fprintf(t, "before troubles\t%.3f\tback after\t%s\thealed\t%v\n", f.BeforeFaults, recoveryText(f.RecoverSeconds), f.Healed)
	if k := f.LossDetection; k.Losses > 0 {
		fmt.Fprintf(t, "nodes that lose\t%d\tnever known\t%d, %d after few\tknown after s (p50, p90, max)\t%.2f, %.2f, %.2f\n", k.Losses, k.Undetected, k.UndetectedFew,
			k.P50s, k.P90s, k.MaxS)
	}
	_ = t.Flush() // a strings.Builder takes everything
	fmt.Fprintln(&b)
	fmt.Fprintf(t, "class\tserved\tmean ms\tp50\tp90\tp99\tp99.9\tmax\n")
	for _, c := range f.Classes {
		fmt.Fprintf(t, "%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", c.Name, c.Served, c.MeanMS, c.P50ms, c.P90ms, c.P99ms, c.P999ms, c.MaxMS)
	}
	_ = t.Flush()
	fmt.Fprintln(&b)
	fmt.Fprintf(t, "from\tasked\tin time\tlate\trefused\tfailed\tattempts\tp50 ms\tp99 ms\n")
	for i := 0; i < len(f.Seconds); i += 5 {
		var s Second
		for _, x := range f.Seconds[i:min(i+5, len(f.Seconds))] {
			s.FirstRequests += x.FirstRequests
			s.InTime += x.InTime
			s.Late += x.Late
			s.Rejected += x.Rejected
			s.Failed += x.Failed
			s.Attempts += x.Attempts
			s.P50ms, s.P99ms = max(s.P50ms, x.P50ms), max(s.P99ms, x.P99ms)
		}
		fmt.Fprintf(t, "%d s\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\n", i, s.FirstRequests, ratio(s.InTime, s.FirstRequests), ratio(s.Late, s.FirstRequests),
			ratio(s.Rejected, s.FirstRequests), ratio(s.Failed, s.FirstRequests), s.Attempts, s.P50ms, s.P99ms)
	}
	_ = t.Flush()
	fmt.Fprintln(&b)
	if d.Events > 0 {
		fmt.Fprintf(&b, "%d events in %.1f s (%.2f million/s)\n", d.Events, d.ElapsedSeconds, float64(d.Events)/d.ElapsedSeconds/1e6)
	}
	if d.MaxSidecarKB > 0 {
		fmt.Fprintf(&b, "sidecars: %.1f MB resident, %d descriptors at most; requests sent %.0f ms late at most\n", float64(d.MaxSidecarKB)/1024, d.MaxSidecarFDs,
			d.MaxSendDelaySeconds*1e3)
	}
	d.writeVerdict(&b)
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

func recoveryText(s float64) string {
	if s < 0 {
		return "not by the end"
	}
	return fmt.Sprintf("%.0f s", s)
}

// writeVerdict prints what the checker found and which expectations were missed.
func (d *Result) writeVerdict(b *strings.Builder) {
	if d.Verdict.Clean() {
		fmt.Fprintf(b, "rules: all kept (%d requests seen)\n", d.Verdict.Requests)
	}
	for _, r := range checker.Rules {
		if n := d.Verdict.Counts[r]; n > 0 {
			fmt.Fprintf(b, "rules: %s BROKEN %d times\n", r, n)
		}
	}
	for _, x := range d.Verdict.Violations {
		fmt.Fprintf(b, "  %s\n", x)
	}
	for _, m := range d.Missed {
		fmt.Fprintf(b, "MISSED: %s\n", m)
	}
	if d.Passed() {
		fmt.Fprintln(b, "all expectations met")
	}
}
