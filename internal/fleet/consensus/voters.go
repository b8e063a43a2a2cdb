package consensus

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
)

// voterReplacement is the context of an entry that changes the configuration: the names, which Raft does not know.
type voterReplacement struct {
	Outgoing   string `cbor:"1,keyasint"`
	Incoming   string `cbor:"2,keyasint"`
	IncomingID uint64 `cbor:"3,keyasint"`
}

// Voters are the IDs of the present voters by name, as far as the log is applied here; settled is false during joint
// consensus, while one voter replaces another. The caller must not change the map.
func (m *Machine) Voters() (voters map[string]uint64, settled bool) {
	return m.voters, len(m.confState.VotersOutgoing) == 0
}

// VoterNames are the names of the present voters by ID, during joint consensus of those of both configurations.
func (m *Machine) VoterNames() map[uint64]string {
	names := map[uint64]string{}
	for _, voters := range []map[string]uint64{m.outgoingVoters, m.voters} {
		for name, id := range voters {
			names[id] = name
		}
	}
	return names
}

// Replace has a voter replaced by another, which may have the same name: with another folder, and so another ID, it is
// another voter. Until the change is through, entries and elections need a majority of the former configuration and one
// of the next (joint consensus; Raft, section 6), so that nothing committed is lost whichever of the two voters fails.
// The next one need not be reachable for it. ErrNoLeader says that this voter does not lead.
func (m *Machine) Replace(outgoing, incoming string, incomingID uint64) error {
	outgoingID, isVoter := m.voters[outgoing]
	_, incomingIsVoter := m.voters[incoming]
	switch {
	case m.leases == nil:
		return ErrNoLeader
	case len(m.confState.VotersOutgoing) > 0:
		return errors.New("consensus: another replacement is under way; try again when it is through")
	case !isVoter:
		return fmt.Errorf("consensus: %.80q is not a voter", outgoing)
	case incoming == "" || incomingID == 0,
		incoming != outgoing && incomingIsVoter,
		slices.Contains(m.verifier.members, incomingID):
		return fmt.Errorf("consensus: %.80q, with ID %x, is a voter already or cannot be one", incoming, incomingID)
	}
	encoded, err := cbor.Marshal(voterReplacement{outgoing, incoming, incomingID})
	if err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	change := raftpb.ConfChangeV2{Context: encoded, Changes: []raftpb.ConfChangeSingle{
		{Type: raftpb.ConfChangeAddNode, NodeID: incomingID},
		{Type: raftpb.ConfChangeRemoveNode, NodeID: outgoingID},
	}}
	if err := m.rawNode.ProposeConfChange(change); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	return nil
}

// applyConfChange applies an entry that begins or ends joint consensus. The one that ends it has no context.
func (m *Machine) applyConfChange(e raftpb.Entry) error {
	var change raftpb.ConfChangeV2
	if err := change.Unmarshal(e.Data); err != nil {
		return fmt.Errorf("consensus: entry %d: %w", e.Index, err)
	}
	if len(change.Context) > 0 {
		var r voterReplacement
		if err := cbor.Unmarshal(change.Context, &r); err != nil {
			return fmt.Errorf("consensus: entry %d: %w", e.Index, err)
		}
		m.outgoingVoters = m.voters
		m.voters = maps.Clone(m.voters)
		delete(m.voters, r.Outgoing)
		m.voters[r.Incoming] = r.IncomingID
	}
	m.setConfState(*m.rawNode.ApplyConfChange(change))
	m.snapshotDue = true // a new voter cannot begin with a snapshot that does not name it
	return nil
}

// setConfState takes in the configuration that is applied. During joint consensus the members of both may send.
func (m *Machine) setConfState(c raftpb.ConfState) {
	m.confState = c
	if len(c.VotersOutgoing) == 0 {
		m.outgoingVoters = nil
	}
	members := slices.Concat(c.Voters, c.VotersOutgoing, c.Learners, c.LearnersNext)
	slices.Sort(members)
	m.verifier.members = slices.Compact(members)
}
