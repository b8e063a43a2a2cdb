package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation steps leaders and sidecars in simulated time. Consensus is a list that only the leader of the latest term can add to;
// clocks run apart, messages get lost and come late and in any order, leaders change, stand still and answer long after they
// were confirmed, sidecars stand still, die and come back.
type simulation struct {
	rng           *rand.Rand
	terms         Terms
	now           time.Duration // real
	term          uint64
	log           []Entry
	cachedLedger  *Ledger
	applied       int
	leaders       []*leader
	sidecars      []*sidecar
	queue         []event
	faulty        bool
	violations    []string
	firstServed   []time.Duration // when each number was first served, by number
	states        map[string]State
	servingChecks int // looks at which a sidecar served
	checks        int // and all looks at sidecars that live
	longestGap    time.Duration
	lastServing   map[int]time.Duration
}

type event struct {
	at time.Duration
	do func()
}

// clock is a party's: it runs up to the drift faster than real time.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) read(real time.Duration) Time { return c.offset + time.Duration(float64(real)*c.rate) }

type leader struct {
	clock
	term        uint64
	table       *LeaseTable
	pausedUntil time.Duration // until then it stands still
}

type sidecar struct {
	clock
	index       int
	incarnation uint64
	holder      *Holder
	down        bool
	pausedUntil time.Duration
	cutUntil    time.Duration
	lastRequest time.Duration
	rejects     map[uint64]bool // numbers that it says no to
}

const stepLength = 5 * time.Millisecond

func newSimulation(seed uint64, n int, faults bool) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 0x9011c)), terms: DefaultTerms, faulty: faults, states: map[string]State{},
		firstServed: make([]time.Duration, 64), lastServing: map[int]time.Duration{}}
	for i := range n {
		s := &sidecar{clock: w.clock(), index: i, rejects: map[uint64]bool{}}
		w.sidecars = append(w.sidecars, s)
		w.startProcess(s)
	}
	w.elect()
	return w
}

func (w *simulation) clock() clock {
	return clock{1 + w.terms.Drift*w.rng.Float64(), time.Hour + time.Duration(w.rng.Int64N(int64(time.Hour)))}
}

func (w *simulation) startProcess(s *sidecar) {
	s.incarnation++
	s.down = false
	s.holder = NewHolder(fmt.Sprint("n", s.index), s.incarnation, w.terms)
}

func (w *simulation) elect() {
	w.term++
	l := &leader{clock: w.clock(), term: w.term}
	l.table = NewLeaseTable(l.read(w.now), w.term, w.terms)
	w.leaders = append(w.leaders, l)
	if len(w.leaders) > 3 {
		w.leaders = w.leaders[1:]
	}
}

func (w *simulation) leader() *leader { return w.leaders[len(w.leaders)-1] }

// ledger is what the log comes to now; what comes to the log later does not change it.
func (w *simulation) ledger() *Ledger {
	if w.cachedLedger == nil || w.applied < len(w.log) {
		l := NewLedger([]byte("first"))
		for _, e := range w.log {
			l.Apply(e)
		}
		w.cachedLedger, w.applied = l, len(w.log)
	}
	return w.cachedLedger
}

func (w *simulation) after(d time.Duration, do func()) {
	at := w.now + d
	i, _ := slices.BinarySearchFunc(w.queue, at+1, func(e event, at time.Duration) int { return cmp.Compare(e.at, at) })
	w.queue = slices.Insert(w.queue, i, event{at, do})
}

// networkDelay draws how long a message takes; false: it gets lost.
func (w *simulation) networkDelay() (time.Duration, bool) {
	if !w.faulty {
		return time.Duration(w.rng.Int64N(int64(5 * time.Millisecond))), true
	}
	d := time.Duration(w.rng.Int64N(int64(40 * time.Millisecond)))
	if w.rng.IntN(10) == 0 {
		d = time.Duration(w.rng.Int64N(int64(4 * time.Second))) // comes when nobody thinks of it any more
	}
	return d, w.rng.IntN(5) > 0
}

// appendEntries has a leader add to the log, if it still leads when that arrives.
func (w *simulation) appendEntries(l *leader, entries []Entry) {
	for _, e := range entries {
		w.after(time.Duration(w.rng.Int64N(int64(20*time.Millisecond))), func() {
			if l.term == w.term {
				w.log = append(w.log, e)
			}
		})
	}
}

