package gossip

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"milletramp.example/milletramp/internal/fleet/failuredetector"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// Format is the version of the format of packets and snapshots. Those of another version are rejected and counted:
// decoding them partially would yield state that no member sent.
const Format = 1

const (
	// MaxPacketBytes is the maximum size of an encoded Packet. Networks transmit a datagram of this size unfragmented.
	MaxPacketBytes = 1200
	// maxPacketMembers is the maximum number of members in a packet.
	maxPacketMembers = 12
)

// Errors returned by decoding.
var (
	// ErrForeign indicates a packet or snapshot of another fleet or format.
	ErrForeign = errors.New("foreign")
	// ErrMalformed indicates a packet or snapshot that is too large, is not valid CBOR or has no sender.
	ErrMalformed = errors.New("malformed")
)

// Packet is the content of one datagram between members. Format, Label and From are always set, the other fields are
// optional.
type Packet struct {
	Format  uint8                         `cbor:"1,keyasint"`
	Label   string                        `cbor:"2,keyasint"` // label of the fleet
	From    membership.Member             `cbor:"3,keyasint"` // the sender's own state
	Probe   *membership.Message           `cbor:"4,keyasint,omitempty"`
	Members []membership.Member           `cbor:"5,keyasint,omitempty"`
	Sums    *[replication.NumKinds]uint64 `cbor:"6,keyasint,omitempty"` // checksums of the sender's store, by kind
	// WantMissing is the digest of the sender's store and requests the items that differ.
	WantMissing   *replication.Digest    `cbor:"7,keyasint,omitempty"`
	MembersDigest uint64                 `cbor:"10,keyasint,omitempty"` // digest of the sender's members; set with Sums
	WantMembers   bool                   `cbor:"11,keyasint,omitempty"` // requests a sample of members
	WantReply     bool                   `cbor:"8,keyasint,omitempty"`  // WantMissing is sent in reply to another one
	Items         []cbor.RawMessage      `cbor:"9,keyasint,omitempty"`  // each an encoded replication.Item
	Notes         []failuredetector.Note `cbor:"12,keyasint,omitempty"`
}

// Limits of the CBOR decoder. A peer may send arbitrary data; input that nests deeply or declares, for example, a
// million members is rejected while it is decoded.
const (
	maxNestedLevels  = 8
	maxArrayElements = 1 << 16
	maxMapPairs      = 64
)

var decMode, encMode = newModes()

func newModes() (cbor.DecMode, cbor.EncMode) {
	dec, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return dec, enc
}

// Encode encodes a packet as CBOR.
func (p Packet) Encode() ([]byte, error) { return encMode.Marshal(p) }

// DecodePacket decodes a packet of the fleet with the given label. The error wraps ErrForeign or ErrMalformed.
func DecodePacket(payload []byte, label string) (p Packet, err error) {
	if len(payload) > MaxPacketBytes {
		return Packet{}, fmt.Errorf("%w: datagram of %d bytes exceeds the limit of %d bytes",
			ErrMalformed, len(payload), MaxPacketBytes)
	}
	if err := decMode.Unmarshal(payload, &p); err != nil {
		return Packet{}, fmt.Errorf("%w: decoding datagram: %w", ErrMalformed, err)
	}
	return p, checkHeader(p.Format, p.Label, label, p.From)
}

func checkHeader(format uint8, label, wantLabel string, from membership.Member) error {
	switch {
	case format != Format:
		return fmt.Errorf("%w: format %d, want %d", ErrForeign, format, Format)
	case label != wantLabel:
		return fmt.Errorf("%w: fleet %.40q, want %.40q", ErrForeign, label, wantLabel)
	case from.Name == "" || from.ProcessIncarnation == membership.ProcessIncarnation{}:
		return fmt.Errorf("%w: no sender", ErrMalformed)
	}
	return nil
}
