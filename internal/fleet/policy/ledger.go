// Package policy decides which policy of the fleet is in force, and which sidecars may serve under it.
//
// Ledger is the state that a replicated log comes to: the policy in force, the change that is under way, and the
// outcomes of earlier ones. LeaseTable, on the leader of the voters, and Holder, on each sidecar, keep leases (Gray and
// Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache consistency", SOSP 1989): a
// sidecar takes requests only under a policy that it holds a lease on, and a change comes into force when no lease on
// the former policy can be valid any more. So no two sidecars serve under different policies at one time.
//
// All three are stepped by their host, which passes messages, log entries and readings of a monotonic clock. None has a
// clock, a socket or a goroutine, and none may be used by two goroutines at once. Clocks of different hosts are never
// compared; they need to run at the same rate within Terms.Drift. docs/design/policy.md has the design.
package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
)

// Limits of what a Ledger holds.
const (
	MaxDocumentBytes   = 1 << 20 // of a document
	maxIDBytes         = 64      // of a proposal's id, and of its author's name
	maxReasonBytes     = 1024    // of why a proposal was refused
	maxOutcomes        = 1024    // of ended changes
	maxFormerDocuments = 16      // that can be proposed again
	maxFormerBytes     = 2 << 20 // of these together, so that a snapshot fits into one message
)

// Digest identifies a document by its text.
type Digest [sha256.Size]byte

// String returns the first 8 bytes in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:8]) }

// Document is a policy. Its text must not be changed; another text gets another number.
type Document struct {
	Number uint64
	Digest Digest
	Text   []byte
}

// NewDocument returns a document with its digest. It keeps text.
func NewDocument(number uint64, text []byte) Document {
	return Document{number, sha256.Sum256(text), text}
}

// Entry is an entry of the log: exactly one of its fields is set. Commit, Switch and InForce hold the number of the
// pending change. An entry that does not fit its state changes nothing.
type Entry struct {
	Propose *Proposal `cbor:"1,keyasint,omitempty"`
	Refuse  *Refusal  `cbor:"2,keyasint,omitempty"`
	Commit  uint64    `cbor:"3,keyasint,omitempty"` // it will come into force, whatever fails
	Switch  uint64    `cbor:"4,keyasint,omitempty"` // no new lease on its predecessor outlasts the switch
	InForce uint64    `cbor:"5,keyasint,omitempty"` // no lease on its predecessor is valid
}

// Proposal asks for a change of policy.
type Proposal struct {
	ID      string `cbor:"1,keyasint"` // chosen by the author, who asks for the outcome by it
	Author  string `cbor:"2,keyasint"`
	Follows uint64 `cbor:"3,keyasint"` // number of the policy that must be in force
	Text    []byte `cbor:"4,keyasint"`
}

// Refusal ends a change that is not committed yet.
type Refusal struct {
	Number uint64 `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// State is how far a change has come. Its numbers are stored and sent.
type State uint8

// The states of a change.
const (
	Unknown   State = iota // no such id, or dropped after maxOutcomes later ones
	Proposed               // the sidecars are checking it
	Committed              // it will come into force
	Switching              // in force once the last lease on its predecessor is over
	InForce
	Refused // final: it never was in force
)

var stateNames = [...]string{"unknown", "proposed", "committed", "switching", "in force", "refused"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Outcome is what has become of a proposal. It is encoded by the names of its fields.
type Outcome struct {
	ID     string
	Author string
	Number uint64 // 0: it was refused before it was given one
	State  State
	Reason string // why it was refused
}

// Pending is the change that is under way.
type Pending struct {
	Outcome
	Document Document
}

// Ledger is the state machine of the log. Replicas that have applied the same entries hold the same ledger, so Apply
// must not change in a way that an older build would not follow.
type Ledger struct {
	inForce    Document
	lastNumber uint64 // given to a proposal
	pending    *Pending
	applied    uint64    // entries
	outcomes   []Outcome // of changes that have ended, the earliest first
	former     []Document
}

// NewLedger returns the ledger of an empty log. The text, which must be the same on all replicas, is policy 1, in
// force.
func NewLedger(text []byte) *Ledger { return &Ledger{inForce: NewDocument(1, text), lastNumber: 1} }

// InForce returns the policy in force; while a change is Switching that is still its predecessor.
func (l *Ledger) InForce() Document { return l.inForce }

// Pending returns the change that is under way, nil where there is none. It is valid until the next Apply.
func (l *Ledger) Pending() *Pending { return l.pending }

// Former returns a policy that was in force earlier, if it is still stored.
func (l *Ledger) Former(number uint64) (Document, bool) {
	i := slices.IndexFunc(l.former, func(d Document) bool { return d.Number == number })
	if i < 0 {
		return Document{}, false
	}
	return l.former[i], true
}

// Document returns a document that a sidecar may hold a lease on or is to check: in force, or pending.
func (l *Ledger) Document(number uint64) (Document, bool) {
	switch {
	case number == l.inForce.Number:
		return l.inForce, true
	case l.pending != nil && number == l.pending.Number:
		return l.pending.Document, true
	}
	return Document{}, false
}

// Outcome returns what has become of a proposal. Once Committed it goes on to InForce; Refused and InForce are final.
func (l *Ledger) Outcome(id string) Outcome {
	if l.pending != nil && l.pending.ID == id {
		return l.pending.Outcome
	}
	if i := slices.IndexFunc(l.outcomes, func(o Outcome) bool { return o.ID == id }); i >= 0 {
		return l.outcomes[i]
	}
	return Outcome{ID: id}
}

// Outcomes lists the changes, the earliest first; the pending one is the last.
func (l *Ledger) Outcomes() []Outcome {
	all := slices.Clone(l.outcomes)
	if l.pending != nil {
		all = append(all, l.pending.Outcome)
	}
	return all
}

// Apply applies the next entry of the log.
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
		l.addFormer(l.inForce)
		l.inForce, p.State = p.Document, InForce
		l.endPending()
	}
}

// addFormer adds a policy that is replaced, and drops the earliest ones over the limits.
func (l *Ledger) addFormer(d Document) {
	l.former = append(l.former, d)
	bytes := 0
	for _, former := range l.former {
		bytes += len(former.Text)
	}
	for len(l.former) > maxFormerDocuments || bytes > maxFormerBytes {
		bytes -= len(l.former[0].Text)
		l.former = l.former[1:]
	}
}

// propose makes a proposal the pending change, or refuses it.
func (l *Ledger) propose(p Proposal) {
	if l.Outcome(p.ID).State != Unknown {
		return // a repeat: the id is the idempotency key
	}
	o := Outcome{ID: p.ID, Author: p.Author, State: Refused}
	switch {
	case p.ID == "" || len(p.ID) > maxIDBytes || len(p.Author) > maxIDBytes:
		return // nobody could ask for its outcome
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

// endPending records the outcome of the pending change.
func (l *Ledger) endPending() {
	l.outcomes = append(l.outcomes, l.pending.Outcome)
	l.pending = nil
	l.trimOutcomes()
}

func (l *Ledger) trimOutcomes() { l.outcomes = l.outcomes[max(0, len(l.outcomes)-maxOutcomes):] }
