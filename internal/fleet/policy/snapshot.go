package policy

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrSnapshot is wrapped by the errors of DecodeLedger.
var ErrSnapshot = errors.New("snapshot of a ledger cannot be read")

// snapshot is the stored and sent form of a ledger. Its CBOR keys must not change.
type snapshot struct {
	InForce    snapshotDocument   `cbor:"1,keyasint"`
	LastNumber uint64             `cbor:"2,keyasint"`
	Applied    uint64             `cbor:"3,keyasint"`
	Pending    *snapshotPending   `cbor:"4,keyasint,omitempty"`
	Outcomes   []Outcome          `cbor:"5,keyasint"`
	Former     []snapshotDocument `cbor:"6,keyasint"`
}

type snapshotDocument struct {
	Number uint64 `cbor:"1,keyasint"`
	Text   []byte `cbor:"2,keyasint"`
}

type snapshotPending struct {
	Outcome Outcome `cbor:"1,keyasint"`
	Text    []byte  `cbor:"2,keyasint"`
}

// Encode returns a snapshot of the ledger that DecodeLedger can read.
func (l *Ledger) Encode() ([]byte, error) {
	s := snapshot{
		InForce:    snapshotDocument{l.inForce.Number, l.inForce.Text},
		LastNumber: l.lastNumber,
		Applied:    l.applied,
		Outcomes:   l.outcomes,
	}
	if l.pending != nil {
		s.Pending = &snapshotPending{l.pending.Outcome, l.pending.Document.Text}
	}
	for _, d := range l.former {
		s.Former = append(s.Former, snapshotDocument{d.Number, d.Text})
	}
	return cbor.Marshal(s)
}

// DecodeLedger returns the ledger of a snapshot. Its errors wrap ErrSnapshot.
func DecodeLedger(text []byte) (*Ledger, error) {
	var s snapshot
	if err := cbor.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("%w: %d bytes: %w", ErrSnapshot, len(text), err)
	}
	if s.InForce.Number == 0 || s.LastNumber < s.InForce.Number {
		return nil, fmt.Errorf("%w: policy %d is in force, and %d is the last number",
			ErrSnapshot, s.InForce.Number, s.LastNumber)
	}
	l := &Ledger{
		inForce:    NewDocument(s.InForce.Number, s.InForce.Text),
		lastNumber: s.LastNumber,
		applied:    s.Applied,
		outcomes:   s.Outcomes,
	}
	if s.Pending != nil {
		l.pending = &Pending{s.Pending.Outcome, NewDocument(s.Pending.Outcome.Number, s.Pending.Text)}
	}
	for _, d := range s.Former {
		l.former = append(l.former, NewDocument(d.Number, d.Text))
	}
	return l, nil
}
