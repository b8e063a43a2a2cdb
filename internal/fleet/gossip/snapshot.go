package gossip

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// MaxSnapshotBytes is the largest encoded Snapshot.
const MaxSnapshotBytes = 2 << 20

// Snapshot is all that a member holds, for one that has missed much.
type Snapshot struct {
	Format  uint8               `cbor:"1,keyasint"`
	Label   string              `cbor:"2,keyasint"` // of the fleet
	From    membership.Member   `cbor:"3,keyasint"` // the sender
	Synced  bool                `cbor:"4,keyasint"` // the sender holds what the fleet holds
	Members []membership.Member `cbor:"5,keyasint"`
	Items   []cbor.RawMessage   `cbor:"6,keyasint"` // each one encoded replication.Item
}

// Encode encodes a snapshot.
func (s Snapshot) Encode() ([]byte, error) { return encMode.Marshal(s) }

// DecodeSnapshot decodes a snapshot of the fleet of a label. The error wraps ErrForeign or ErrMalformed.
func DecodeSnapshot(encoded []byte, label string) (s Snapshot, err error) {
	if len(encoded) > MaxSnapshotBytes {
		return Snapshot{}, fmt.Errorf("%w: a snapshot of %d bytes, %d are allowed",
			ErrMalformed, len(encoded), MaxSnapshotBytes)
	}
	if err := decMode.Unmarshal(encoded, &s); err != nil {
		return Snapshot{}, fmt.Errorf("%w: a snapshot: %w", ErrMalformed, err)
	}
	return s, checkHeader(s.Format, s.Label, label, s.From)
}

// EncodeSnapshot returns an encoded Snapshot of all that this member holds. A superseded member receives nothing any
// more, so its snapshot is not a synced one; its successor may need it all the same.
func (m *Machine) EncodeSnapshot(now replication.Now) ([]byte, error) {
	_, ownsName := m.Members.Self()
	s := m.newSnapshot()
	s.Synced = ownsName && (m.phase == Synced || m.phase == Bootstrapped)
	remaining := MaxSnapshotBytes / 2 // the other half is for the members
	for _, key := range m.Store.Keys() {
		item, ok := m.Store.Item(now, key)
		if !ok {
			continue
		}
		encoded, err := encMode.Marshal(item)
		if err != nil {
			return nil, fmt.Errorf("snapshot: %v of server %q: %w", key.Kind, key.Server, err)
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

// EncodeWarmStart returns an encoded Snapshot of what is to outlast all sidecars on disk: operators' calls, and the
// members' addresses.
func (m *Machine) EncodeWarmStart(now replication.Now) ([]byte, error) {
	s := m.newSnapshot()
	for _, key := range m.Store.Keys() {
		item, ok := m.Store.Item(now, key)
		if !ok || key.Kind != replication.KindAdmin {
			continue
		}
		encoded, err := encMode.Marshal(item)
		if err != nil {
			return nil, fmt.Errorf("server %q: %w", key.Server, err)
		}
		s.Items = append(s.Items, encoded)
	}
	return s.Encode()
}

// DecodeWarmStart decodes what EncodeWarmStart has returned: items, and addresses of members that have not left. The
// error wraps ErrForeign or ErrMalformed.
func DecodeWarmStart(encoded []byte, label string) (items []replication.Item, peers []string, err error) {
	s, err := DecodeSnapshot(encoded, label)
	if err != nil {
		return nil, nil, err
	}
	for _, encodedItem := range s.Items {
		var item replication.Item
		if err := decMode.Unmarshal(encodedItem, &item); err != nil {
			return nil, nil, fmt.Errorf("%w: an item: %w", ErrMalformed, err)
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
