package gossip

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"milletramp.example/milletramp/internal/fleet/failuredetector"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// Format is the version of what is said on the wire. Danger: a sidecar that reads another format half right would hold
// what nobody said; another one's messages are passed over, and counted.
const Format = 1

// The bounds of what is said at once.
const (
	MaxPacketBytes   = 1200    // bytes of a datagram: it fits every network whole
	MaxSnapshotBytes = 2 << 20 // bytes of a snapshot
	maxPacketMembers = 12      // members in a datagram
)

// Packet is one datagram between sidecars.
type Packet struct {
	Format        uint8                         `cbor:"1,keyasint"`
	Label         string                        `cbor:"2,keyasint"` // of the fleet
	From          membership.Member             `cbor:"3,keyasint"` // what the sender says of itself
	Probe         *membership.Message           `cbor:"4,keyasint,omitempty"`
	Members       []membership.Member           `cbor:"5,keyasint,omitempty"`
	Sums          *[replication.NumKinds]uint64 `cbor:"6,keyasint,omitempty"`  // of what the sender holds
	WantMissing   *replication.Digest           `cbor:"7,keyasint,omitempty"`  // send me what is not in this
	MembersDigest uint64                        `cbor:"10,keyasint,omitempty"` // with Sums: of what the sender holds of members
	WantMembers   bool                          `cbor:"11,keyasint,omitempty"` // send me some of your members
	WantReply     bool                          `cbor:"8,keyasint,omitempty"`  // the Want answers another one
	Items         []cbor.RawMessage             `cbor:"9,keyasint,omitempty"`
	Notes         []failuredetector.Note        `cbor:"12,keyasint,omitempty"`
}

// Snapshot is all that a sidecar holds, for one that has missed much.
type Snapshot struct {
	Format  uint8               `cbor:"1,keyasint"`
	Label   string              `cbor:"2,keyasint"`
	From    membership.Member   `cbor:"3,keyasint"`
	Synced  bool                `cbor:"4,keyasint"` // the sender itself has what the fleet holds
	Members []membership.Member `cbor:"5,keyasint"`
	Items   []cbor.RawMessage   `cbor:"6,keyasint"`
}

// Danger: a peer may send anything. What nests deeply, or says that it has a million members, is turned down as it is
// read.
var decMode, encMode = func() (cbor.DecMode, cbor.EncMode) {
	r, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 16, MaxMapPairs: 64, DupMapKey: cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	w, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return r, w
}()

// ErrForeign says that a message is none of this fleet's, or of another format.
var ErrForeign = errors.New("foreign")

// Encode writes a packet.
func (p Packet) Encode() ([]byte, error) { return encMode.Marshal(p) }

// DecodePacket reads a datagram of the fleet of a label.
func DecodePacket(text []byte, label string) (p Packet, err error) {
	if len(text) > MaxPacketBytes {
		return Packet{}, fmt.Errorf("a datagram of %d bytes, %d are allowed", len(text), MaxPacketBytes)
	}
	if err := decMode.Unmarshal(text, &p); err != nil {
		return Packet{}, fmt.Errorf("a datagram: %w", err)
	}
	return p, checkHeader(p.Format, p.Label, label, p.From)
}

// Encode writes a snapshot.
func (s Snapshot) Encode() ([]byte, error) { return encMode.Marshal(s) }

// DecodeSnapshot reads a snapshot of the fleet of a label.
func DecodeSnapshot(text []byte, label string) (s Snapshot, err error) {
	if len(text) > MaxSnapshotBytes {
		return Snapshot{}, fmt.Errorf("a snapshot of %d bytes, %d are allowed", len(text), MaxSnapshotBytes)
	}
	if err := decMode.Unmarshal(text, &s); err != nil {
		return Snapshot{}, fmt.Errorf("a snapshot: %w", err)
	}
	return s, checkHeader(s.Format, s.Label, label, s.From)
}

func checkHeader(format uint8, theirs, ours string, from membership.Member) error {
	switch {
	case format != Format:
		return fmt.Errorf("%w: format %d, this sidecar knows %d", ErrForeign, format, Format)
	case theirs != ours:
		return fmt.Errorf("%w: of fleet %.40q, this is %.40q", ErrForeign, theirs, ours)
	case from.Name == "" || from.Life == membership.Life{}:
		return errors.New("a message of nobody")
	}
	return nil
}

// EncodeWarmStart is what of a copy outlasts all sidecars: what the staff has said of servers, and where others were.
func (m *Machine) EncodeWarmStart(now replication.Now) ([]byte, error) {
	self, _ := m.Members.Self()
	s := Snapshot{Format: Format, Label: m.settings.Label, From: self, Members: m.Members.Members()}
	for _, key := range m.Store.Keys() {
		if item, ok := m.Store.Item(now, key); ok && key.Kind == replication.KindAdmin {
			text, err := encMode.Marshal(item)
			if err != nil {
				return nil, fmt.Errorf("server %q: %w", key.Server, err)
			}
			s.Items = append(s.Items, text)
		}
	}
	return s.Encode()
}

// DecodeWarmStart reads what Warm has written: pieces of state, and addresses of others.
func DecodeWarmStart(text []byte, label string) (items []replication.Item, peers []string, err error) {
	s, err := DecodeSnapshot(text, label)
	if err != nil {
		return nil, nil, err
	}
	for _, piece := range s.Items {
		var item replication.Item
		if err := decMode.Unmarshal(piece, &item); err != nil {
			return nil, nil, fmt.Errorf("a piece of state: %w", err)
		}
		items = append(items, item)
	}
	for _, p := range s.Members {
		if p.State != membership.Left {
			peers = append(peers, p.Address)
		}
	}
	return items, peers, nil
}
