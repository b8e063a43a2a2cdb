package gossip

import "milletramp.example/milletramp/internal/fleet/replication"

// Limits on the bytes that a member sends, enforced with a token bucket. They are independent of the fleet's size.
// Probes and acks may exceed them, as a member that does not send these is declared dead; the number of probes and acks
// per member does not grow with the fleet either.
const (
	MaxBytesPerSecond = 32 << 10
	maxBurstBytes     = 16 << 10
)

// itemsHeaderBytes is the maximum overhead of the list of items in a packet, not counting the items themselves.
const itemsHeaderBytes = 8

// setHeader sets the fields that every packet has.
func (p *Packet) setHeader(m *Machine) {
	p.Format, p.Label = Format, m.settings.Label
	p.From, _ = m.Members.Self()
}

// trySend sends a packet if the send rate limit permits. Otherwise it sends nothing and returns false.
func (m *Machine) trySend(now Time, to string, p Packet) bool { return m.sendLimited(now, to, p, true) }

// send sends a packet even if it exceeds the send rate limit, and counts it against the limit. It returns false if this
// member has been superseded or the packet is too large.
func (m *Machine) send(now Time, to string, p Packet) bool { return m.sendLimited(now, to, p, false) }

func (m *Machine) sendLimited(now Time, to string, p Packet, limited bool) bool {
	if _, ownsName := m.Members.Self(); !ownsName {
		return false // a later process sends under this name
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

// appendItems appends items to a packet until one does not fit, and returns the keys of that one and those after it.
func (m *Machine) appendItems(now replication.Now, p *Packet, keys []replication.Key) (rest []replication.Key) {
	remaining := MaxPacketBytes - m.encodedSize(*p)
	for i, key := range keys {
		item, ok := m.Store.Item(now, key)
		if !ok {
			continue
		}
		encoded, err := encMode.Marshal(item)
		if err != nil || len(encoded) > MaxPacketBytes/2 {
			m.counters.Malformed++ // such an item is transferred by snapshots only
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

// encodedSize returns the size of a packet in bytes, including the header of its list of items.
func (m *Machine) encodedSize(p Packet) int {
	p.setHeader(m)
	payload, err := p.Encode()
	if err != nil {
		return MaxPacketBytes
	}
	return len(payload) + itemsHeaderBytes
}
