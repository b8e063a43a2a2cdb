package gossip

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// MaxSnapshotBytes is the maximum size of an encoded Snapshot.
const MaxSnapshotBytes = 2 << 20

// Snapshot is the complete state of a member, for a member that has missed many updates.
type Snapshot struct {
	Format  uint8               `cbor:"1,keyasint"`
	Label   string              `cbor:"2,keyasint"` // label of the fleet
	From    membership.Member   `cbor:"3,keyasint"` // the sender
	Synced  bool                `cbor:"4,keyasint"` // the sender holds the fleet's state
	Members []membership.Member `cbor:"5,keyasint"`
	Items   []cbor.RawMessage   `cbor:"6,keyasint"` // each an encoded replication.Item
}

// Encode encodes a snapshot as CBOR.
func (s Snapshot) Encode() ([]byte, error) { return encMode.Marshal(s) }

// DecodeSnapshot decodes a snapshot of the fleet with the given label. The error wraps ErrForeign or ErrMalformed.
func DecodeSnapshot(encoded []byte, label string) (s Snapshot, err error) {
	if len(encoded) > MaxSnapshotBytes {
		return Snapshot{}, fmt.Errorf("%w: snapshot of %d bytes exceeds the limit of %d bytes",
			ErrMalformed, len(encoded), MaxSnapshotBytes)
	}
	if err := decMode.Unmarshal(encoded, &s); err != nil {
		return Snapshot{}, fmt.Errorf("%w: decoding snapshot: %w", ErrMalformed, err)
	}
	return s, checkHeader(s.Format, s.Label, label, s.From)
}

// EncodeSnapshot returns an encoded Snapshot of this member's state. The snapshot of a superseded member is not marked
// as synced, as such a member no longer receives updates; its successor may still need the snapshot.
func (m *Machine) EncodeSnapshot(now replication.Now) ([]byte, error) {
	_, ownsName := m.Members.Self()
	s := m.newSnapshot()
	s.Synced = ownsName && (m.phase == Synced || m.phase == Bootstrapped)
	remaining := MaxSnapshotBytes / 2 // the other half is reserved for the members
	for _, key := range m.Store.Keys() {
		item, ok := m.Store.Item(now, key)
		if !ok {
			continue
		}
		encoded, err := encMode.Marshal(item)
		if err != nil {
			return nil, fmt.Errorf("encoding snapshot: %v of server %q: %w", key.Kind, key.Server, err)
		}
		if remaining -= len(encoded); remaining < 0 {
			break
		}
		s.Items = append(s.Items, encoded)
	}
	m.counters.SnapshotsServed++
	return s.Encode()
}

func (m *Machine) newSnapshot() Snapshot {
	self, _ := m.Members.Self()
	return Snapshot{Format: Format, Label: m.settings.Label, From: self, Members: m.Members.Members()}
}

// EncodeWarmStart returns an encoded Snapshot of the state that is stored on disk to survive a stop of all sidecars:
// operators' calls and the members' addresses.
func (m *Machine) EncodeWarmStart(now replication.Now) ([]byte, error) {
	s := m.newSnapshot()
	for _, key := range m.Store.Keys() {
		item, ok := m.Store.Item(now, key)
		if !ok || key.Kind != replication.KindAdmin {
			continue
		}
		encoded, err := encMode.Marshal(item)
		if err != nil {
			return nil, fmt.Errorf("encoding warm start: server %q: %w", key.Server, err)
		}
		s.Items = append(s.Items, encoded)
	}
	return s.Encode()
}

// DecodeWarmStart decodes the result of EncodeWarmStart. It returns the items and the addresses of members that have
// not left. The error wraps ErrForeign or ErrMalformed.
func DecodeWarmStart(encoded []byte, label string) (items []replication.Item, peers []string, err error) {
	s, err := DecodeSnapshot(encoded, label)
	if err != nil {
		return nil, nil, err
	}
	for _, encodedItem := range s.Items {
		var item replication.Item
		if err := decMode.Unmarshal(encodedItem, &item); err != nil {
			return nil, nil, fmt.Errorf("%w: decoding item: %w", ErrMalformed, err)
		}
		items = append(items, item)
	}
	for _, member := range s.Members {
		if member.State != membership.Left {
			peers = append(peers, member.Address)
		}
	}
	return items, peers, nil
}
