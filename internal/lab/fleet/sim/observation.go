package sim

import (
	"fmt"
	"strings"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/replication"
	"milletramp.example/milletramp/internal/lab/fleet/checker"
)

// observePeriodically records an observation every ObservationInterval while the sidecar runs and is not suspended.
func (s *Sidecar) observePeriodically() {
	s.fleet.scheduler.after(s.fleet.options.ObservationInterval, s.observePeriodically)
	if s.Machine != nil && !s.isSuspended() {
		s.observe()
	}
}

// observe records an observation of the sidecar. While the new process of an upgrade is catching up, its predecessor is
// observed instead, as operators still see the predecessor.
func (s *Sidecar) observe() {
	if s.Machine == nil {
		return
	}
	phase, _ := s.Machine.Phase()
	if phase == gossip.CatchingUp && s.predecessor != nil {
		s.predecessor.observe()
		return
	}
	observation := checker.Snapshot{
		At:          s.fleet.Now(),
		Sidecar:     s.Name,
		Incarnation: s.Incarnation,
		Ready:       phase == gossip.Synced || phase == gossip.Bootstrapped,
		Calls:       s.standingCallsByServer(),
		AdminDown:   s.Machine.Store.AdminDown(),
		Rows:        s.evidenceRows(),
		Checksum:    s.checksum(),
	}
	s.fleet.Record.Snapshots = append(s.fleet.Record.Snapshots, observation)
}

// standingCallsByServer returns the calls in force at this sidecar by server, without servers that have none.
func (s *Sidecar) standingCallsByServer() map[string][]checker.ActiveCall {
	byServer := map[string][]checker.ActiveCall{}
	for i := range s.fleet.Plan.Servers {
		server := serverName(i)
		if calls := s.standingCalls(server); len(calls) > 0 {
			byServer[server] = calls
		}
	}
	return byServer
}

// evidenceRows returns the sidecar's stored evidence rows for all servers.
func (s *Sidecar) evidenceRows() (rows []checker.Row) {
	store := s.Machine.Store
	for _, server := range store.ServersWithEvidence() {
		for _, row := range store.Rows(s.Clock(), server) {
			rows = append(rows, checker.Row{
				Owner:       row.Owner,
				Incarnation: row.Incarnation.Number,
				Server:      row.Server,
				Version:     row.Version,
			})
		}
	}
	return rows
}

// checksum returns a string that is the same for equal copies of the replicated state.
func (s *Sidecar) checksum() string {
	var checksums []string
	for kind, sum := range s.Machine.Store.Digest().PerKind() {
		checksums = append(checksums, fmt.Sprintf("%v %x", replication.Kind(kind), sum))
	}
	return strings.Join(checksums, ", ")
}
