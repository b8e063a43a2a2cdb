package gossip

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

const (
	gossipInterval = 100 * time.Millisecond // between two rounds while there are rumors
	urgentInterval = 20 * time.Millisecond  // the same while evidence is among them
	gossipFanout   = 3                      // members that a round sends to
	retransmitMult = 3                      // transmissions of a rumor for each doubling of the fleet; rows: one
	maxRumors      = 4096                   // beyond which changes are left to anti-entropy
)

// rumor is an item that is to be passed on.
type rumor struct {
	key           replication.Key
	transmitsLeft int
	order         int // the later one has the higher
}

// Broadcast has an item passed on that this sidecar has changed in the Store.
func (m *Machine) Broadcast(key replication.Key) {
	m.rumors = slices.DeleteFunc(m.rumors, func(r rumor) bool { return r.key == key })
	if len(m.rumors) >= maxRumors {
		m.counters.Throttled++
		return
	}
	m.rumorsAdded++
	transmits := bits.Len(uint(m.Members.NumPresent()))
	if key.Kind != replication.KindRow {
		transmits *= retransmitMult
	}
	m.rumors = append(m.rumors, rumor{key, transmits, m.rumorsAdded})
}

// BroadcastUrgent has an item passed on that this sidecar has changed in the Store, with the next round moved forward.
func (m *Machine) BroadcastUrgent(now replication.Now, key replication.Key) {
	m.Broadcast(key)
	m.urgentPending = true
	m.gossipRound(now, true)
}

// countDuplicateRow counts a row that a peer has sent too as transmitted once: rows come by the hundred when much fails,
// and one that is known widely need not be sent again (rumor mongering with feedback).
func (m *Machine) countDuplicateRow(key replication.Key) {
	if key.Kind != replication.KindRow {
		return
	}
	if i := slices.IndexFunc(m.rumors, func(r rumor) bool { return r.key == key }); i >= 0 {
		m.rumors[i].transmitsLeft--
	}
}

// gossipRound sends rumors and changed members to a few random members, if there are any and the round is due.
func (m *Machine) gossipRound(now replication.Now, urgent bool) {
	due := m.nextRound
	if urgent {
		due -= gossipInterval - urgentInterval
	}
	if now.Time < due || len(m.rumors) == 0 && !m.Members.HasBroadcasts() {
		return
	}
	m.nextRound, m.urgentPending = now.Time+gossipInterval, false
	for _, to := range m.Members.SamplePresent(gossipFanout) {
		p := Packet{Members: m.Members.Broadcasts(maxPacketMembers, membership.Member{})}
		previous := slices.Clone(m.rumors)
		m.appendRumors(now, &p)
		if len(p.Items)+len(p.Members) == 0 {
			return
		}
		if !m.trySend(now.Time, to.Address, p) {
			m.rumors = previous
			return
		}
	}
}

// appendRumors puts as many rumors into a packet as fit, those transmitted least first, and the latest of these.
func (m *Machine) appendRumors(now replication.Now, p *Packet) {
	if len(m.rumors) == 0 {
		return
	}
	slices.SortFunc(m.rumors, func(a, b rumor) int {
		return cmp.Or(cmp.Compare(b.transmitsLeft, a.transmitsLeft), cmp.Compare(b.order, a.order))
	})
	keys := make([]replication.Key, len(m.rumors))
	for i, r := range m.rumors {
		keys[i] = r.key
	}
	sent := len(keys) - len(m.appendItems(now, p, keys))
	for i := range sent {
		m.rumors[i].transmitsLeft--
	}
	m.rumors = slices.DeleteFunc(m.rumors, func(r rumor) bool { return r.transmitsLeft <= 0 })
}
