// Package policy determines which policy of the fleet is in force, and which sidecars may serve under it.
//
// Ledger is the replicated state machine: the policy in force, the pending change, and the outcomes of earlier changes.
// LeaseTable, on the leader of the voters, and Holder, on each sidecar, implement leases (Gray and Cheriton, "Leases:
// an efficient fault-tolerant mechanism for distributed file cache consistency", SOSP 1989). A sidecar accepts requests
// only under a policy for which it holds a lease. A change comes into force when no lease on the former policy can be
// valid any more. Therefore no two sidecars serve under different policies at the same time.
//
// The host drives all three types: it passes messages, log entries and readings of a monotonic clock. They have no
// clock, socket or goroutine, and are not safe for concurrent use. Clocks of different hosts are never compared, but
// their rates must agree within Terms.Drift. docs/design/policy.md describes the design.
package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
)

// Limits of the contents of a Ledger.
const (
	MaxDocumentBytes   = 1 << 20 // of a document
	maxIDBytes         = 64      // of a proposal's ID, and of its author's name
	maxReasonBytes     = 1024    // of the reason for a refusal
	maxOutcomes        = 1024    // of completed changes
	maxFormerDocuments = 16      // that remain available
	maxFormerBytes     = 2 << 20 // total size of former documents, so that a snapshot fits into one message
)

// Digest is the SHA-256 hash of a document's text.
type Digest [sha256.Size]byte

// String returns the first 8 bytes in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:8]) }

// Document is the text of a policy with its number. The text is immutable: a different text has a different number.
type Document struct {
	Number uint64
	Digest Digest
	Text   []byte
}

// NewDocument returns a document with its digest. The document retains text.
func NewDocument(number uint64, text []byte) Document {
	return Document{number, sha256.Sum256(text), text}
}

// Entry is an entry of the replicated log. Exactly one of its fields is set. Commit, Switch and InForce contain the
// number of the pending change. An entry that is not valid in the state of the pending change has no effect.
type Entry struct {
	Propose *Proposal `cbor:"1,keyasint,omitempty"`
	Refuse  *Refusal  `cbor:"2,keyasint,omitempty"`
	Commit  uint64    `cbor:"3,keyasint,omitempty"` // the change will come into force, and can no longer be refused
	Switch  uint64    `cbor:"4,keyasint,omitempty"` // no new lease on the predecessor ends after the switch
	InForce uint64    `cbor:"5,keyasint,omitempty"` // no lease on the predecessor is valid any more
}

// Proposal is a proposed change of policy.
type Proposal struct {
	ID      string `cbor:"1,keyasint"` // chosen by the author, and used to look up the outcome
	Author  string `cbor:"2,keyasint"`
	Follows uint64 `cbor:"3,keyasint"` // number of the policy that must be in force when this is applied
	Text    []byte `cbor:"4,keyasint"`
}

// Refusal ends a change that is not committed.
type Refusal struct {
	Number uint64 `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// State is the progress of a change. Its numeric values are stored and sent.
type State uint8

// The states of a change.
const (
	Unknown   State = iota // no change has this ID, or its outcome was dropped after maxOutcomes later ones
	Proposed               // the sidecars check the document
	Committed              // the change will come into force
	Switching              // comes into force once the last lease on the predecessor has expired
	InForce
	Refused // final: the change was never in force
)

var stateNames = [...]string{"unknown", "proposed", "committed", "switching", "in force", "refused"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Outcome is the result of a proposal. It is encoded with the names of its fields.
type Outcome struct {
	ID     string
	Author string
	Number uint64 // 0: refused before a number was assigned
	State  State
	Reason string // of a refusal
}

// Pending is the change that is neither refused nor in force yet.
type Pending struct {
	Outcome
	Document Document
}

// Ledger is the state machine of the replicated log. Replicas that have applied the same entries have the same ledger,
// so the results of Apply must stay the same as in older builds.
type Ledger struct {
	inForce    Document
	lastNumber uint64 // latest number assigned to a proposal
	pending    *Pending
	applied    uint64    // number of entries
	outcomes   []Outcome // of completed changes, the earliest first
	former     []Document
}

// NewLedger returns the ledger of an empty log. Policy 1, with the given text, is in force. The text must be the same
// on all replicas.
func NewLedger(text []byte) *Ledger { return &Ledger{inForce: NewDocument(1, text), lastNumber: 1} }

// InForce returns the policy in force. While a change is Switching, this is still the predecessor.
func (l *Ledger) InForce() Document { return l.inForce }

// Pending returns the pending change, or nil if there is none. The result is valid until the next call of Apply.
func (l *Ledger) Pending() *Pending { return l.pending }

// Former returns a policy that was in force earlier, if the ledger still contains it.
func (l *Ledger) Former(number uint64) (Document, bool) {
	i := slices.IndexFunc(l.former, func(d Document) bool { return d.Number == number })
	if i < 0 {
		return Document{}, false
	}
	return l.former[i], true
}

// Document returns a document that may be leased or has to be checked: the policy in force or the pending one.
func (l *Ledger) Document(number uint64) (Document, bool) {
	switch {
	case number == l.inForce.Number:
		return l.inForce, true
	case l.pending != nil && number == l.pending.Number:
		return l.pending.Document, true
	}
	return Document{}, false
}

// Outcome returns the outcome of a proposal. A Committed change always reaches InForce. Refused and InForce are final.
func (l *Ledger) Outcome(id string) Outcome {
	if l.pending != nil && l.pending.ID == id {
		return l.pending.Outcome
	}
	if i := slices.IndexFunc(l.outcomes, func(o Outcome) bool { return o.ID == id }); i >= 0 {
		return l.outcomes[i]
	}
	return Outcome{ID: id}
}

// Outcomes returns the outcomes of all changes, the earliest first. The pending change is the last.
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

// addFormer adds a replaced policy to the former ones, and drops the earliest ones above the limits.
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

// propose makes a proposal the pending change, or records its refusal.
func (l *Ledger) propose(p Proposal) {
	if l.Outcome(p.ID).State != Unknown {
		return // a duplicate: the ID is the idempotency key
	}
	o := Outcome{ID: p.ID, Author: p.Author, State: Refused}
	switch {
	case p.ID == "" || len(p.ID) > maxIDBytes || len(p.Author) > maxIDBytes:
		return // invalid ID or author: no outcome is recorded
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
