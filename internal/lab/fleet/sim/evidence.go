package sim

import (
	"milletramp.example/milletramp/internal/fleet/replication"
	"milletramp.example/milletramp/internal/lab/fleet/checker"
)

// sampleEvidence is what each row that a sidecar writes holds: only its version matters here.
var sampleEvidence = replication.Evidence{Attempts: 4, Unanswered: 1}

// writeEvidencePeriodically writes a row each EvidenceInterval.
func (s *Sidecar) writeEvidencePeriodically() {
	s.fleet.scheduler.after(s.fleet.options.EvidenceInterval, s.writeEvidencePeriodically)
	s.execute(s.writeEvidence)
}

// writeEvidence has the sidecar write its own row on a drawn server, until the plan's end and as long as no later
// incarnation has taken its name.
func (s *Sidecar) writeEvidence() {
	f := s.fleet
	if _, ownsName := s.Machine.Members.Self(); !ownsName || f.Now() > f.planEnd() {
		return
	}
	server := serverName(f.rng.IntN(f.Plan.Servers))
	key, err := s.Machine.Store.WriteRow(s.Clock(), server, 0, sampleEvidence)
	if err != nil {
		return
	}
	s.Machine.Broadcast(key)
	s.rowVersions[server]++ // counted independently of the sidecar's own count
	self, _ := s.Machine.Members.Self()
	f.Record.WrittenRows = append(f.Record.WrittenRows, checker.Row{
		Owner:       s.Name,
		Incarnation: self.ProcessIncarnation.Number,
		Server:      server,
		Version:     s.rowVersions[server],
	})
}
