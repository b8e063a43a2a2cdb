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
	Incarnation uint64 `cbor:"3,keyasint"` // of the sender
	Payload     []byte `cbor:"4,keyasint"` // a raftpb.Message
	// Incarnations holds the latest incarnations of the other voters that are known to the sender, by ID.
	Incarnations map[uint64]uint64 `cbor:"5,keyasint,omitempty"`
}

// envelopeVerifier rejects messages from voters that may have lost state. A voter whose folder was replaced by an older
// copy no longer has some of the votes and entries that it has acknowledged, so a majority that includes it does not
// guarantee anything. Such a voter may start with an incarnation earlier than one that other voters have already seen.
// Each envelope contains the incarnations that are known to its sender, so all voters detect the older copy, including
// the voter that started with it.
//
// An older copy is not detected if no reachable voter has seen an incarnation later than the one that starts with the
// copy. If a starting voter waited for messages from all other voters, more copies would be detected, but then all
// changes would stop if one voter is lost and another one restarts.
type envelopeVerifier struct {
	groupID      uint64
	identity     Identity          // of this voter
	members      []uint64          // IDs in order; during joint consensus those of both configurations
	incarnations map[uint64]uint64 // latest known incarnations of the other voters, by ID
}

var (
	errUnknownSender    = errors.New("consensus: the sender of a message is not a voter of this group")
	errStaleIncarnation = errors.New("consensus: message from an earlier incarnation, or an older folder, of a voter")
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
		return e, nil, fmt.Errorf("%w: voter %x, incarnation %d, latest known incarnation %d",
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
