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

// TestLedger says what each entry does in each state, and what it does not.
func TestLedger(t *testing.T) {
	a, b := proposal("a", 1, "x"), proposal("b", 1, "y")
	for _, tt := range []struct {
		name    string
		log     []Entry
		state   State // of the first proposal
		inForce uint64
	}{
		{"nothing", nil, Unknown, 1},
		{"proposed", []Entry{a}, Proposed, 1},
		{"proposed twice under one id", []Entry{a, proposal("a", 1, "y")}, Proposed, 1},
		{"it follows another", []Entry{proposal("a", 2, "x")}, Refused, 1},
		{"no text", []Entry{proposal("a", 1, "")}, Refused, 1},
		{"refused", []Entry{a, refusal(2)}, Refused, 1},
		{"another's refusal", []Entry{a, refusal(3)}, Proposed, 1},
		{"committed", []Entry{a, {Commit: 2}}, Committed, 1},
		{"refused too late", []Entry{a, {Commit: 2}, refusal(2)}, Committed, 1},
		{"switched before it was committed", []Entry{a, {Switch: 2}, {InForce: 2}}, Proposed, 1},
		{"in force before it switched", []Entry{a, {Commit: 2}, {InForce: 2}}, Committed, 1},
		{"in force", []Entry{a, {Commit: 2}, {Switch: 2}, {InForce: 2}}, InForce, 2},
		{"the same again", []Entry{a, {Commit: 2}, {Switch: 2}, {InForce: 2}, {InForce: 2}, {Commit: 2}}, InForce, 2},
		{"two authors at once", []Entry{a, b, {Commit: 2}, {Switch: 2}, {InForce: 2}}, InForce, 2},
		{"a number is not given again", []Entry{a, refusal(2), b, {Commit: 2}}, Refused, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := ledgerOf(tt.log...)
			if got := l.Outcome("a"); got.State != tt.state || l.InForce().Number != tt.inForce {
				t.Errorf("%v, %d in force; want %v, %d", got.State, l.InForce().Number, tt.state, tt.inForce)
			}
		})
	}
}

// TestLedgerHistory: outcomes are kept up to a limit, and a former policy can be had again.
func TestLedgerHistory(t *testing.T) {
	l := ledgerOf()
	for i := range 3 * maxOutcomes {
		l.Apply(proposal(fmt.Sprint(i), 99, "x"))
	}
	if len(l.outcomes) != maxOutcomes || l.Outcome("0").State != Unknown {
		t.Errorf("%d outcomes are kept", len(l.outcomes))
	}
	for _, e := range []Entry{proposal("a", 1, "x"), {Commit: 2}, {Switch: 2}, {InForce: 2}} {
		l.Apply(e)
	}
	if d, ok := l.Former(1); !ok || string(d.Text) != "first" || d.Digest == l.InForce().Digest {
		t.Errorf("%v, %v", d, ok)
	}
}

// TestSnapshot: a decoded ledger is as it was, and what cannot be read is an ErrSnapshot.
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
