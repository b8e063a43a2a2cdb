package policy

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func proposal(id string, follows uint64, text string) Entry {
	return Entry{Propose: &Proposal{ID: id, Author: "someone", Follows: follows, Text: []byte(text)}}
}

func refusal(number uint64) Entry { return Entry{Refuse: &Refusal{number, "n1: no"}} }

func ledgerOf(entries ...Entry) *Ledger {
	l := NewLedger([]byte("first"))
	for _, e := range entries {
		l.Apply(e)
	}
	return l
}

// TestLedger checks the effect of log entries in each state of a change.
func TestLedger(t *testing.T) {
	a, b := proposal("a", 1, "x"), proposal("b", 1, "y")
	for _, tt := range []struct {
		name    string
		log     []Entry
		state   State // of the first proposal
		inForce uint64
	}{
		{"empty log", nil, Unknown, 1},
		{"proposed", []Entry{a}, Proposed, 1},
		{"proposed twice with one ID", []Entry{a, proposal("a", 1, "y")}, Proposed, 1},
		{"follows a policy not in force", []Entry{proposal("a", 2, "x")}, Refused, 1},
		{"empty text", []Entry{proposal("a", 1, "")}, Refused, 1},
		{"refused", []Entry{a, refusal(2)}, Refused, 1},
		{"refusal of another change", []Entry{a, refusal(3)}, Proposed, 1},
		{"committed", []Entry{a, {Commit: 2}}, Committed, 1},
		{"refused after commit", []Entry{a, {Commit: 2}, refusal(2)}, Committed, 1},
		{"switched before commit", []Entry{a, {Switch: 2}, {InForce: 2}}, Proposed, 1},
		{"in force before switch", []Entry{a, {Commit: 2}, {InForce: 2}}, Committed, 1},
		{"in force", []Entry{a, {Commit: 2}, {Switch: 2}, {InForce: 2}}, InForce, 2},
		{"repeated entries", []Entry{a, {Commit: 2}, {Switch: 2}, {InForce: 2}, {InForce: 2}, {Commit: 2}}, InForce, 2},
		{"second proposal while one is pending", []Entry{a, b, {Commit: 2}, {Switch: 2}, {InForce: 2}}, InForce, 2},
		{"number of a refused change not reused", []Entry{a, refusal(2), b, {Commit: 2}}, Refused, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := ledgerOf(tt.log...)
			if got := l.Outcome("a"); got.State != tt.state || l.InForce().Number != tt.inForce {
				t.Errorf("state %v, policy %d in force; want %v, policy %d",
					got.State, l.InForce().Number, tt.state, tt.inForce)
			}
		})
	}
}

// TestLedgerHistory requires that the ledger keeps at most maxOutcomes outcomes, and returns a former policy.
func TestLedgerHistory(t *testing.T) {
	l := ledgerOf()
	for i := range 3 * maxOutcomes {
		l.Apply(proposal(fmt.Sprint(i), 99, "x"))
	}
	if len(l.outcomes) != maxOutcomes || l.Outcome("0").State != Unknown {
		t.Errorf("%d outcomes kept, or the first one kept", len(l.outcomes))
	}
	for _, e := range []Entry{proposal("a", 1, "x"), {Commit: 2}, {Switch: 2}, {InForce: 2}} {
		l.Apply(e)
	}
	if d, ok := l.Former(1); !ok || string(d.Text) != "first" || d.Digest == l.InForce().Digest {
		t.Errorf("Former(1) = %v, %v", d, ok)
	}
}

// TestSnapshot requires that a decoded snapshot equals the ledger, and that invalid snapshots cause an ErrSnapshot.
func TestSnapshot(t *testing.T) {
	l := ledgerOf(proposal("a", 1, "x"), Entry{Commit: 2}, Entry{Switch: 2}, Entry{InForce: 2}, proposal("b", 2, "y"))
	text, err := l.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := DecodeLedger(text); err != nil || !reflect.DeepEqual(decoded, l) {
		t.Errorf("%+v, error %v; want %+v", decoded, err, l)
	}
	unnumbered, err := cbor.Marshal(snapshot{})
	if err != nil {
		t.Fatal(err)
	}
	for name, bad := range map[string][]byte{"truncated": text[:len(text)-1], "no policy in force": unnumbered} {
		t.Run(name, func(t *testing.T) {
			if _, err := DecodeLedger(bad); !errors.Is(err, ErrSnapshot) {
				t.Errorf("error %v, want one that wraps %v", err, ErrSnapshot)
			}
		})
	}
}
