package gossip

import "milletramp.example/milletramp/internal/fleet/replication"

// The bound on what a member sends, as a token bucket of bytes. It does not grow with the fleet. Probes and acks are
// sent beyond it, as a member that cannot send them is held for dead; their number for each member does not grow with
// the fleet either.
const (
	MaxBytesPerSecond = 32 << 10
	maxBurstBytes     = 16 << 10
)

// itemsHeaderBytes is the most that the list of items takes in a packet beyond the items.
const itemsHeaderBytes = 8

// setHeader fills in the fields that every packet has.
func (p *Packet) setHeader(m *Machine) {
	p.Format, p.Label = Format, m.settings.Label
	p.From, _ = m.Members.Self()
}

// trySend sends a packet, unless the bound on bytes holds it back: then nothing is sent, and it returns false.
func (m *Machine) trySend(now Time, to string, p Packet) bool { return m.sendLimited(now, to, p, true) }

// send sends a packet beyond the bound on bytes, which still counts it. It returns false for a member that has been
// superseded, and for a packet that is too large.
func (m *Machine) send(now Time, to string, p Packet) bool { return m.sendLimited(now, to, p, false) }

func (m *Machine) sendLimited(now Time, to string, p Packet, limited bool) bool {
	if _, ownsName := m.Members.Self(); !ownsName {
		return false // a later incarnation sends under the name
	}
	p.setHeader(m)
	payload, err := p.Encode()
	if err != nil || len(payload) > MaxPacketBytes {
		m.counters.Malformed++
		return false
	}
	m.tokens = min(m.tokens+(now-m.tokensUpdatedAt).Seconds()*MaxBytesPerSecond, maxBurstBytes)
	m.tokensUpdatedAt = now
	size := float64(len(payload))
	if limited && m.tokens < size {
		m.counters.Throttled++
		return false
	}
	m.tokens = max(m.tokens-size, -maxBurstBytes)
	m.enqueue(to, payload)
	return true
}

func (m *Machine) enqueue(to string, payload []byte) {
	m.counters.Packets++
	m.counters.Bytes += uint64(len(payload))
	m.actions.Send = append(m.actions.Send, Datagram{to, payload})
}

// appendItems puts items into a packet until one does not fit, and returns the keys of that one and those after it.
func (m *Machine) appendItems(now replication.Now, p *Packet, keys []replication.Key) (rest []replication.Key) {
	remaining := MaxPacketBytes - m.encodedSize(*p)
	for i, key := range keys {
		item, ok := m.Store.Item(now, key)
		if !ok {
			continue
		}
		encoded, err := encMode.Marshal(item)
		if err != nil || len(encoded) > MaxPacketBytes/2 {
			m.counters.Malformed++ // such an item travels by snapshot alone
			continue
		}
		if len(encoded) > remaining {
			return keys[i:]
		}
		remaining -= len(encoded)
		p.Items = append(p.Items, encoded)
	}
	return nil
}

// encodedSize returns the bytes of a packet with the header of its list of items.
func (m *Machine) encodedSize(p Packet) int {
	p.setHeader(m)
	payload, err := p.Encode()
	if err != nil {
		return MaxPacketBytes
	}
	return len(payload) + itemsHeaderBytes
}
