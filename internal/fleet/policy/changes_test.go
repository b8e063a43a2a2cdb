package policy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// stepsToSettle exceeds the number of steps until all sidecars of a simulation without faults serve.
const stepsToSettle = 1000

// TestOnePolicyAtATime makes changes under random faults. At no step may two sidecars serve under different policies, a
// sidecar serve under an earlier policy after a later one was served, or an outcome be contradicted. After the faults
// have ended, the pending change must complete and a further change must come into force.
func TestOnePolicyAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "sidecars"), true)
		for i := range 3000 {
			w.drawEvents(i)
			if w.step(); len(w.violations) > 0 {
				t.Fatal(w.violations[0])
			}
		}
		w.endFaults()
		settle := int(2*w.terms.upperBound(w.terms.Length)/stepLength) + stepsToSettle
		w.steps(settle)
		id := w.propose("last change")
		w.steps(settle)
		if len(w.violations) > 0 {
			t.Fatal(w.violations[0])
		}
		last := w.ledger()
		if o := last.Outcome(id); o.State != InForce || string(last.InForce().Text) != "last change" {
			t.Fatalf("the last change has state %v (reason %q), pending change %+v", o.State, o.Reason, last.Pending())
		}
		for _, s := range w.sidecars {
			if number, _, ok := s.holder.Serves(s.read(w.now)); !ok || number != last.InForce().Number {
				t.Errorf("sidecar %d serves under policy %d (%v), want policy %d",
					s.index, number, ok, last.InForce().Number)
			}
		}
	})
}

// drawEvents injects a fault in 1 of 150 steps, and makes a proposal in 1 of 250, of which a sidecar rejects 1 of 4.
func (w *simulation) drawEvents(step int) {
	if w.rng.IntN(150) == 0 {
		w.injectFault()
	}
	if w.rng.IntN(250) != 0 {
		return
	}
	w.propose(fmt.Sprint("text ", step))
	if w.rng.IntN(4) == 0 {
		s := w.sidecars[w.rng.IntN(len(w.sidecars))]
		s.rejects[w.ledger().lastNumber] = true
	}
}

// TestChangeWithoutFaults requires that a change is in force everywhere within a second, and that no sidecar is without
// a policy for longer than 50 ms, the time of a few messages.
func TestChangeWithoutFaults(t *testing.T) {
	for _, n := range []int{1, 10, 100} {
		t.Run(fmt.Sprint(n, " sidecars"), func(t *testing.T) {
			w := newSimulation(1, n, false)
			w.steps(stepsToSettle)
			w.servingChecks, w.checks, w.longestGap = 0, 0, 0
			id, began := w.propose("second"), w.now
			for w.ledger().Outcome(id).State != InForce && w.now-began < time.Minute {
				w.step()
			}
			took := w.now - began
			w.steps(200)
			t.Logf("in force after %v, longest time without a policy %v", took, w.longestGap)
			if took > time.Second || w.longestGap > 50*time.Millisecond || len(w.violations) > 0 {
				t.Errorf("in force after %v, longest time without a policy %v, violations %v",
					took, w.longestGap, w.violations)
			}
		})
	}
}

// TestChangeWaitsForUnresponsiveHolder requires that a partitioned sidecar delays a change until its lease expires, and
// does not serve after that.
func TestChangeWaitsForUnresponsiveHolder(t *testing.T) {
	w := newSimulation(2, 5, false)
	w.steps(stepsToSettle)
	s := w.sidecars[3]
	s.cutUntil = w.now + time.Hour
	id, began := w.propose("second"), w.now
	stopped := time.Duration(0)
	for w.ledger().Outcome(id).State != InForce && w.now-began < time.Minute {
		if w.step(); stopped == 0 {
			if _, _, ok := s.holder.Serves(s.read(w.now)); !ok {
				stopped = w.now
			}
		}
	}
	took, least, most := w.now-began, w.terms.Length-w.terms.ShortLength, w.terms.Length+2*time.Second
	if took < least || took > most || stopped == 0 || len(w.violations) > 0 {
		t.Errorf("in force after %v, partitioned sidecar stopped serving after %v, violations %v",
			took, stopped-began, w.violations)
	}
	s.cutUntil = 0
	w.steps(200)
	if number, _, ok := s.holder.Serves(s.read(w.now)); !ok || number != 2 {
		t.Errorf("after the partition: Serves() = %d, %v; want policy 2", number, ok)
	}
}

// TestOneRejectionRefusesChange requires that a fault found by one sidecar refuses the change for all sidecars, and
// that the reason names the sidecar and the fault.
func TestOneRejectionRefusesChange(t *testing.T) {
	w := newSimulation(3, 5, false)
	w.steps(stepsToSettle)
	w.sidecars[2].rejects[2] = true
	id := w.propose("second")
	w.steps(1000)
	o := w.ledger().Outcome(id)
	if o.State != Refused || o.Reason != "n2: it has a class without a name" || len(w.violations) > 0 {
		t.Errorf("state %v, reason %q, violations %v", o.State, o.Reason, w.violations)
	}
	if w.ledger().InForce().Number != 1 {
		t.Errorf("policy %d is in force, want 1", w.ledger().InForce().Number)
	}
}
