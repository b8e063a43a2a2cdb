package policy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLedger says what each entry does in each state, and what it does not.
func TestLedger(t *testing.T) {
	propose := func(id string, follows uint64, text string) Entry {
		return Entry{Propose: &Proposal{ID: id, Author: "someone", Follows: follows, Text: []byte(text)}}
	}
	refuse := func(n uint64) Entry { return Entry{Refuse: &Refusal{n, "n1: no"}} }
	for _, tt := range []struct {
		name    string
		log     []Entry
		state   State // of the first proposal
		inForce uint64
	}{
		{"nothing", nil, Unknown, 1},
		{"proposed", []Entry{propose("a", 1, "x")}, Proposed, 1},
		{"proposed twice under one id", []Entry{propose("a", 1, "x"), propose("a", 1, "y")}, Proposed, 1},
		{"it follows another", []Entry{propose("a", 2, "x")}, Refused, 1},
		{"no text", []Entry{propose("a", 1, "")}, Refused, 1},
		{"refused", []Entry{propose("a", 1, "x"), refuse(2)}, Refused, 1},
		{"another's refusal", []Entry{propose("a", 1, "x"), refuse(3)}, Proposed, 1},
		{"committed", []Entry{propose("a", 1, "x"), {Commit: 2}}, Committed, 1},
		{"refused too late", []Entry{propose("a", 1, "x"), {Commit: 2}, refuse(2)}, Committed, 1},
		{"switched before it was committed", []Entry{propose("a", 1, "x"), {Switch: 2}, {InForce: 2}}, Proposed, 1},
		{"in force before it switched", []Entry{propose("a", 1, "x"), {Commit: 2}, {InForce: 2}}, Committed, 1},
		{"in force", []Entry{propose("a", 1, "x"), {Commit: 2}, {Switch: 2}, {InForce: 2}}, InForce, 2},
		{"the same again", []Entry{propose("a", 1, "x"), {Commit: 2}, {Switch: 2}, {InForce: 2}, {InForce: 2}, {Commit: 2}}, InForce, 2},
		{"two authors at once", []Entry{propose("a", 1, "x"), propose("b", 1, "y"), {Commit: 2}, {Switch: 2}, {InForce: 2}}, InForce, 2},
		{"a number is not given again", []Entry{propose("a", 1, "x"), refuse(2), propose("b", 1, "y"), {Commit: 2}}, Refused, 1},
	} {
		l := NewLedger([]byte("first"))
		for _, e := range tt.log {
			l.Apply(e)
		}
		if got := l.Outcome("a"); got.State != tt.state || l.InForce().Number != tt.inForce {
			t.Errorf("%s: %v, %d in force; want %v, %d", tt.name, got.State, l.InForce().Number, tt.state, tt.inForce)
		}
	}
	l := NewLedger([]byte("first"))
	for i := range 3 * maxOutcomes {
		l.Apply(propose(fmt.Sprint(i), 99, "x"))
	}
	if len(l.outcomes) != maxOutcomes || l.Outcome("0").State != Unknown {
		t.Errorf("%d answers are kept", len(l.outcomes))
	}
	l.Apply(propose("a", 1, "x"))
	for _, e := range []Entry{{Commit: 2}, {Switch: 2}, {InForce: 2}} {
		l.Apply(e)
	}
	if d, ok := l.Former(1); !ok || string(d.Text) != "first" || d.Digest == l.InForce().Digest {
		t.Errorf("%v, %v", d, ok)
	}
}

