package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Merge merges member states received from a peer; from is the peer's name. It skips invalid members and returns the
// error of the first one, which wraps ErrInvalidMember.
func (m *Machine) Merge(now Time, members []Member, from string) (err error) {
	for _, member := range members {
		if invalid := member.validate(); invalid != nil {
			err = cmp.Or(err, invalid)
			continue
		}
		if member.Name == m.self.Name {
			m.mergeSelf(member)
			continue
		}
		m.mergePeer(now, member, from)
	}
	return err
}

// mergeSelf merges a state that others hold under this member's own name. The state of a former process must not be
// mistaken for this process's state. If a later process starts while this one still runs, as in an upgrade, the two
// must not override each other's state indefinitely.
func (m *Machine) mergeSelf(received Member) {
	switch comparison := received.ProcessIncarnation.Compare(m.self.ProcessIncarnation); {
	case comparison < 0: // an earlier process: this process's state overrides it
		m.enqueueBroadcast(m.self.Name)
	case comparison == 0:
		m.refute(received)
	case m.superseded:
	case !m.joined || m.isFormerIncarnation(received):
		m.self.ProcessIncarnation.Number, m.self.Incarnation = received.ProcessIncarnation.Number+1, 0
		m.enqueueBroadcast(m.self.Name)
	default:
		m.markSuperseded(received)
	}
}

// refute raises the incarnation if others hold this process in a state other than its actual one.
func (m *Machine) refute(received Member) {
	if m.superseded || m.self.State == Left {
		return
	}
	if received.State == m.self.State || received.Incarnation < m.self.Incarnation {
		return
	}
	m.self.Incarnation = received.Incarnation + 1
	m.adjustLocalHealth(1) // others did not receive this member's acks in time
	m.enqueueBroadcast(m.self.Name)
}

// markSuperseded records that a later process has taken over this member's name.
func (m *Machine) markSuperseded(later Member) {
	m.superseded = true
	m.version++
	m.dropBroadcast(m.self.Name)
	m.changes = append(m.changes, Change{Member: later, Previous: m.self, Superseded: true})
}

// isFormerIncarnation reports whether a process with a higher number under this member's name is a former process that
// has ended. A former process has a higher number if the wall clock has stepped back since its start. A process at this
// one's address must have ended, as no two processes can share an address.
func (m *Machine) isFormerIncarnation(received Member) bool {
	return received.Address == m.self.Address || !received.Present()
}

func (m *Machine) mergePeer(now Time, received Member, from string) {
	p := m.peers[received.Name]
	if p == nil {
		if len(m.peers) >= maxMembers {
			return
		}
		p = &peer{Member: Member{Name: received.Name, State: numStates}}
		m.peers[received.Name] = p
	}
	if p.State == Suspect && received.State == Suspect &&
		received.ProcessIncarnation == p.ProcessIncarnation && received.Incarnation == p.Incarnation {
		m.confirmSuspicion(p, from)
	}
	if p.State != numStates && received.Compare(p.Member) <= 0 {
		return
	}
	previous := p.Member
	p.Member, p.stateSince = received, now
	if previous.ProcessIncarnation != received.ProcessIncarnation {
		p.lastContact = 0
	}
	p.suspectedBy = nil
	if received.State == Suspect {
		p.suspectedBy = map[string]bool{from: true}
		p.suspectedAt = now
		p.deadline = now + m.suspicionTimeout(0)
	}
	m.rebuildLists()
	m.enqueueBroadcast(received.Name)
	m.changes = append(m.changes, Change{Member: received, Previous: previous})
}

// suspicionTimeout returns how long a suspect has to refute a suspicion, given the number of members that confirmed it.
func (m *Machine) suspicionTimeout(confirmations int) time.Duration {
	scale := max(1, math.Log10(float64(len(m.present)+1)))
	minTimeout := suspicionMult * scale * float64(m.settings.ProbeInterval)
	confirmedFraction := min(1, math.Log(float64(confirmations)+1)/math.Log(suspicionConfirmations+1))
	return time.Duration(minTimeout * (suspicionMaxMult - (suspicionMaxMult-1)*confirmedFraction))
}

// confirmSuspicion counts the suspicion of another member and broadcasts it if that member was not counted before.
func (m *Machine) confirmSuspicion(p *peer, from string) {
	if p.suspectedBy[from] || len(p.suspectedBy) > suspicionConfirmations {
		return
	}
	p.suspectedBy[from] = true
	p.deadline = p.suspectedAt + m.suspicionTimeout(len(p.suspectedBy)-1)
	m.enqueueBroadcast(p.Name)
}

// expirePeers declares suspects dead whose deadline has passed, and removes members that have been dead or left for the
// retention period.
func (m *Machine) expirePeers(now Time) {
	for _, name := range slices.Clone(m.notAlive) {
		p := m.peers[name]
		switch {
		case p.State == Suspect && now >= p.deadline:
			if m.refutedByContact(now, p) {
				continue
			}
			dead := p.Member
			dead.State = Dead
			m.mergePeer(now, dead, m.self.Name)
		case !p.Present() && now-p.stateSince >= m.settings.Retention:
			delete(m.peers, name)
			m.rebuildLists()
		}
	}
}

// refutedByContact reports whether this member is the only one that suspects a peer and has recently received a message
// from it. Such a peer is alive and this member's own messages are being lost; without this rule, this member would
// declare all others dead.
func (m *Machine) refutedByContact(now Time, p *peer) bool {
	if len(p.suspectedBy) > 1 || !p.suspectedBy[m.self.Name] || p.lastContact == 0 {
		return false
	}
	return now-p.lastContact < m.scaleByLocalHealth(recentContactIntervals*m.settings.ProbeInterval)
}

// rebuildLists rebuilds the sorted lists of present peers and of peers that are not Alive.
func (m *Machine) rebuildLists() {
	m.present, m.notAlive = m.present[:0], m.notAlive[:0]
	for name, p := range m.peers {
		if p.Present() {
			m.present = append(m.present, name)
		}
		if p.State != Alive {
			m.notAlive = append(m.notAlive, name)
		}
	}
	slices.Sort(m.present)
	slices.Sort(m.notAlive)
}
