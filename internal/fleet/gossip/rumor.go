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
	gossipInterval = 100 * time.Millisecond // between two gossip rounds while there are rumors
	urgentInterval = 20 * time.Millisecond  // the same once rumors with evidence were added
	gossipFanout   = 3                      // members to which a round sends
	retransmitMult = 3                      // transmissions of a rumor for each doubling of the fleet; 1 for rows
	maxRumors      = 4096                   // further changes are left to anti-entropy
)

// rumor is an item that is still to be disseminated.
type rumor struct {
	key           replication.Key
	transmitsLeft int
	order         int // higher for later rumors
}

// Broadcast makes an item that has changed in the Store a rumor.
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

// BroadcastUrgent is like Broadcast, but permits the next gossip round urgentInterval after the previous one.
func (m *Machine) BroadcastUrgent(now replication.Now, key replication.Key) {
	m.Broadcast(key)
	m.urgentPending = true
	m.gossipRound(now, true)
}

// countDuplicateRow counts a rumor of a row as transmitted once more if a peer has sent the same row (rumor mongering
// with feedback). When many servers fail, there are hundreds of rows, and widely known ones need not be sent again.
func (m *Machine) countDuplicateRow(key replication.Key) {
	if key.Kind != replication.KindRow {
		return
	}
	if i := slices.IndexFunc(m.rumors, func(r rumor) bool { return r.key == key }); i >= 0 {
		m.rumors[i].transmitsLeft--
	}
}

// gossipRound sends rumors and changed members to a few random members if there are any to send and the round is due.
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

// appendRumors appends as many rumors to a packet as fit: those with the most transmissions left first, and among these
// the latest first.
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
