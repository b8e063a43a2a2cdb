package gossip

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// mergeItem merges one item received from a peer and reports whether the store changed. A changed item becomes a rumor.
func (m *Machine) mergeItem(now replication.Now, item replication.Item, from string) (updated bool) {
	key, err := item.Key()
	if err == nil {
		updated, err = m.Store.Merge(now, item, from)
	}
	if err != nil {
		m.counters.Malformed++
		return false
	}
	if !updated {
		m.countDuplicateRow(key)
		return false
	}
	m.Broadcast(key)
	if m.successor != "" && len(m.pendingForward) < maxRumors {
		m.pendingForward = append(m.pendingForward, key)
	}
	m.urgentPending = m.urgentPending || key.Kind == replication.KindRow
	m.actions.Updated = append(m.actions.Updated, key)
	return true
}

// mergeItems merges encoded items and returns the number of those that changed the store.
func (m *Machine) mergeItems(now replication.Now, items []cbor.RawMessage, from string) (updated int) {
	for _, encoded := range items {
		var item replication.Item
		if err := decMode.Unmarshal(encoded, &item); err != nil {
			m.counters.Malformed++
			continue
		}
		if m.mergeItem(now, item, from) {
			updated++
		}
	}
	return updated
}

// mergeMembers merges a peer's own state and the member states that it sent.
func (m *Machine) mergeMembers(now replication.Now, from membership.Member, members []membership.Member) {
	self, _ := m.Members.Self()
	all := slices.Concat([]membership.Member{from}, members)
	if err := m.Members.Merge(now.Time, all, from.Name); err != nil {
		m.counters.Malformed++
	}
	if current, ownsName := m.Members.Self(); ownsName {
		m.Store.SetIncarnation(current.ProcessIncarnation)
	}
	for _, received := range members {
		isSelf := received.Name == self.Name && received.ProcessIncarnation == self.ProcessIncarnation
		if !isSelf || received.State != membership.Dead {
			continue
		}
		// Other members considered this one dead and did not send it the changes made in the meantime.
		if received.Incarnation >= m.minUnrefutedIncarnation && m.phase != CatchingUp {
			m.minUnrefutedIncarnation = received.Incarnation + 1
			m.enterPhase(now.Time, CatchingUp)
		}
	}
}

// flushMembership handles the changes of package membership and sends its messages with piggybacked rumors. receiver is
// the member whose packet caused them, or the zero Member.
func (m *Machine) flushMembership(now replication.Now, receiver membership.Member) {
	outgoing, changes := m.Members.TakeOutput()
	for _, change := range changes {
		m.memberChanged(change)
	}
	for _, o := range outgoing {
		sums := m.Store.Digest().PerKind()
		p := Packet{
			Probe:         &o.Message,
			Sums:          &sums,
			MembersDigest: m.Members.Digest(),
			Members:       m.Members.Broadcasts(maxPacketMembers, receiver),
		}
		m.appendRumors(now, &p)
		m.send(now.Time, o.To, p)
	}
}

func (m *Machine) memberChanged(change membership.Change) {
	m.actions.Changes = append(m.actions.Changes, change)
	if change.Superseded {
		m.successor, m.pendingForward = change.Member.Address, m.Store.Keys()
		return
	}
	if change.Previous.ProcessIncarnation != change.Member.ProcessIncarnation {
		m.Store.MarkDead(change.Member.Name, change.Previous.ProcessIncarnation)
	}
	switch change.Member.State {
	case membership.Left:
		m.Store.MarkDead(change.Member.Name, change.Member.ProcessIncarnation)
		delete(m.peers, change.Member.Name)
	case membership.Dead:
		// The process may still run, so its rows are kept: if they were dropped, an older version that another member
		// still sends would be merged as new. They do not count while the member is not present, and they expire.
		delete(m.peers, change.Member.Name)
	}
}

// maxForwardPackets is the number of packets that the default buffer of a socket holds.
const maxForwardPackets = 64

// forwardToSuccessor sends items, in at most maxForwardPackets packets, to the later process that has taken over this
// member's name, if there is one. Other members may not have received that process's state yet and still send to
// this one. Without forwarding, the successor would not apply an item that only this process received, such as an
// operator's call.
func (m *Machine) forwardToSuccessor(now replication.Now, keys []replication.Key) {
	if m.successor == "" || len(keys) == 0 {
		return
	}
	m.pendingForward = nil
	for range maxForwardPackets {
		var p Packet
		p.setHeader(m)
		if keys = m.appendItems(now, &p, keys); len(p.Items) == 0 {
			return
		}
		payload, err := p.Encode()
		if err != nil || len(payload) > MaxPacketBytes {
			m.counters.Malformed++
			return
		}
		m.enqueue(m.successor, payload)
	}
}
