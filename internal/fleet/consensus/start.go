package consensus

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"milletramp.example/milletramp/internal/fleet/policy"
)

// initialIndex and initialTerm are the index and the term of the snapshot with which all voters of a group start.
const (
	initialIndex = 1
	initialTerm  = 1
)

// New returns a machine that continues from the persisted state or, without one, starts with the initial policy in
// force. It fails if the identity is not one of the known voters, or if the persisted state is inconsistent.
func New(now Time, settings Settings, log *slog.Logger) (*Machine, error) {
	identity := settings.Identity
	members := settings.Bootstrap.voterIDs()
	if !slices.Contains(members, identity.ID) || identity.Incarnation == 0 {
		return nil, fmt.Errorf("consensus: voter %x with incarnation %d does not belong to %v",
			identity.ID, identity.Incarnation, settings.Bootstrap)
	}
	if err := settings.Terms.Check(); err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	m := &Machine{
		settings: settings,
		verifier: envelopeVerifier{
			groupID:      settings.Bootstrap.GroupID(),
			identity:     identity,
			members:      members,
			incarnations: map[uint64]uint64{},
		},
		newIncarnations: map[uint64]uint64{},
		storage:         raft.NewMemoryStorage(),
		snapshotsSent:   map[uint64]Time{},
		ledger:          policy.NewLedger(settings.Bootstrap.InitialPolicy),
		voters:          maps.Clone(settings.Bootstrap.KnownVoters()),
	}
	maps.Copy(m.verifier.incarnations, settings.Incarnations)
	if err := m.loadStorage(); err != nil {
		return nil, err
	}
	var err error
	if m.rawNode, err = raft.NewRawNode(m.raftConfig(log)); err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	return m, nil
}

// loadStorage fills Raft's storage with the persisted state. The storage of a voter that replaces another one is empty
// at first: the voter waits for the leader's snapshot, and is not a candidate before it arrives.
func (m *Machine) loadStorage() error {
	persisted := m.settings.Persisted
	replacesVoter := m.settings.Bootstrap.VotersAtJoin != nil
	if raft.IsEmptySnap(persisted.Snapshot) && !replacesVoter {
		var err error
		if persisted.Snapshot, err = m.initialSnapshot(); err != nil {
			return err
		}
	}
	if raft.IsEmptyHardState(persisted.HardState) && !replacesVoter {
		// Starting in the term of the initial snapshot makes the first election use a later term.
		persisted.HardState = raftpb.HardState{Term: initialTerm, Commit: initialIndex}
	}
	if !raft.IsEmptySnap(persisted.Snapshot) {
		if err := m.installSnapshot(persisted.Snapshot); err != nil {
			return err
		}
	}
	if err := m.storage.Append(persisted.Entries); err != nil {
		return fmt.Errorf("consensus: entries: %w", err)
	}
	if err := m.storage.SetHardState(persisted.HardState); err != nil {
		return fmt.Errorf("consensus: hard state: %w", err)
	}
	return nil
}

// initialSnapshot returns the snapshot with which the log of a new group starts. It is the same on all voters, so they
// agree on the configuration without an election.
func (m *Machine) initialSnapshot() (raftpb.Snapshot, error) {
	data, err := cbor.Marshal(snapshotData{InitialPolicy: m.settings.Bootstrap.InitialPolicy, Voters: m.voters})
	if err != nil {
		return raftpb.Snapshot{}, fmt.Errorf("consensus: initial policy: %w", err)
	}
	return raftpb.Snapshot{Data: data, Metadata: raftpb.SnapshotMetadata{
		Index:     initialIndex,
		Term:      initialTerm,
		ConfState: raftpb.ConfState{Voters: m.verifier.members},
	}}, nil
}

// raftConfig returns the configuration of Raft. PreVote prevents a partitioned voter from disrupting the leader when it
// returns, and CheckQuorum makes a partitioned leader step down (Ongaro's dissertation, sections 9.6 and 6.2).
// Proposals are not forwarded to the leader, as their senders contact it themselves.
func (m *Machine) raftConfig(log *slog.Logger) *raft.Config {
	return &raft.Config{
		ID:                        m.settings.Identity.ID,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   m.storage,
		Applied:                   m.appliedIndex,
		MaxSizePerMsg:             maxAppendBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    raftLogger{log},
	}
}
