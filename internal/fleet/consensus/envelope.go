package consensus

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Envelope is the message format between the voters of a group.
type Envelope struct {
	GroupID     uint64 `cbor:"1,keyasint"`
	From        uint64 `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"` // the sender's
	Payload     []byte `cbor:"4,keyasint"` // a raftpb.Message
	// Incarnations holds the latest incarnations of the other voters known to the sender, by ID.
	Incarnations map[uint64]uint64 `cbor:"5,keyasint,omitempty"`
}

// envelopeVerifier rejects messages from voters that may have lost state. A voter whose folder was replaced by an older
// copy no longer has some of the votes and entries that it has acknowledged, so a majority that includes it guarantees
// nothing. Such a voter starts with an incarnation that other voters have already seen, or an earlier one. Each
// envelope carries the incarnations known to its sender, so all voters detect this, including the one with the older
// copy.
//
// An older copy is not detected if no reachable voter has seen its later incarnations. Waiting for all other voters
// would detect it, but then one lost voter and one restarting voter would stop all changes.
type envelopeVerifier struct {
	groupID      uint64
	identity     Identity          // of this voter
	members      []uint64          // IDs in order; during joint consensus those of both configurations
	incarnations map[uint64]uint64 // latest known incarnations of the other voters, by ID
}

var (
	errUnknownSender    = errors.New("consensus: a message of no voter of this group")
	errStaleIncarnation = errors.New("consensus: a message of a voter's former incarnation, or of an older folder")
)

// open decodes an envelope and checks its sender. newIncarnations holds the incarnations that were not known before.
// The error is ErrLostState if this voter itself has lost state, and errUnknownSender or errStaleIncarnation if the
// sender is rejected.
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
