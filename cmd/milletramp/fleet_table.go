package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"milletramp.example/milletramp/internal/fleet"
)

// writeFleetTable writes a row for each sidecar, then for what any of them holds that is out of the ordinary: members
// that are not alive or differ, servers that are administratively down, and suspected servers.
func writeFleetTable(w io.Writer, replies []fleetReply) error {
	table := newTable(w)
	writeSidecars(table, replies)
	var statuses []*fleet.Status
	for _, reply := range replies {
		if reply.Status != nil {
			statuses = append(statuses, reply.Status)
		}
	}
	writeMembers(table, statuses)
	writeAdminDown(table, statuses)
	writeSuspicions(table, statuses, len(replies))
	return table.Flush()
}

func writeSidecars(w io.Writer, replies []fleetReply) {
	fmt.Fprintln(w, "sidecar\tphase\tmembers\ttrouble\tby hand\tevidence\tstarts\ttests")
	for _, reply := range replies {
		if reply.Status == nil {
			fmt.Fprintf(w, "%s\t%s\n", reply.Console, reply.Err)
			continue
		}
		s := reply.Status
		phase := s.Phase
		if !s.OwnsName {
			phase = "silent: another process bears its name"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.8s\t%.8s\t%.8s\t%.8s\n", s.Name, phase, s.NumPresent, s.LocalHealth,
			s.Digests["by hand"], s.Digests["evidence"], s.Digests["starts"], s.Digests["tests"])
	}
}

// writeMembers writes the members that a sidecar does not see alive with the same copy as its own.
func writeMembers(w io.Writer, statuses []*fleet.Status) {
	for _, s := range statuses {
		for _, m := range s.Members {
			if m.State == "alive" && len(m.DivergedKinds) == 0 {
				continue
			}
			fmt.Fprintf(w, "%s holds\t%s %s\theard %.1f s ago\tdiffers in %s for %.1f s\n",
				s.Name, m.Name, m.State, m.LastContactSeconds, strings.Join(m.DivergedKinds, ", "), m.DivergedSeconds)
		}
	}
}

// writeAdminDown writes the operators' calls on each server. Sidecars that hold the same have one row.
func writeAdminDown(w io.Writer, statuses []*fleet.Status) {
	written := map[string]bool{}
	for _, s := range statuses {
		for _, server := range s.Servers {
			var calls []string
			for _, call := range server.Calls {
				calls = append(calls, call.String())
			}
			row := fmt.Sprintf("server %s\tout %v, disputed %v\t%s\n",
				server.ID, server.AdminDown, server.Disputed, strings.Join(calls, "; "))
			if !written[row] {
				written[row] = true
				fmt.Fprintf(w, "%s: %s", s.Name, row)
			}
		}
	}
}

// suspicion sums up what sidecars hold against one server.
type suspicion struct {
	sidecars int               // that suspect it
	longest  float64           // seconds that one of them has suspected it
	reports  []fleet.RowStatus // of the first sidecar that holds most of them
}

// sumSuspicions returns the suspicions by the servers' ids.
func sumSuspicions(statuses []*fleet.Status) map[string]*suspicion {
	servers := map[string]*suspicion{}
	for _, s := range statuses {
		for _, d := range s.Suspicions {
			sum := servers[d.ID]
			if sum == nil {
				sum = &suspicion{}
				servers[d.ID] = sum
			}
			if d.Suspected && d.Listed {
				sum.sidecars++
				sum.longest = max(sum.longest, d.SuspectedSeconds)
			}
			if len(d.Rows) > len(sum.reports) {
				sum.reports = d.Rows
			}
		}
	}
	return servers
}

// writeSuspicions writes a row for each server against which any sidecar holds a report.
func writeSuspicions(w io.Writer, statuses []*fleet.Status, consoles int) {
	servers := sumSuspicions(statuses)
	for _, id := range slices.Sorted(maps.Keys(servers)) {
		sum := servers[id]
		if len(sum.reports) == 0 {
			continue
		}
		var reports []string
		for _, report := range sum.reports {
			reports = append(reports, describeReport(report))
		}
		fmt.Fprintf(w, "server %s\tin doubt for %d of %d, %.1f s at the longest\t%s\n",
			id, sum.sidecars, consoles, sum.longest, strings.Join(reports, "; "))
	}
}

// describeReport words what one sidecar reported of a server.
func describeReport(r fleet.RowStatus) string {
	text := fmt.Sprintf("%s %.1f s ago: %d silent, %d late, %d refused",
		r.Reporter, r.AgeSeconds, r.Unresponsive, r.Late, r.Refused)
	if r.LastGoodSeconds >= 0 {
		text += fmt.Sprintf(", answered %.1f s before", r.LastGoodSeconds)
	}
	return text
}