// TestHolderTakesLatestResponse: answers in any order leave the holder where the one of the highest stamp alone would.
func TestHolderTakesLatestResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var grants []LeaseResponse
		for i := range rapid.IntRange(1, 8).Draw(t, "answers") {
			grants = append(grants, LeaseResponse{Stamp: Stamp{uint64(i/3 + 1), uint64(i + 1)}, Number: uint64(rapid.IntRange(0, 3).Draw(t, "number")),
				Duration: time.Duration(rapid.IntRange(0, 3000).Draw(t, "for")) * time.Millisecond})
		}
		make := func() *Holder {
			h := NewHolder("n", 1, DefaultTerms)
			for n := range uint64(4) {
				h.runnable[n] = true
			}
			return h
		}
		one, all := make(), make()
		one.Update(time.Hour, time.Hour, grants[len(grants)-1])
		for _, g := range rapid.Permutation(grants).Draw(t, "order") {
			all.Update(time.Hour, time.Hour, g)
		}
		for _, at := range []Time{0, time.Second, 2 * time.Second, 4 * time.Second} {
			n1, _, ok1 := one.Serves(time.Hour + at)
			n2, _, ok2 := all.Serves(time.Hour + at)
			if n1 != n2 || ok1 != ok2 {
				t.Errorf("after %v: %d, %v and %d, %v", at, n1, ok1, n2, ok2)
			}
		}
	})
}

// TestHolderWaitsForLateRenewal: a request asks again while the answer that prolongs a promise is late, for as long as a short promise lasts, and
// not at all where nothing was promised. It is taken under none meanwhile.
func TestHolderWaitsForLateRenewal(t *testing.T) {
	const at, short = Time(time.Hour), 300 * time.Millisecond
	terms := Terms{Length: 3 * time.Second, Short: short}
	for _, tt := range []struct {
		name  string
		grant LeaseResponse
		ends  time.Duration // of the last promise in it
		waits bool
	}{
		{"a promise", LeaseResponse{Number: 1, Duration: time.Second}, time.Second, true},
		{"a promise for the next one", LeaseResponse{Number: 1, Duration: short, Next: 2, NextIn: short, NextDuration: time.Second}, short + time.Second, true},
		{"nothing", LeaseResponse{}, 0, false},
	} {
		h := NewHolder("n", 1, terms)
		h.runnable[1], h.runnable[2] = true, true
		if _, wait, ok := h.Serves(at); ok || wait != 0 {
			t.Errorf("before any answer: %v, %v", wait, ok)
		}
		tt.grant.Stamp = Stamp{1, 1}
		h.Update(at, at, tt.grant)
		for _, look := range []struct {
			after time.Duration
			waits bool
		}{{tt.ends + time.Millisecond, tt.waits}, {tt.ends + short - time.Millisecond, tt.waits}, {tt.ends + short + time.Millisecond, false}} {
			if _, wait, ok := h.Serves(at + look.after); ok || (wait > 0) != look.waits {
				t.Errorf("%s, %v later: waits %v, serves %v; want to wait: %v", tt.name, look.after, wait, ok, look.waits)
			}
		}
	}
}

// TestTermsCheck turns down what no change could keep to.
func TestTermsCheck(t *testing.T) {
	if err := DefaultTerms.Check(); err != nil {
		t.Error(err)
	}
	for _, bad := range []Terms{{}, {Length: time.Second, Short: time.Second}, {Length: time.Second, Short: time.Millisecond},
		{Length: time.Second, Short: 100 * time.Millisecond, Drift: 0.5}, {Length: time.Second, Short: 100 * time.Millisecond, Drift: -1}} {
		if bad.Check() == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}

// TestIncarnationsUnderClockSteps has a sidecar start again while the clock of day has stepped, and ask at once: the leader
// still holds what it promised to the former process. It answers under the life that the fleet comes to, and not under
// one that may be a former one's.
func TestIncarnationsUnderClockSteps(t *testing.T) {
	const began = 10_000_000 // of the former life, in milliseconds
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		ledger, grants := NewLedger([]byte("first")), NewLeaseTable(time.Hour, 1, DefaultTerms)
		promised := func(h *Holder) bool {
			grant, _ := grants.Renew(2*time.Hour, ledger, h.Request())
			return grant.Number == 1 && grant.Duration > 0
		}
		if !promised(NewHolder("n0", began, DefaultTerms)) {
			t.Fatal("the former process gets no promise")
		}
		h := NewHolder("n0", uint64(began+(time.Second+step).Milliseconds()), DefaultTerms)
		if got := promised(h); got != (step > 0) {
			t.Errorf("step %v: promised %v under the life that it begins with", step, got)
		}
		h.RaiseIncarnation(began + 1)
		if !promised(h) {
			t.Errorf("step %v: nothing is promised under the life that the fleet has come to", step)
		}
	}
}
