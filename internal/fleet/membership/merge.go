package membership

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Merge takes in the members that a peer holds; from is the peer's name. Invalid ones are skipped: the error is that of
// the first, and wraps ErrInvalidMember.
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

// mergeSelf takes in what others hold under this member's name. What they hold of its former process must not pass for
// its own state, and a process that starts while this one runs, as in an upgrade, must not contend with it for ever.
func (m *Machine) mergeSelf(received Member) {
	switch comparison := received.ProcessIncarnation.Compare(m.self.ProcessIncarnation); {
	case comparison < 0: // a former process: this one's state replaces it
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

// refute raises the incarnation where others hold this process in a state that is not its own.
func (m *Machine) refute(received Member) {
	if m.superseded || m.self.State == Left {
		return
	}
	if received.State == m.self.State || received.Incarnation < m.self.Incarnation {
		return
	}
	m.self.Incarnation = received.Incarnation + 1
	m.adjustLocalHealth(1) // it was suspected: others did not get its acks in time
	m.enqueueBroadcast(m.self.Name)
}

// markSuperseded gives the name up to a later process.
func (m *Machine) markSuperseded(later Member) {
	m.superseded = true
	m.version++
	m.dropBroadcast(m.self.Name)
	m.changes = append(m.changes, Change{Member: later, Previous: m.self, Superseded: true})
}

// isFormerIncarnation reports whether a process of a higher number under this member's name has ended. Its number may
// be the higher one where the wall clock has stepped back since. No other process can have this one's address.
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

// suspicionTimeout returns how long a suspect has to refute a suspicion that a number of other members has confirmed.
func (m *Machine) suspicionTimeout(confirmations int) time.Duration {
	scale := max(1, math.Log10(float64(len(m.present)+1)))
	minTimeout := suspicionMult * scale * float64(m.settings.ProbeInterval)
	confirmedFraction := min(1, math.Log(float64(confirmations)+1)/math.Log(suspicionConfirmations+1))
	return time.Duration(minTimeout * (suspicionMaxMult - (suspicionMaxMult-1)*confirmedFraction))
}

// confirmSuspicion counts another member's suspicion, and passes it on as it is new.
func (m *Machine) confirmSuspicion(p *peer, from string) {
	if p.suspectedBy[from] || len(p.suspectedBy) > suspicionConfirmations {
		return
	}
	p.suspectedBy[from] = true
	p.deadline = p.suspectedAt + m.suspicionTimeout(len(p.suspectedBy)-1)
	m.enqueueBroadcast(p.Name)
}

// expirePeers declares suspects dead whose time is over, and drops those that have been dead or left for long.
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

// refutedByContact reports whether this member alone suspects a peer that it has received a message from of late. Such
// a peer is alive: it is this member's own messages that get lost, and without this rule it would declare everybody
// dead.
func (m *Machine) refutedByContact(now Time, p *peer) bool {
	if len(p.suspectedBy) > 1 || !p.suspectedBy[m.self.Name] || p.lastContact == 0 {
		return false
	}
	return now-p.lastContact < m.scaleByLocalHealth(recentContactIntervals*m.settings.ProbeInterval)
}

// rebuildLists lists the peers that are present, and those that are not Alive.
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
