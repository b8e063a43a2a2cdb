package gossip

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"milletramp.example/milletramp/internal/fleet/failuredetector"
	"milletramp.example/milletramp/internal/fleet/membership"
	"milletramp.example/milletramp/internal/fleet/replication"
)

// Format is the version of packets and snapshots. Those of another one are rejected and counted: decoded in part, they
// would yield state that nobody sent.
const Format = 1

const (
	// MaxPacketBytes is the largest encoded Packet: no network fragments it.
	MaxPacketBytes = 1200
	// maxPacketMembers is the most members in a packet.
	maxPacketMembers = 12
)

// The errors of decoding.
var (
	// ErrForeign is wrapped where a packet or snapshot is of another fleet or format.
	ErrForeign = errors.New("foreign")
	// ErrMalformed is wrapped where a packet or snapshot is too large, no valid CBOR, or without a sender.
	ErrMalformed = errors.New("malformed")
)

// Packet is one datagram between members. Format, Label and From are always set; any of the other fields may be.
type Packet struct {
	Format  uint8                         `cbor:"1,keyasint"`
	Label   string                        `cbor:"2,keyasint"` // of the fleet
	From    membership.Member             `cbor:"3,keyasint"` // the sender's own state
	Probe   *membership.Message           `cbor:"4,keyasint,omitempty"`
	Members []membership.Member           `cbor:"5,keyasint,omitempty"`
	Sums    *[replication.NumKinds]uint64 `cbor:"6,keyasint,omitempty"` // of the sender's store, for each kind
	// WantMissing is the digest of the sender's store, with the request for what it lacks.
	WantMissing   *replication.Digest    `cbor:"7,keyasint,omitempty"`
	MembersDigest uint64                 `cbor:"10,keyasint,omitempty"` // of the sender's members; with Sums
	WantMembers   bool                   `cbor:"11,keyasint,omitempty"` // a request for some members
	WantReply     bool                   `cbor:"8,keyasint,omitempty"`  // WantMissing answers another one
	Items         []cbor.RawMessage      `cbor:"9,keyasint,omitempty"`  // each one encoded replication.Item
	Notes         []failuredetector.Note `cbor:"12,keyasint,omitempty"`
}

// The limits of what is decoded: a peer may send anything, and what nests deeply or claims to have a million members is
// rejected as it is read.
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

// Encode encodes a packet.
func (p Packet) Encode() ([]byte, error) { return encMode.Marshal(p) }

// DecodePacket decodes a packet of the fleet of a label. The error wraps ErrForeign or ErrMalformed.
func DecodePacket(payload []byte, label string) (p Packet, err error) {
	if len(payload) > MaxPacketBytes {
		return Packet{}, fmt.Errorf("%w: a datagram of %d bytes, %d are allowed",
			ErrMalformed, len(payload), MaxPacketBytes)
	}
	if err := decMode.Unmarshal(payload, &p); err != nil {
		return Packet{}, fmt.Errorf("%w: a datagram: %w", ErrMalformed, err)
	}
	return p, checkHeader(p.Format, p.Label, label, p.From)
}

func checkHeader(format uint8, label, wantLabel string, from membership.Member) error {
	switch {
	case format != Format:
		return fmt.Errorf("%w: format %d, this sidecar knows %d", ErrForeign, format, Format)
	case label != wantLabel:
		return fmt.Errorf("%w: of fleet %.40q, this is %.40q", ErrForeign, label, wantLabel)
	case from.Name == "" || from.ProcessIncarnation == membership.ProcessIncarnation{}:
		return fmt.Errorf("%w: no sender", ErrMalformed)
	}
	return nil
}
