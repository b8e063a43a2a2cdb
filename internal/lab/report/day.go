package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"milletramp.example/milletramp/internal/lab/checker"
)

// Day is one played and judged scenario.
type Day struct {
	Scenario string          `json:"scenario"`
	About    string          `json:"about"`
	Plane    string          `json:"plane"`
	Policy   string          `json:"policy"`
	Seed     uint64          `json:"seed"`
	Events   uint64          `json:"events,omitempty"` // of the simulated plane
	Took     float64         `json:"took_s"`
	First    float64         `json:"first_trouble_s"`
	Last     float64         `json:"last_trouble_s"`
	Figures  Figures         `json:"figures"`
	Verdict  checker.Verdict `json:"verdict"`
	Missed   []string        `json:"missed"`                // expectations
	Late     float64         `json:"late_s,omitempty"`      // of the socket plane: the latest request was sent so much late
	RSS      int             `json:"sidecar_kb,omitempty"`  // resident memory of the largest sidecar at the end
	Open     int             `json:"sidecar_fds,omitempty"` // and descriptors of the one with most
}

// Good tells whether every rule was kept and every expectation met.
func (d *Day) Good() bool { return d.Verdict.Clean() && len(d.Missed) == 0 }

// Write prints the day as a table.
func (d *Day) Write(w io.Writer) error {
	f := d.Figures
	var b strings.Builder
	fmt.Fprintf(&b, "%s (%s plane, %s, seed %d): %s\n\n", d.Scenario, d.Plane, d.Policy, d.Seed, d.About)
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "first tries\t%.0f\tworth in time\t%.3f\tworst 10 s\t%.3f\n", f.Asked, f.Worth, f.Worst10s)
	fmt.Fprintf(t, "in time\t%.3f\tlate\t%.3f\trefused\t%.3f\tfailed\t%.3f\n", f.InTime, f.Late, f.Refused, f.Failed)
	fmt.Fprintf(t, "tries/request\t%.3f\tattempts/try\t%.3f\tuseful work\t%.3f\n", f.Tries, f.Attempts, f.Useful)
	fmt.Fprintf(t, "before troubles\t%.3f\tback after\t%s\thealed\t%v\n", f.Before, recoverWord(f.Recover), f.Healed)
	if k := f.Known; k.Losses > 0 {
		fmt.Fprintf(t, "nodes that lose\t%d\tnever known\t%d, %d after few\tknown after s (p50, p90, max)\t%.2f, %.2f, %.2f\n", k.Losses, k.Missed, k.Few,
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
			s.Asked += x.Asked
			s.InTime += x.InTime
			s.Late += x.Late
			s.Refused += x.Refused
			s.Failed += x.Failed
			s.Attempts += x.Attempts
			s.P50ms, s.P99ms = max(s.P50ms, x.P50ms), max(s.P99ms, x.P99ms)
		}
		fmt.Fprintf(t, "%d s\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\n", i, s.Asked, ratio(s.InTime, s.Asked), ratio(s.Late, s.Asked),
			ratio(s.Refused, s.Asked), ratio(s.Failed, s.Asked), s.Attempts, s.P50ms, s.P99ms)
	}
	_ = t.Flush()
	fmt.Fprintln(&b)
	if d.Events > 0 {
		fmt.Fprintf(&b, "%d events in %.1f s (%.2f million/s)\n", d.Events, d.Took, float64(d.Events)/d.Took/1e6)
	}
	if d.RSS > 0 {
		fmt.Fprintf(&b, "sidecars: %.1f MB resident, %d descriptors at most; requests sent %.0f ms late at most\n", float64(d.RSS)/1024, d.Open,
			d.Late*1e3)
	}
	d.verdict(&b)
	if _, err := io.WriteString(w, b.String()); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

func recoverWord(s float64) string {
	if s < 0 {
		return "not by the end"
	}
	return fmt.Sprintf("%.0f s", s)
}

// verdict prints what the checker found and which expectations were missed.
func (d *Day) verdict(b *strings.Builder) {
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
	if d.Good() {
		fmt.Fprintln(b, "all expectations met")
	}
}
