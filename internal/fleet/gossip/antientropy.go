package gossip

import (
	"slices"
	"time"

	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

const (
	antiEntropyInterval = time.Second // least time between two requests to a peer, and between two replies
	maxReplyPackets     = 4           // of one reply
)

// peerState is what is known of a peer's copy, and what was exchanged with it. The zero Time stands for never.
type peerState struct {
	sums          [replication.NumKinds]uint64 // that it last sent
	sumsAt        Time
	equalAt       Time // when its sums were last equal to this member's
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

// receiveAntiEntropy takes in the sums and requests of a packet.
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

// compareSums requests what a peer's copy has and this one lacks, and members where their digests differ.
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
	// While rumors are on their way copies differ everywhere, and all would request what is about to come.
	if len(m.rumors) > 0 || state.requestedAt > 0 && now.Time-state.requestedAt < antiEntropyInterval {
		return
	}
	state.requestedAt = max(now.Time, 1)
	m.counters.ItemRequests++
	m.trySend(now.Time, address, Packet{WantMissing: &digest})
}

// sendMembers sends a peer some members, drawn anew each time.
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

// sendMissing sends a peer the items in the buckets that differ, as many as maxReplyPackets hold, and requests in
// return what this copy may lack.
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

// differingKeys returns the keys in the buckets that differ, from a random one on: where not all fit into the reply, it
// is not always the same that are left out.
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

// Divergence is how a peer's copy compares to this one.
type Divergence struct {
	Name        string
	Known       bool          // it has sent its sums
	Equal       bool          // the last ones were equal to this copy's
	DivergedFor time.Duration // since they last were; 0 where Equal
	Kinds       []replication.Kind
}

// Divergences returns how the copies of all present members compare, sorted by name.
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
