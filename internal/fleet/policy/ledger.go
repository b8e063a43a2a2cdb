// Package policy decides which policy of the fleet is in force, and who may serve under it. Its machines are stepped like
// package balance: what is decided (Ledger) follows a log that the host keeps by consensus; who may serve when (Grants on
// the leading decider, Holder on each sidecar) follows questions, answers and monotonic time. None has a clock, socket
// or goroutine. The design and what it promises stand in docs/design/policy.md.
package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// The bounds of what a Ledger holds.
const (
	MaxDocumentBytes   = 1 << 20 // bytes of a document
	maxIDBytes         = 64      // bytes of a proposal's id, and of its author's name
	maxReasonBytes     = 1024    // bytes of why it was refused
	maxOutcomes        = 1024    // answers that can be asked for again
	maxFormerDocuments = 16      // earlier documents that can be gone back to
	maxFormerBytes     = 2 << 20 // of these together, so that all that a ledger holds goes into one message
)

// Digest tells documents apart.
type Digest [sha256.Size]byte

// String implements fmt.Stringer.
func (d Digest) String() string { return hex.EncodeToString(d[:8]) }

// Document is a policy. It never changes: another text is another number.
type Document struct {
	Number uint64
	Digest Digest
	Text   []byte
}

// NewDocument returns a document with its digest.
func NewDocument(number uint64, text []byte) Document {
	return Document{number, sha256.Sum256(text), text}
}

// Entry is one of the log's: exactly one of its fields is set.
type Entry struct {
	Propose *Proposal `cbor:"1,keyasint,omitempty"`
	Refuse  *Refusal  `cbor:"2,keyasint,omitempty"`
	Commit  uint64    `cbor:"3,keyasint,omitempty"` // the number: it will be in force, whatever fails
	Switch  uint64    `cbor:"4,keyasint,omitempty"` // from here on the former one is granted to nobody anew
	InForce uint64    `cbor:"5,keyasint,omitempty"` // the former one is served by nobody any more
}

// Proposal asks for a change.
type Proposal struct {
	ID      string `cbor:"1,keyasint"` // by which its author asks for the answer
	Author  string `cbor:"2,keyasint"`
	Follows uint64 `cbor:"3,keyasint"` // the number that is to be in force until then
	Text    []byte `cbor:"4,keyasint"`
}