func (w *simulation) request(s *sidecar) {
	s.lastRequest = w.now
	q, sent, life := s.holder.Request(), s.read(w.now), s.incarnation
	there, ok := w.networkDelay()
	if !ok || s.cutUntil > w.now {
		return
	}
	w.after(there, func() {
		l := w.leaders[w.rng.IntN(len(w.leaders))] // it may ask one that was deposed
		if !w.faulty {
			l = w.leader()
		}
		if l.pausedUntil > w.now {
			return
		}
		w.after(time.Duration(w.rng.Int64N(int64(10*time.Millisecond))), func() {
			if l.term != w.term {
				return // a majority says that it does not lead any more
			}
			wait := time.Duration(0)
			if w.faulty && w.rng.IntN(20) == 0 { // it stands still between that and its answer
				wait = time.Duration(w.rng.Int64N(int64(5 * time.Second)))
			}
			ledger := w.ledger()
			w.after(wait, func() {
				if l.term == w.term {
					ledger = w.ledger()
				}
				a, write := l.table.Renew(l.read(w.now), ledger, q)
				w.appendEntries(l, write)
				back, ok := w.networkDelay()
				if !ok || s.cutUntil > w.now {
					return
				}
				w.after(back, func() { w.deliver(s, life, sent, a) })
			})
		})
	})
}

func (w *simulation) deliver(s *sidecar, life uint64, sent Time, a LeaseResponse) {
	if s.incarnation != life || s.down {
		return
	}
	if s.pausedUntil > w.now { // it waits in its queue
		w.after(s.pausedUntil-w.now, func() { w.deliver(s, life, sent, a) })
		return
	}
	number := s.holder.Update(s.read(w.now), sent, a)
	if number == 0 {
		return
	}
	w.after(time.Duration(w.rng.Int64N(int64(20*time.Millisecond))), func() {
		if s.incarnation != life || s.down {
			return
		}
		fault := ""
		if s.rejects[number] {
			fault = "it has a class without a name"
		}
		s.holder.Checked(number, fault)
		w.request(s)
	})
}

// step moves on by a step and looks at all.
func (w *simulation) step() {
	w.now += stepLength
	for len(w.queue) > 0 && w.queue[0].at <= w.now {
		e := w.queue[0]
		w.queue = w.queue[1:]
		e.do()
	}
	for _, l := range w.leaders {
		if l.pausedUntil <= w.now {
			w.appendEntries(l, l.table.Tick(l.read(w.now), w.ledger()))
		}
	}
	for _, s := range w.sidecars {
		if every := w.terms.Short / 3; !s.down && s.pausedUntil <= w.now && w.now-s.lastRequest >= every {
			w.request(s)
		}
	}
	w.checkInvariants()
}

func (w *simulation) checkInvariants() {
	serving := map[uint64][]int{}
	for _, s := range w.sidecars {
		if s.down || s.pausedUntil > w.now {
			continue
		}
		w.checks++
		if number, _, ok := s.holder.Serves(s.read(w.now)); ok {
			w.servingChecks++
			serving[number] = append(serving[number], s.index)
			w.lastServing[s.index] = w.now
		}
		w.longestGap = max(w.longestGap, w.now-w.lastServing[s.index])
	}
	if len(serving) > 1 {
		w.violations = append(w.violations, fmt.Sprintf("%v: served %v", w.now, serving))
	}
	for number := range serving {
		if w.firstServed[number] == 0 {
			w.firstServed[number] = w.now
		}
		for _, later := range w.firstServed[number+1:] {
			if later > 0 {
				w.violations = append(w.violations, fmt.Sprintf("%v: policy %d is served after a later one", w.now, number))
			}
		}
	}
	ledger := w.ledger()
	for _, o := range ledger.Outcomes() {
		was := w.states[o.ID]
		if was == Refused && o.State != Refused || was == InForce && o.State != InForce || was >= Committed && was < InForce && (o.State == Refused || o.State < was) {
			w.violations = append(w.violations, fmt.Sprintf("%v: change %s was %v and is %v", w.now, o.ID, was, o.State))
		}
		w.states[o.ID] = o.State
	}
}

// injectFault draws one.
func (w *simulation) injectFault() {
	s := w.sidecars[w.rng.IntN(len(w.sidecars))]
	until := w.now + time.Duration(w.rng.Int64N(int64(6*time.Second)))
	switch w.rng.IntN(6) {
	case 0:
		w.elect()
	case 1:
		w.leader().pausedUntil = until
	case 2:
		s.pausedUntil = until
	case 3:
		s.cutUntil = until
	case 4:
		s.down = true
		w.after(until-w.now, func() {
			if s.down {
				w.startProcess(s)
			}
		})
	case 5:
		for _, o := range w.sidecars[:len(w.sidecars)/2] {
			o.cutUntil = until
		}
	}
}

