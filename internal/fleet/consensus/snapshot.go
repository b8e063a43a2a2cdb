package consensus

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"

	"milletramp.example/milletramp/internal/fleet/policy"
)

// snapshotThreshold is the number of entries applied after a snapshot at which the next one is taken (Raft, section 7).
const snapshotThreshold = 64

// snapshotData is the state machine's part of a snapshot, in its stored and transmitted form.
type snapshotData struct {
	InitialPolicy  []byte            `cbor:"1,keyasint,omitempty"` // instead of a ledger, in a group's initial snapshot
	Ledger         []byte            `cbor:"2,keyasint,omitempty"`
	Voters         map[string]uint64 `cbor:"3,keyasint"`           // IDs by name
	OutgoingVoters map[string]uint64 `cbor:"4,keyasint,omitempty"` // during joint consensus
}

// installSnapshot replaces the log and the state with those of a snapshot.
func (m *Machine) installSnapshot(s raftpb.Snapshot) error {
	if err := m.storage.ApplySnapshot(s); err != nil {
		return fmt.Errorf("consensus: snapshot: %w", err)
	}
	return m.restoreSnapshot(s)
}

// restoreSnapshot restores the ledger and the voters from a snapshot.
func (m *Machine) restoreSnapshot(s raftpb.Snapshot) error {
	var data snapshotData
	err := cbor.Unmarshal(s.Data, &data)
	ledger := policy.NewLedger(data.InitialPolicy)
	if err == nil && data.Ledger != nil {
		ledger, err = policy.DecodeLedger(data.Ledger)
	}
	if err != nil {
		return fmt.Errorf("consensus: snapshot at %d: %w", s.Metadata.Index, err)
	}
	m.ledger = ledger
	m.appliedIndex = s.Metadata.Index
	m.snapshotIndex = s.Metadata.Index
	m.snapshotDue = false
	m.voters = data.Voters
	m.outgoingVoters = data.OutgoingVoters
	m.setConfState(s.Metadata.ConfState)
	return nil
}

// Compact returns a snapshot to persist in place of the entries up to its index, or nil if none is due. The host calls
// it after Advance.
func (m *Machine) Compact() (*raftpb.Snapshot, error) {
	if m.appliedIndex-m.snapshotIndex < snapshotThreshold && !m.snapshotDue {
		return nil, nil
	}
	data, err := m.encodeSnapshotData()
	if err != nil {
		return nil, fmt.Errorf("consensus: snapshot at %d: %w", m.appliedIndex, err)
	}
	s, err := m.storage.CreateSnapshot(m.appliedIndex, &m.confState, data)
	if err != nil {
		return nil, fmt.Errorf("consensus: snapshot at %d: %w", m.appliedIndex, err)
	}
	if err := m.storage.Compact(m.appliedIndex); err != nil {
		return nil, fmt.Errorf("consensus: entries up to %d: %w", m.appliedIndex, err)
	}
	m.snapshotIndex = m.appliedIndex
	m.snapshotDue = false
	return &s, nil
}

func (m *Machine) encodeSnapshotData() ([]byte, error) {
	ledger, err := m.ledger.Encode()
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(snapshotData{Ledger: ledger, Voters: m.voters, OutgoingVoters: m.outgoingVoters})
}