// Refusal ends a change that is not committed.
type Refusal struct {
	Number uint64 `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// State is how far a change has come.
type State uint8

// The states of a change.
const (
	Unknown   State = iota // no such id, or so long ago that it is forgotten
	Proposed               // it is being checked
	Committed              // it will be in force
	Switching              // as soon as the last promise under the former one is over
	InForce
	Refused // nowhere in force, nor will it be
)

var stateNames = [...]string{"unknown", "proposed", "committed", "switching", "in force", "refused"}

// String implements fmt.Stringer.
func (s State) String() string { return stateNames[s] }

// Outcome is the answer to a proposal.
type Outcome struct {
	ID     string
	Author string
	Number uint64 // 0: it was refused before it had one
	State  State
	Reason string // Refused
}

// Pending is the change that is under way.
type Pending struct {
	Outcome
	Document Document
}

// Ledger is what the log comes to. Entries that cannot be change nothing, so that any leader may write what it thinks is due.
type Ledger struct {
	inForce    Document
	lastNumber uint64 // number given
	pending    *Pending
	applied    uint64    // entries
	outcomes   []Outcome // in the order of their proposals
	former     []Document
}

// NewLedger returns a ledger with a first policy in force, the same everywhere: number 1.
func NewLedger(text []byte) *Ledger { return &Ledger{inForce: NewDocument(1, text), lastNumber: 1} }

// InForce is the policy in force. While a change is Switching that is the former one.
func (l *Ledger) InForce() Document { return l.inForce }

// Pending is the change under way, nil where there is none.
func (l *Ledger) Pending() *Pending { return l.pending }

// Former returns an earlier policy, to be proposed again.
func (l *Ledger) Former(number uint64) (Document, bool) {
	i := slices.IndexFunc(l.former, func(d Document) bool { return d.Number == number })
	if i < 0 {
		return Document{}, false
	}
	return l.former[i], true
}

// Document returns a document that a sidecar may be granted, or is to check.
func (l *Ledger) Document(number uint64) (Document, bool) {
	switch {
	case number == l.inForce.Number:
		return l.inForce, true
	case l.pending != nil && number == l.pending.Number:
		return l.pending.Document, true
	}
	return Document{}, false
}

// Outcome answers an author. It is never contradicted: once Committed it goes on to InForce, once Refused it stays so.
func (l *Ledger) Outcome(id string) Outcome {
	if l.pending != nil && l.pending.ID == id {
		return l.pending.Outcome
	}
	if i := slices.IndexFunc(l.outcomes, func(o Outcome) bool { return o.ID == id }); i >= 0 {
		return l.outcomes[i]
	}
	return Outcome{ID: id}
}

// Outcomes lists the changes, the oldest first.
func (l *Ledger) Outcomes() []Outcome {
	all := slices.Clone(l.outcomes)
	if l.pending != nil {
		all = append(all, l.pending.Outcome)
	}
	return all
}

// Apply takes in the next entry of the log.
func (l *Ledger) Apply(e Entry) {
	l.applied++
	p := l.pending
	switch {
	case e.Propose != nil:
		l.propose(*e.Propose)
	case p == nil:
	case e.Refuse != nil && e.Refuse.Number == p.Number && p.State == Proposed:
		p.State, p.Reason = Refused, e.Refuse.Reason[:min(len(e.Refuse.Reason), maxReasonBytes)]
		l.endPending()
	case e.Commit == p.Number && p.State == Proposed:
		p.State = Committed
	case e.Switch == p.Number && p.State == Committed:
		p.State = Switching
	case e.InForce == p.Number && p.State == Switching:
		l.former = append(l.former, l.inForce)
		for bytes := l.formerBytes(); len(l.former) > maxFormerDocuments || bytes > maxFormerBytes; {
			bytes -= len(l.former[0].Text)
			l.former = l.former[1:]
		}
		l.inForce, p.State = p.Document, InForce
		l.endPending()
	}
}

func (l *Ledger) formerBytes() (n int) {
	for _, d := range l.former {
		n += len(d.Text)
	}
	return n
}

func (l *Ledger) propose(p Proposal) {
	if l.Outcome(p.ID).State != Unknown {
		return // its author asks again
	}
	o := Outcome{ID: p.ID, Author: p.Author, State: Refused}
	switch {
	case p.ID == "" || len(p.ID) > maxIDBytes || len(p.Author) > maxIDBytes:
		return // nobody could ask for the answer
	case l.pending != nil:
		o.Reason = fmt.Sprintf("change %q by %q is under way", l.pending.ID, l.pending.Author)
	case p.Follows != l.inForce.Number:
		o.Reason = fmt.Sprintf("it is to follow policy %d, and %d is in force", p.Follows, l.inForce.Number)
	case len(p.Text) == 0 || len(p.Text) > MaxDocumentBytes:
		o.Reason = fmt.Sprintf("a document of %d bytes, 1 to %d are allowed", len(p.Text), MaxDocumentBytes)
	default:
		l.lastNumber++
		o.State, o.Number = Proposed, l.lastNumber
		l.pending = &Pending{o, NewDocument(l.lastNumber, p.Text)}
		return
	}
	l.outcomes = append(l.outcomes, o)
	l.trimOutcomes()
}

func (l *Ledger) endPending() {
	l.outcomes = append(l.outcomes, l.pending.Outcome)
	l.pending = nil
	l.trimOutcomes()
}

func (l *Ledger) trimOutcomes() { l.outcomes = l.outcomes[max(0, len(l.outcomes)-maxOutcomes):] }

// snapshot is a ledger as it is kept and passed on.
type snapshot struct {
	InForce  snapshotDocument   `cbor:"1,keyasint"`
	Last     uint64             `cbor:"2,keyasint"`
	Applied  uint64             `cbor:"3,keyasint"`
	Pending  *snapshotPending   `cbor:"4,keyasint,omitempty"`
	Outcomes []Outcome          `cbor:"5,keyasint"`
	Former   []snapshotDocument `cbor:"6,keyasint"`
}

type snapshotDocument struct {
	Number uint64 `cbor:"1,keyasint"`
	Text   []byte `cbor:"2,keyasint"`
}

type snapshotPending struct {
	Outcome Outcome `cbor:"1,keyasint"`
	Text    []byte  `cbor:"2,keyasint"`
}

// Encode writes all that the ledger holds.
func (l *Ledger) Encode() ([]byte, error) {
	k := snapshot{InForce: snapshotDocument{l.inForce.Number, l.inForce.Text}, Last: l.lastNumber, Applied: l.applied, Outcomes: l.outcomes}
	if l.pending != nil {
		k.Pending = &snapshotPending{l.pending.Outcome, l.pending.Document.Text}
	}
	for _, d := range l.former {
		k.Former = append(k.Former, snapshotDocument{d.Number, d.Text})
	}
	return cbor.Marshal(k)
}

// DecodeLedger reads what Encode wrote.
func DecodeLedger(text []byte) (*Ledger, error) {
	var k snapshot
	if err := cbor.Unmarshal(text, &k); err != nil {
		return nil, fmt.Errorf("a ledger of %d bytes: %w", len(text), err)
	}
	if k.InForce.Number == 0 || k.Last < k.InForce.Number {
		return nil, fmt.Errorf("a ledger with policy %d in force and %d the last", k.InForce.Number, k.Last)
	}
	l := &Ledger{inForce: NewDocument(k.InForce.Number, k.InForce.Text), lastNumber: k.Last, applied: k.Applied, outcomes: k.Outcomes}
	if k.Pending != nil {
		l.pending = &Pending{k.Pending.Outcome, NewDocument(k.Pending.Outcome.Number, k.Pending.Text)}
	}
	for _, d := range k.Former {
		l.former = append(l.former, NewDocument(d.Number, d.Text))
	}
	return l, nil
}