func (w *simulation) propose(text string) string {
	l := w.ledger()
	id := fmt.Sprintf("p%d", len(w.log))
	w.log = append(w.log, Entry{Propose: &Proposal{ID: id, Author: "a", Follows: l.InForce().Number, Text: []byte(text)}})
	return id
}

// TestOnePolicyAtATime plays changes under drawn faults. At no step do two sidecars serve under different policies, nor any
// under an earlier one after a later was served; no answer to an author is contradicted; and once the faults are over, what
// is under way ends and a further change comes into force.
func TestOnePolicyAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "sidecars"), true)
		for i := range 3000 {
			if w.rng.IntN(150) == 0 {
				w.injectFault()
			}
			if w.rng.IntN(250) == 0 {
				w.propose(fmt.Sprint("text ", i))
				if w.rng.IntN(4) == 0 {
					s := w.sidecars[w.rng.IntN(len(w.sidecars))]
					s.rejects[w.ledger().lastNumber] = true
				}
			}
			if w.step(); len(w.violations) > 0 {
				t.Fatal(w.violations[0])
			}
		}
		w.faulty = false
		for _, s := range w.sidecars {
			if s.cutUntil, s.pausedUntil = 0, 0; s.down {
				w.startProcess(s)
			}
		}
		w.leader().pausedUntil = 0
		settle := int(2*w.terms.upperBound(w.terms.Length)/stepLength) + 1000
		for range settle {
			w.step()
		}
		id := w.propose("the last")
		for range settle {
			w.step()
		}
		if len(w.violations) > 0 {
			t.Fatal(w.violations[0])
		}
		last := w.ledger()
		if o := last.Outcome(id); o.State != InForce || string(last.InForce().Text) != "the last" {
			t.Fatalf("the last change is %v (%s), %+v", o.State, o.Reason, last.Pending())
		}
		for _, s := range w.sidecars {
			if number, _, ok := s.holder.Serves(s.read(w.now)); !ok || number != last.InForce().Number {
				t.Errorf("sidecar %d serves under %d (%v), %d is in force", s.index, number, ok, last.InForce().Number)
			}
		}
	})
}

// TestChangeWithoutFaults: with nothing amiss a change is in force everywhere in less than a second, and no sidecar is without a policy
// for longer than some messages take.
func TestChangeWithoutFaults(t *testing.T) {
	for _, n := range []int{1, 10, 100} {
		w := newSimulation(1, n, false)
		for range 1000 {
			w.step()
		}
		w.servingChecks, w.checks, w.longestGap = 0, 0, 0
		id, began := w.propose("second"), w.now
		for w.ledger().Outcome(id).State != InForce && w.now-began < time.Minute {
			w.step()
		}
		took := w.now - began
		for range 200 {
			w.step()
		}
		t.Logf("%d sidecars: in force after %v, longest without a policy %v", n, took, w.longestGap)
		if took > time.Second || w.longestGap > 50*time.Millisecond || len(w.violations) > 0 {
			t.Errorf("%d sidecars: in force after %v, longest without a policy %v, %v", n, took, w.longestGap, w.violations)
		}
	}
}

// TestChangeWaitsForUnresponsiveHolder: one that is cut off delays the change by its promise, and serves no longer.
func TestChangeWaitsForUnresponsiveHolder(t *testing.T) {
	w := newSimulation(2, 5, false)
	for range 1000 {
		w.step()
	}
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
	if took := w.now - began; took < w.terms.Length-w.terms.Short || took > w.terms.Length+2*time.Second || stopped == 0 || len(w.violations) > 0 {
		t.Errorf("in force after %v, the silent one stopped after %v, %v", took, stopped-began, w.violations)
	}
	s.cutUntil = 0
	for range 200 {
		w.step()
	}
	if number, _, ok := s.holder.Serves(s.read(w.now)); !ok || number != 2 {
		t.Errorf("back again it serves under %d, %v", number, ok)
	}
}

// TestOneRejectionRefusesChange: a reasoned no refuses the change for all, and its reason names who said it.
func TestOneRejectionRefusesChange(t *testing.T) {
	w := newSimulation(3, 5, false)
	for range 1000 {
		w.step()
	}
	w.sidecars[2].rejects[2] = true
	id := w.propose("second")
	for range 1000 {
		w.step()
	}
	if o := w.ledger().Outcome(id); o.State != Refused || o.Reason != "n2: it has a class without a name" || len(w.violations) > 0 {
		t.Errorf("%v, %q, %v", o.State, o.Reason, w.violations)
	}
	if w.ledger().InForce().Number != 1 {
		t.Errorf("policy %d is in force", w.ledger().InForce().Number)
	}
}
