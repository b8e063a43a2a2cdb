package sim

import (
	"fmt"
	"strings"

	"milletramp.example/milletramp/internal/fleet/gossip"
	"milletramp.example/milletramp/internal/fleet/replication"
	"milletramp.example/milletramp/internal/lab/fleet/checker"
)

// writeEvidence has the sidecar write its own row on a server.
func (s *Sidecar) writeEvidence() {
	fleet := s.fleet
	fleet.schedule(fleet.now+fleet.options.EvidenceInterval, s.writeEvidence)
	s.execute(func() {
		if _, isMember := s.Machine.Members.Self(); !isMember || fleet.now > max(fleet.Plan.End(), fleet.Plan.Length) {
			return
		}
		server := serverName(fleet.rng.IntN(fleet.Plan.Servers))
		key, err := s.Machine.Store.WriteRow(s.Clock(), server, 0, replication.Evidence{Tries: 4, Unanswered: 1})
		if err != nil {
			return
		}
		s.Machine.Broadcast(key)
		s.rowVersions[server]++ // counted here, whatever the sidecar makes of it
		self, _ := s.Machine.Members.Self()
		fleet.Record.WrittenRows = append(fleet.Record.WrittenRows, checker.Row{Owner: s.Name, Incarnation: self.ProcessIncarnation.Number, Server: server, Version: s.rowVersions[server]})
	})
}

func (s *Sidecar) observePeriodically() {
	s.fleet.schedule(s.fleet.now+s.fleet.options.ObservationInterval, s.observePeriodically)
	if s.Machine != nil && !s.isSuspended() {
		s.observe()
	}
}

// observe puts on record what the sidecar holds.
func (s *Sidecar) observe() {
	if s.Machine == nil {
		return
	}
	phase, _ := s.Machine.Phase()
	if phase == gossip.CatchingUp && s.predecessor != nil { // the staff sees the former one's console until the next one says yes
		s.predecessor.observe()
		return
	}
	checksumsByKind := s.Machine.Store.Digest().PerKind()
	observation := checker.Snapshot{At: s.fleet.now, Sidecar: s.Name, Incarnation: s.Incarnation, Ready: phase == gossip.Synced || phase == gossip.Bootstrapped,
		Calls: map[string][]checker.ActiveCall{}, AdminDown: s.Machine.Store.AdminDown()}
	var checksums []string
	for kind, sum := range checksumsByKind {
		checksums = append(checksums, fmt.Sprintf("%v %x", replication.Kind(kind), sum))
	}
	observation.Checksum = strings.Join(checksums, ", ")
	for i := range s.fleet.Plan.Servers {
		if calls := s.standingCalls(serverName(i)); len(calls) > 0 {
			observation.Calls[serverName(i)] = calls
		}
	}
	for _, server := range s.Machine.Store.ServersWithEvidence() {
		for _, row := range s.Machine.Store.Rows(s.Clock(), server) {
			observation.Rows = append(observation.Rows, checker.Row{Owner: row.Owner, Incarnation: row.Incarnation.Number, Server: row.Server, Version: row.Version})
		}
	}
	s.fleet.Record.Snapshots = append(s.fleet.Record.Snapshots, observation)
}
