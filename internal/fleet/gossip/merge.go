package gossip

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// mergeItem merges one item that a peer has sent, and reports whether it changed the store. A changed item becomes a
// rumor.
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

// mergeItems merges encoded items, and returns how many of them changed the store.
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

// mergeMembers merges a peer's own state and the members that it has sent.
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
		// Others have held this member for dead: what they changed meanwhile was not sent to it.
		if received.Incarnation >= m.minUnrefutedIncarnation && m.phase != CatchingUp {
			m.minUnrefutedIncarnation = received.Incarnation + 1
			m.enterPhase(now.Time, CatchingUp)
		}
	}
}

// flushMembership takes in what membership has changed, and sends its messages with rumors piggyback. receiver is the
// member whose packet led to them, or the zero Member.
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
		// It may live on, so its rows stay: were they dropped, an older version that another member still passes on
		// would come back as new. They do not count while it is not present, and expire.
		delete(m.peers, change.Member.Name)
	}
}

// maxForwardPackets is how many packets a socket's default buffer holds.
const maxForwardPackets = 64

// forwardToSuccessor sends items to the later incarnation that has taken this member's name, if there is one, in at
// most maxForwardPackets packets. Other members may not know of that incarnation yet and still send to this one: what
// only this one received, an operator's call for instance, the successor would not obey.
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
