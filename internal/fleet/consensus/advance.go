package consensus

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"milletramp.example/milletramp/internal/fleet/policy"
)

// Batch returns the data to persist. ok is false if there is none, or if Advance was not called for the last batch yet.
// The host calls Advance once the batch is persisted.
func (m *Machine) Batch() (b Batch, ok bool) {
	if m.batchInFlight || !m.rawNode.HasReady() && len(m.newIncarnations) == 0 {
		return Batch{}, false
	}
	m.batchInFlight = true
	if len(m.newIncarnations) > 0 {
		b.Incarnations = m.newIncarnations
		m.newIncarnations = map[uint64]uint64{}
	}
	if !m.rawNode.HasReady() {
		return b, true
	}
	ready := m.rawNode.Ready()
	m.readyInFlight = &ready
	if !raft.IsEmptyHardState(ready.HardState) {
		b.HardState = &ready.HardState
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		b.Snapshot = &ready.Snapshot
	}
	b.Entries = ready.Entries
	return b, true
}

// Advance is called once the last batch is persisted. It queues the messages that depend on the batch, applies
// committed entries and replies to confirmed reads. After an error the machine must not be used any more.
func (m *Machine) Advance(now Time) error {
	ready := m.readyInFlight
	m.batchInFlight = false
	m.readyInFlight = nil
	if ready == nil {
		return nil
	}
	if err := m.updateStorage(ready); err != nil {
		return err
	}
	if err := m.sendMessages(now, ready.Messages); err != nil {
		return err
	}
	for _, e := range ready.CommittedEntries {
		if err := m.applyEntry(e); err != nil {
			return err
		}
	}
	m.confirmReadRound(ready.ReadStates)
	m.rawNode.Advance(*ready)
	if !m.isMember() && m.appliedIndex > 0 {
		m.stop(ErrReplaced)
	}
	m.updateLeadership(now)
	m.replyToConfirmedReads(now)
	return nil
}

// updateStorage applies the persisted batch to the storage that Raft reads.
func (m *Machine) updateStorage(ready *raft.Ready) error {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := m.installSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if err := m.storage.Append(ready.Entries); err != nil {
		return fmt.Errorf("consensus: entries: %w", err)
	}
	if raft.IsEmptyHardState(ready.HardState) {
		return nil
	}
	if err := m.storage.SetHardState(ready.HardState); err != nil {
		return fmt.Errorf("consensus: hard state: %w", err)
	}
	return nil
}

// sendMessages queues Raft's messages, each in an envelope.
func (m *Machine) sendMessages(now Time, messages []raftpb.Message) error {
	for _, msg := range messages {
		if msg.Type == raftpb.MsgSnap {
			m.snapshotsSent[msg.To] = now
		}
		encoded, err := msg.Marshal()
		if err == nil {
			encoded, err = m.seal(encoded)
		}
		if err != nil {
			return fmt.Errorf("consensus: message to %x: %w", msg.To, err)
		}
		m.actions.Send = append(m.actions.Send, Message{msg.To, encoded})
	}
	return nil
}

// seal encodes a Raft message in an envelope of this voter.
func (m *Machine) seal(payload []byte) ([]byte, error) {
	return cbor.Marshal(Envelope{
		GroupID:      m.verifier.groupID,
		From:         m.settings.Identity.ID,
		Incarnation:  m.settings.Identity.Incarnation,
		Payload:      payload,
		Incarnations: m.verifier.incarnations,
	})
}

// applyEntry applies a committed entry to the ledger or to the configuration.
func (m *Machine) applyEntry(e raftpb.Entry) error {
	m.appliedIndex = e.Index
	if e.Type == raftpb.EntryConfChangeV2 {
		return m.applyConfChange(e)
	}
	if e.Type != raftpb.EntryNormal || len(e.Data) == 0 { // the first entry of a new leader is empty
		return nil
	}
	var entry policy.Entry
	if err := cbor.Unmarshal(e.Data, &entry); err != nil {
		return fmt.Errorf("consensus: entry %d: %w", e.Index, err)
	}
	m.ledger.Apply(entry)
	return nil
}
