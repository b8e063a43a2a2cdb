package consensus

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
)

// voterReplacement is the context of a configuration change entry. It contains the voters' names, because Raft does not
// store them.
type voterReplacement struct {
	Outgoing   string `cbor:"1,keyasint"`
	Incoming   string `cbor:"2,keyasint"`
	IncomingID uint64 `cbor:"3,keyasint"`
}

// Voters returns the IDs of the current voters by name, according to the entries applied here. settled is false during
// joint consensus, while one voter replaces another. The caller must not change the map.
func (m *Machine) Voters() (voters map[string]uint64, settled bool) {
	return m.voters, len(m.confState.VotersOutgoing) == 0
}

// VoterNames returns the names of the current voters by ID, and during joint consensus those of both configurations.
func (m *Machine) VoterNames() map[uint64]string {
	names := map[uint64]string{}
	for _, voters := range []map[string]uint64{m.outgoingVoters, m.voters} {
		for name, id := range voters {
			names[id] = name
		}
	}
	return names
}

// Replace proposes the replacement of a voter by another one. Both may have the same name: a voter with a new folder
// has a new ID and is a different voter. Until the change is complete, entries and elections need a majority of the
// former configuration and a majority of the new one (joint consensus; Raft, section 6), so no committed entry is lost
// if either of the two voters fails. The change does not require the incoming voter to be reachable. ErrNoLeader means
// that this voter does not lead.
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

// applyConfChange applies an entry that starts or ends joint consensus. The entry that ends it has no context.
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
	m.snapshotDue = true // a new voter cannot start from a snapshot whose configuration does not include it
	return nil
}

// setConfState sets the applied configuration. During joint consensus the members of both configurations are accepted
// as senders.
func (m *Machine) setConfState(c raftpb.ConfState) {
	m.confState = c
	if len(c.VotersOutgoing) == 0 {
		m.outgoingVoters = nil
	}
	members := slices.Concat(c.Voters, c.VotersOutgoing, c.Learners, c.LearnersNext)
	slices.Sort(members)
	m.verifier.members = slices.Compact(members)
}
