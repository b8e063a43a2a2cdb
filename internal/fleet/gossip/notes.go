package gossip

import "milletramp.example/milletramp/internal/fleet/failuredetector"

// SendNote sends a note of this sidecar on a server to the server's collectors.
func (m *Machine) SendNote(now Time, note failuredetector.Note) {
	self, ownsName := m.Members.Self()
	if !ownsName {
		return
	}
	names, addresses := []string{self.Name}, map[string]string{}
	for _, member := range m.Members.Members() {
		if member.Present() {
			names = append(names, member.Name)
			addresses[member.Name] = member.Address
		}
	}
	for _, collector := range failuredetector.Collectors(note.Server, names) {
		if collector == self.Name {
			m.receiveNote(now, self.Name, note)
		} else {
			m.trySend(now, addresses[collector], Packet{Notes: []failuredetector.Note{note}})
		}
	}
}

// receiveNote handles a note sent by a sidecar, which may be this one.
func (m *Machine) receiveNote(now Time, from string, note failuredetector.Note) {
	switch note.Kind {
	case failuredetector.NoteLate:
		for _, owner := range m.quorum.AddLate(now, note.Server, from, m.Members.NumPresent()) {
			m.requestReport(now, owner, note.Server)
		}
	case failuredetector.NoteAnswered:
		m.quorum.Clear(note.Server)
	case failuredetector.NoteReport:
		m.actions.ReportServers = append(m.actions.ReportServers, note.Server)
	}
}

// requestReport requests the owner of a note, which may be this sidecar, to report on a server to the complete fleet.
func (m *Machine) requestReport(now Time, owner, server string) {
	if self, _ := m.Members.Self(); owner == self.Name {
		m.actions.ReportServers = append(m.actions.ReportServers, server)
		return
	}
	if member, known := m.Members.Member(owner); known && member.Present() {
		request := failuredetector.Note{Server: server, Kind: failuredetector.NoteReport}
		m.trySend(now, member.Address, Packet{Notes: []failuredetector.Note{request}})
	}
}
