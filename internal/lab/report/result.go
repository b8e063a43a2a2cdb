package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"milletramp.example/milletramp/internal/lab/checker"
)

// tableSeconds is how many seconds of a run a line of the table sums up.
const tableSeconds = 5

// Result is the figures and the verdict of one run.
type Result struct {
	Scenario            string          `json:"scenario"`
	About               string          `json:"about"`
	Backend             string          `json:"plane"`
	Policy              string          `json:"policy"`
	Seed                uint64          `json:"seed"`
	Events              uint64          `json:"events,omitempty"` // of the simulation
	ElapsedSeconds      float64         `json:"took_s"`
	FirstFaultSecond    float64         `json:"first_trouble_s"`
	LastFaultSecond     float64         `json:"last_trouble_s"`
	Figures             Figures         `json:"figures"`
	Verdict             checker.Verdict `json:"verdict"`
	Missed              []string        `json:"missed"`                // expectations
	MaxSendDelaySeconds float64         `json:"late_s,omitempty"`      // of a client's request on sockets
	MaxSidecarKB        int             `json:"sidecar_kb,omitempty"`  // resident, of the largest sidecar at the end
	MaxSidecarFDs       int             `json:"sidecar_fds,omitempty"` // descriptors of the sidecar with most
}

// Passed reports whether every rule was kept and every expectation met.
func (r *Result) Passed() bool { return r.Verdict.Clean() && len(r.Missed) == 0 }

// Write prints the result as tables.
func (r *Result) Write(w io.Writer) error {
	var text strings.Builder // whose writes do not fail
	fmt.Fprintf(&text, "%s (%s plane, %s, seed %d): %s\n\n", r.Scenario, r.Backend, r.Policy, r.Seed, r.About)
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	for _, write := range []func(io.Writer){r.writeTotals, r.writeClasses, r.writeSeconds} {
		write(table)
		_ = table.Flush()
		fmt.Fprintln(&text)
	}
	r.writeResources(&text)
	r.writeVerdict(&text)
	if _, err := io.WriteString(w, text.String()); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// writeTotals writes the figures of the whole run.
func (r *Result) writeTotals(w io.Writer) {
	f := &r.Figures
	fmt.Fprintf(w, "first tries\t%.0f\tworth in time\t%.3f\tworst 10 s\t%.3f\n",
		f.FirstRequests, f.InTimePriority, f.Worst10s)
	fmt.Fprintf(w, "in time\t%.3f\tlate\t%.3f\trefused\t%.3f\tfailed\t%.3f\n", f.InTime, f.Late, f.Rejected, f.Failed)
	fmt.Fprintf(w, "tries/request\t%.3f\tattempts/try\t%.3f\tuseful work\t%.3f\n",
		f.RequestsPerFirst, f.AttemptsPerRequest, f.UsefulWork)
	fmt.Fprintf(w, "before troubles\t%.3f\tback after\t%s\thealed\t%v\n",
		f.BeforeFaults, recoveryText(f.RecoverSeconds), f.Healed)
	if d := f.LossDetection; d.Losses > 0 {
		fmt.Fprintf(w, "nodes that lose\t%d\tnever known\t%d, %d after few\t", d.Losses, d.Undetected, d.UndetectedFew)
		fmt.Fprintf(w, "known after s (p50, p90, max)\t%.2f, %.2f, %.2f\n", d.P50s, d.P90s, d.MaxS)
	}
}

// writeClasses writes the latencies by class.
func (r *Result) writeClasses(w io.Writer) {
	fmt.Fprintf(w, "class\tserved\tmean ms\tp50\tp90\tp99\tp99.9\tmax\n")
	for _, c := range r.Figures.Classes {
		fmt.Fprintf(w, "%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n",
			c.Name, c.Served, c.MeanMS, c.P50ms, c.P90ms, c.P99ms, c.P999ms, c.MaxMS)
	}
}

// writeSeconds writes the course of the run. A line has the largest quantiles of its seconds.
func (r *Result) writeSeconds(w io.Writer) {
	fmt.Fprintf(w, "from\tasked\tin time\tlate\trefused\tfailed\tattempts\tp50 ms\tp99 ms\n")
	seconds := r.Figures.Seconds
	for i := 0; i < len(seconds); i += tableSeconds {
		var sum Second
		for k := i; k < min(i+tableSeconds, len(seconds)); k++ {
			sum.addOutcomes(&seconds[k])
			sum.P50ms = max(sum.P50ms, seconds[k].P50ms)
			sum.P99ms = max(sum.P99ms, seconds[k].P99ms)
		}
		first := sum.FirstRequests
		fmt.Fprintf(w, "%d s\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\n",
			i, first, ratio(sum.InTime, first), ratio(sum.Late, first), ratio(sum.Rejected, first),
			ratio(sum.Failed, first), sum.Attempts, sum.P50ms, sum.P99ms)
	}
}

// writeResources writes what the run took: time of the simulation, memory and descriptors of the sidecars on sockets.
func (r *Result) writeResources(w io.Writer) {
	if r.Events > 0 {
		fmt.Fprintf(w, "%d events in %.1f s (%.2f million/s)\n",
			r.Events, r.ElapsedSeconds, float64(r.Events)/r.ElapsedSeconds/1e6)
	}
	if r.MaxSidecarKB > 0 {
		fmt.Fprintf(w, "sidecars: %.1f MB resident, %d descriptors at most; requests sent %.0f ms late at most\n",
			float64(r.MaxSidecarKB)/1024, r.MaxSidecarFDs, r.MaxSendDelaySeconds*1e3)
	}
}

// writeVerdict writes the violations of rules and the expectations that were missed.
func (r *Result) writeVerdict(w io.Writer) {
	if r.Verdict.Clean() {
		fmt.Fprintf(w, "rules: all kept (%d requests seen)\n", r.Verdict.Requests)
	}
	for _, rule := range checker.Rules {
		if count := r.Verdict.Counts[rule]; count > 0 {
			fmt.Fprintf(w, "rules: %s BROKEN %d times\n", rule, count)
		}
	}
	for _, violation := range r.Verdict.Violations {
		fmt.Fprintf(w, "  %s\n", violation)
	}
	for _, missed := range r.Missed {
		fmt.Fprintf(w, "MISSED: %s\n", missed)
	}
	if r.Passed() {
		fmt.Fprintln(w, "all expectations met")
	}
}

// recoveryText is Figures.RecoverSeconds in words.
func recoveryText(seconds float64) string {
	if seconds < 0 {
		return "not by the end"
	}
	return fmt.Sprintf("%.0f s", seconds)
}
