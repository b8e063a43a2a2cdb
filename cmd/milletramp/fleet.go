package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"milletramp.example/milletramp/internal/fleet"
)

type fleetCommands struct {
	Status fleetStatus `cmd:"" help:"Show what sidecars hold of their fleet; exit status 1 if copies differ or one does not answer."`
	Check  fleetCheck  `cmd:"" help:"Check an operator's file on the fleet."`
}

type fleetCheck struct {
	File string `arg:"" type:"path" help:"The file, such as deploy/fleet.toml."`
}

// Run reads the file as a sidecar does.
func (c fleetCheck) Run() error {
	read, err := fleet.ReadConfig(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("fleet %q: %d peers, catching up within %v\n", read.Label, len(read.Peers), read.CatchUp())
	return nil
}

type fleetStatus struct {
	Consoles []string      `arg:"" name:"console" help:"Addresses of consoles. All of a fleet, or some."`
	JSON     bool          `help:"Print what each console says, as JSON."`
	Timeout  time.Duration `default:"2s" help:"For all answers."`
}

// fleetReply is what a console said.
type fleetReply struct {
	Console string        `json:"console"`
	Status  *fleet.Status `json:"status,omitempty"`
	Err     string        `json:"error,omitempty"`
}

// Run asks each console and compares what they hold.
func (c fleetStatus) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	answers := make(chan fleetReply, len(c.Consoles))
	for _, at := range c.Consoles {
		go func() { answers <- fetchFleetStatus(ctx, at) }()
	}
	byConsole := map[string]fleetReply{}
	for range c.Consoles {
		a := <-answers
		byConsole[a.Console] = a
	}
	all := make([]fleetReply, 0, len(c.Consoles))
	for _, at := range c.Consoles {
		all = append(all, byConsole[at])
	}
	if c.JSON {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", "  ")
		if err := out.Encode(all); err != nil {
			return err
		}
	} else if err := writeFleetTable(os.Stdout, all); err != nil {
		return err
	}
	return checkAgreement(all)
}

// fetchFleetStatus asks one console.
func fetchFleetStatus(ctx context.Context, at string) fleetReply {
	t := fleetReply{Console: at}
	err := func() error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/ops/fleet", nil)
		if err != nil {
			return err
		}
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(io.LimitReader(resp.Body, 8<<20))
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
		}
		return json.Unmarshal(text, &t.Status)
	}()
	if err != nil {
		t.Status, t.Err = nil, err.Error()
	}
	return t
}

// checkAgreement says what the copies differ in, or who does not answer.
func checkAgreement(all []fleetReply) error {
	var first *fleetReply
	for i, t := range all {
		switch {
		case t.Status == nil:
			return fmt.Errorf("%s: %s", t.Console, t.Err)
		case first == nil:
			first = &all[i]
		default:
			for kind, sum := range t.Status.Sums {
				if sum != first.Status.Sums[kind] {
					return fmt.Errorf("%s and %s differ in %s", first.Status.Name, t.Status.Name, kind)
				}
			}
		}
	}
	return nil
}

// writeFleetTable prints a table of the sidecars asked, of what any of them holds of others that is out of the ordinary, and of the
// servers out by hand.
func writeFleetTable(w io.Writer, all []fleetReply) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "sidecar\tphase\tmembers\ttrouble\tby hand\tevidence\tstarts\ttests")
	for _, a := range all {
		if a.Status == nil {
			fmt.Fprintf(t, "%s\t%s\n", a.Console, a.Err)
			continue
		}
		s := a.Status
		phase := s.Phase
		if !s.Bears {
			phase = "silent: another process bears its name"
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.8s\t%.8s\t%.8s\t%.8s\n", s.Name, phase, s.Here, s.Sick, s.Sums["by hand"], s.Sums["evidence"], s.Sums["starts"], s.Sums["tests"])
	}
	for _, a := range all {
		if a.Status == nil {
			continue
		}
		for _, m := range a.Status.Members {
			if m.State != "alive" || len(m.Differ) > 0 {
				fmt.Fprintf(t, "%s holds\t%s %s\theard %.1f s ago\tdiffers in %s for %.1f s\n", a.Status.Name, m.Name, m.State, m.Heard, strings.Join(m.Differ, ", "), m.Lag)
			}
		}
	}
	shown := map[string]bool{}
	for _, a := range all {
		if a.Status == nil {
			continue
		}
		for _, s := range a.Status.Servers {
			var calls []string
			for _, c := range s.Calls {
				calls = append(calls, c.String())
			}
			line := fmt.Sprintf("server %s\tout %v, disputed %v\t%s\n", s.ID, s.Out, s.Disputed, strings.Join(calls, "; "))
			if !shown[line] {
				shown[line] = true
				fmt.Fprintf(t, "%s: %s", a.Status.Name, line)
			}
		}
	}
	writeSuspicions(t, all)
	return t.Flush()
}

// writeSuspicions prints of each server that anybody asked has rows of who speaks ill of it, by the first that holds most.
func writeSuspicions(w io.Writer, all []fleetReply) {
	most := map[string]fleet.DoubtStatus{}
	by, lasts := map[string]int{}, map[string]float64{} // sidecars for which it is in doubt, and the longest of these times
	for _, a := range all {
		if a.Status == nil {
			continue
		}
		for _, d := range a.Status.Doubts {
			if d.Doubt && d.Listed {
				by[d.ID]++
				lasts[d.ID] = max(lasts[d.ID], d.For)
			}
			if len(d.Rows) > len(most[d.ID].Rows) {
				most[d.ID] = d
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(most)) {
		var rows []string
		for _, r := range most[id].Rows {
			row := fmt.Sprintf("%s %.1f s ago: %d silent, %d late, %d refused", r.By, r.Age, r.Silent, r.Late, r.Refused)
			if r.Good >= 0 {
				row += fmt.Sprintf(", answered %.1f s before", r.Good)
			}
			rows = append(rows, row)
		}
		fmt.Fprintf(w, "server %s\tin doubt for %d of %d, %.1f s at the longest\t%s\n", id, by[id], len(all), lasts[id], strings.Join(rows, "; "))
	}
}
