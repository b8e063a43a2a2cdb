package membership

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// broadcast is a member whose state is to be disseminated by piggybacking it on other messages (SWIM).
type broadcast struct {
	name          string
	transmitsLeft int
}

// Broadcasts returns up to n members whose state is to be sent to receiver, and counts each as transmitted once. The
// members transmitted least often come first.
//
// The state held for the receiver itself precedes them if it is newer than the receiver's own state: a member that is
// considered dead needs it to refute that state, and a restarted member needs it to detect its former process. The
// receiver may be the zero Member.
func (m *Machine) Broadcasts(n int, receiver Member) []Member {
	list := make([]Member, 0, n)
	if p := m.peers[receiver.Name]; p != nil && p.Compare(receiver) > 0 && n > 0 {
		list = append(list, p.Member)
	}
	slices.SortStableFunc(m.broadcasts, func(a, b broadcast) int {
		return cmp.Compare(b.transmitsLeft, a.transmitsLeft)
	})
	for i := 0; i < len(m.broadcasts) && len(list) < n; i++ {
		member, ok := m.Member(m.broadcasts[i].name)
		if !ok || len(list) > 0 && list[0].Name == member.Name {
			continue
		}
		list = append(list, member)
		m.broadcasts[i].transmitsLeft--
	}
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(b broadcast) bool { return b.transmitsLeft <= 0 })
	return list
}

// HasBroadcasts reports whether the state of any member is still to be disseminated.
func (m *Machine) HasBroadcasts() bool { return len(m.broadcasts) > 0 }

// enqueueBroadcast schedules a member's state for transmission. The number of transmissions grows with the logarithm of
// the fleet's size: this reaches all members with near certainty, while the rate at which one member sends stays
// independent of the fleet's size.
func (m *Machine) enqueueBroadcast(name string) {
	m.version++
	if m.superseded && name == m.self.Name {
		return
	}
	m.dropBroadcast(name)
	transmits := math.Ceil(retransmitMult * math.Log10(float64(len(m.peers)+2)+1))
	m.broadcasts = append(m.broadcasts, broadcast{name, int(transmits)})
}

func (m *Machine) dropBroadcast(name string) {
	m.broadcasts = slices.DeleteFunc(m.broadcasts, func(b broadcast) bool { return b.name == name })
}

// Digest returns a hash that is equal for machines that hold equal states of all present members, including themselves.
func (m *Machine) Digest() uint64 {
	if m.digestVersion != m.version {
		m.digest, m.digestVersion = m.computeDigest(), m.version
	}
	return m.digest
}

// computeDigest sums the hashes of present members only, as machines remove the other members at different times.
func (m *Machine) computeDigest() (sum uint64) {
	for _, p := range m.peers {
		if p.Present() {
			sum += p.hash()
		}
	}
	if !m.superseded && m.self.Present() {
		sum += m.self.hash()
	}
	return sum
}

func (m Member) hash() uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(m.Name) // a Digest never fails
	_, _ = h.Write([]byte{0, byte(m.State)})
	_, _ = h.WriteString(m.Address)
	for _, x := range [...]uint64{m.ProcessIncarnation.Number, m.ProcessIncarnation.Nonce, uint64(m.Incarnation)} {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, x))
	}
	return h.Sum64()
}
