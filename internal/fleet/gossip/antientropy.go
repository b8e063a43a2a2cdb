package gossip

import (
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

const (
	antiEntropyInterval = time.Second // minimum time between two requests to a peer, and between two replies to it
	maxReplyPackets     = 4           // packets in one reply
)

// peerState is the last known state of a peer's store and the times of exchanges with the peer. The zero Time means
// never.
type peerState struct {
	sums          [replication.NumKinds]uint64 // checksums that it last sent, by kind
	sumsAt        Time
	equalAt       Time // when its checksums last equaled this member's
	requestedAt   Time // when missing items were last requested from it
	repliedAt     Time // when missing items were last sent to it
	membersSentAt Time // when members were last sent to it
}

func (m *Machine) peer(name string) *peerState {
	state := m.peers[name]
	if state == nil {
		state = &peerState{}
		m.peers[name] = state
	}
	return state
}

// receiveAntiEntropy handles the checksums and anti-entropy requests of a packet.
func (m *Machine) receiveAntiEntropy(now replication.Now, from string, p Packet) {
	if p.Sums != nil {
		m.compareSums(now, from, p)
	}
	if p.WantMembers {
		m.sendMembers(now, p.From.Name, from)
	}
	if p.WantMissing != nil {
		m.sendMissing(now, from, p)
	}
}

// compareSums requests missing items from a peer whose checksums differ from this member's, and members if the digests
// of the members differ.
func (m *Machine) compareSums(now replication.Now, address string, p Packet) {
	digest := m.Store.Digest()
	state := m.peer(p.From.Name)
	if p.MembersDigest != m.Members.Digest() && !m.Members.HasBroadcasts() &&
		now.Time-m.membersRequestedAt >= antiEntropyInterval {
		m.membersRequestedAt = now.Time
		members := m.Members.SampleAll(maxPacketMembers)
		m.trySend(now.Time, address, Packet{WantMembers: true, Members: members})
	}
	state.sums, state.sumsAt = *p.Sums, now.Time
	if state.sums == digest.PerKind() {
		state.equalAt = now.Time
		return
	}
	// While rumors are in flight, stores differ throughout the fleet, and every member would request items that it is
	// about to receive anyway.
	if len(m.rumors) > 0 || state.requestedAt > 0 && now.Time-state.requestedAt < antiEntropyInterval {
		return
	}
	state.requestedAt = max(now.Time, 1)
	m.counters.ItemRequests++
	m.trySend(now.Time, address, Packet{WantMissing: &digest})
}

// sendMembers sends a new random sample of members to a peer.
func (m *Machine) sendMembers(now replication.Now, name, address string) {
	state := m.peer(name)
	if state.membersSentAt > 0 && now.Time-state.membersSentAt < antiEntropyInterval {
		return
	}
	state.membersSentAt = max(now.Time, 1)
	members := m.Members.SampleAll(maxReplyPackets * maxPacketMembers)
	for part := range slices.Chunk(members, maxPacketMembers) {
		m.trySend(now.Time, address, Packet{Members: part})
	}
}

// sendMissing sends a peer the items in the buckets that differ, up to maxReplyPackets packets, and in turn requests
// the items that this member's store may lack.
func (m *Machine) sendMissing(now replication.Now, address string, request Packet) {
	state := m.peer(request.From.Name)
	if state.repliedAt > 0 && now.Time-state.repliedAt < antiEntropyInterval {
		return
	}
	state.repliedAt = max(now.Time, 1)
	ours, theirs := m.Store.Digest(), *request.WantMissing
	keys := m.differingKeys(ours, theirs)
	for range maxReplyPackets {
		var p Packet
		if keys = m.appendItems(now, &p, keys); len(p.Items) == 0 {
			break
		}
		m.trySend(now.Time, address, p)
	}
	if !request.WantReply && ours != theirs {
		m.trySend(now.Time, address, Packet{WantMissing: &ours, WantReply: true})
	}
}

// differingKeys returns the keys in the buckets that differ, rotated to start at a random key, so that a reply too
// small for all of them does not always omit the same items.
func (m *Machine) differingKeys(ours, theirs replication.Digest) []replication.Key {
	var keys []replication.Key
	for _, key := range m.Store.Keys() {
		if b := key.Bucket(); ours[key.Kind][b] != theirs[key.Kind][b] {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return nil
	}
	first := m.rng.IntN(len(keys))
	return slices.Concat(keys[first:], keys[:first])
}

// Divergence describes how a peer's store differs from this member's.
type Divergence struct {
	Name        string
	Known       bool          // the peer has sent its checksums
	Equal       bool          // its last checksums were equal to this member's
	DivergedFor time.Duration // time since they were last equal; 0 if Equal
	Kinds       []replication.Kind
}

// Divergences returns the divergence of each present member, sorted by name.
func (m *Machine) Divergences(now Time) []Divergence {
	ours := m.Store.Digest().PerKind()
	var divergences []Divergence
	for _, member := range m.Members.Members() {
		if member.Present() {
			divergences = append(divergences, m.divergence(now, member, ours))
		}
	}
	return divergences
}

func (m *Machine) divergence(
	now Time, member membership.Member, ours [replication.NumKinds]uint64,
) Divergence {
	d := Divergence{Name: member.Name}
	state := m.peers[member.Name]
	if state == nil || state.sumsAt == 0 {
		return d
	}
	d.Known, d.Equal = true, state.equalAt == state.sumsAt
	if d.Equal {
		return d
	}
	d.DivergedFor = now - state.equalAt
	for kind := range replication.NumKinds {
		if state.sums[kind] != ours[kind] {
			d.Kinds = append(d.Kinds, kind)
		}
	}
	return d
}
