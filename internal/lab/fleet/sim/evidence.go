package sim

import (
	"milletramp.example/milletramp/internal/fleet/replication"
	"milletramp.example/milletramp/internal/lab/fleet/checker"
)

// sampleEvidence is the content of every row that a sidecar writes. The checker does not examine it.
var sampleEvidence = replication.Evidence{Attempts: 4, Unanswered: 1}

// writeEvidencePeriodically writes a row every EvidenceInterval.
func (s *Sidecar) writeEvidencePeriodically() {
	s.fleet.scheduler.after(s.fleet.options.EvidenceInterval, s.writeEvidencePeriodically)
	s.execute(s.writeEvidence)
}

// writeEvidence writes the sidecar's own row for a random server. It writes nothing after the plan's end, or when a
// later incarnation owns the sidecar's name.
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
	s.rowVersions[server]++ // counted independently of the version in the store
	self, _ := s.Machine.Members.Self()
	f.Record.WrittenRows = append(f.Record.WrittenRows, checker.Row{
		Owner:       s.Name,
		Incarnation: self.ProcessIncarnation.Number,
		Server:      server,
		Version:     s.rowVersions[server],
	})
}
