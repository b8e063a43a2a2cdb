package consensus

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Envelope is what voters of a group send each other.
type Envelope struct {
	GroupID     uint64 `cbor:"1,keyasint"`
	From        uint64 `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"` // the sender's
	Payload     []byte `cbor:"4,keyasint"` // a raftpb.Message
	// Incarnations are the last of the other voters that the sender knows of, by ID.
	Incarnations map[uint64]uint64 `cbor:"5,keyasint,omitempty"`
}

// envelopeVerifier refuses messages of voters that may have lost state. A voter whose folder was replaced by an older
// copy has forgotten votes and entries that it has acknowledged, and a majority that counts it would be none. Such a
// voter starts in an incarnation that others have seen before it, or an earlier one; as each envelope carries the
// incarnations that its sender knows, all voters learn of it, the one with the older copy too.
//
// Not found out is an older copy whose later incarnations nobody has seen who is reachable. To wait for all others
// instead would let one lost voter and one that restarts stop all changes.
type envelopeVerifier struct {
	groupID      uint64
	identity     Identity          // of this voter
	members      []uint64          // IDs in order; during joint consensus those of both configurations
	incarnations map[uint64]uint64 // the last known of the other voters, by ID
}

var (
	errUnknownSender    = errors.New("consensus: a message of no voter of this group")
	errStaleIncarnation = errors.New("consensus: a message of a voter's former incarnation, or of an older folder")
)

// open decodes an envelope and checks its sender. newIncarnations were not known before. The error is
// ErrLostState where this voter has lost state itself; errUnknownSender and errStaleIncarnation refuse the sender.
func (v *envelopeVerifier) open(encoded []byte) (e Envelope, newIncarnations map[uint64]uint64, err error) {
	if err := cbor.Unmarshal(encoded, &e); err != nil {
		return e, nil, fmt.Errorf("consensus: malformed envelope: %w", err)
	}
	isMember := slices.Contains(v.members, e.From) && e.From != v.identity.ID
	switch known := v.incarnations[e.From]; {
	case e.GroupID != v.groupID || !isMember || e.Incarnation == 0:
		return e, nil, fmt.Errorf("%w: group %x, voter %x", errUnknownSender, e.GroupID, e.From)
	case e.Incarnations[v.identity.ID] > v.identity.Incarnation:
		return e, nil, fmt.Errorf("%w: this is its incarnation %d, voter %x knows of %d",
			ErrLostState, v.identity.Incarnation, e.From, e.Incarnations[v.identity.ID])
	case e.Incarnation < known:
		return e, nil, fmt.Errorf("%w: voter %x, incarnation %d, known is %d",
			errStaleIncarnation, e.From, e.Incarnation, known)
	}
	newIncarnations = map[uint64]uint64{}
	v.recordIncarnation(newIncarnations, e.From, e.Incarnation)
	for id, incarnation := range e.Incarnations {
		v.recordIncarnation(newIncarnations, id, incarnation)
	}
	return e, newIncarnations, nil
}

// recordIncarnation stores a member's incarnation and adds it to newIncarnations if it is later than the known one.
func (v *envelopeVerifier) recordIncarnation(newIncarnations map[uint64]uint64, id, incarnation uint64) {
	if id == v.identity.ID || !slices.Contains(v.members, id) || incarnation <= v.incarnations[id] {
		return
	}
	v.incarnations[id] = incarnation
	newIncarnations[id] = incarnation
}
