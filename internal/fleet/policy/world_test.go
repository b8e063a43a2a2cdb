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

// world steps leaders and sidecars in simulated time. Consensus is a list that only the leader of the latest term can add to;
// clocks run apart, messages get lost and come late and in any order, leaders change, stand still and answer long after they
// were confirmed, sidecars stand still, die and come back.
type world struct {
	rng      *rand.Rand
	terms    Terms
	now      time.Duration // real
	term     uint64
	log      []Entry
	last     *Ledger
	applied  int
	leaders  []*leader
	sidecars []*sidecar
	queue    []event
	faults   bool
	broken   []string
	switched []time.Duration // when each number was first served, by number
	states   map[string]State
	served   int // looks at which a sidecar served
	looked   int // and all looks at sidecars that live
	longest  time.Duration
	gap      map[int]time.Duration
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
	term   uint64
	grants *Grants
	still  time.Duration // until then it stands still
}

type sidecar struct {
	clock
	index  int
	life   uint64
	holder *Holder
	down   bool
	still  time.Duration
	cut    time.Duration
	asked  time.Duration
	faulty map[uint64]bool // numbers that it says no to
}

const step = 5 * time.Millisecond

func newWorld(seed uint64, n int, faults bool) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 0x9011c)), terms: UsualTerms, faults: faults, states: map[string]State{},
		switched: make([]time.Duration, 64), gap: map[int]time.Duration{}}
	for i := range n {
		s := &sidecar{clock: w.clock(), index: i, faulty: map[uint64]bool{}}
		w.sidecars = append(w.sidecars, s)
		w.live(s)
	}
	w.elect()
	return w
}

func (w *world) clock() clock {
	return clock{1 + w.terms.Drift*w.rng.Float64(), time.Hour + time.Duration(w.rng.Int64N(int64(time.Hour)))}
}

func (w *world) live(s *sidecar) {
	s.life++
	s.down = false
	s.holder = NewHolder(fmt.Sprint("n", s.index), s.life, w.terms)
}

func (w *world) elect() {
	w.term++
	l := &leader{clock: w.clock(), term: w.term}
	l.grants = NewGrants(l.read(w.now), w.term, w.terms)
	w.leaders = append(w.leaders, l)
	if len(w.leaders) > 3 {
		w.leaders = w.leaders[1:]
	}
}

func (w *world) leader() *leader { return w.leaders[len(w.leaders)-1] }

// ledger is what the log comes to now; what comes to the log later does not change it.
func (w *world) ledger() *Ledger {
	if w.last == nil || w.applied < len(w.log) {
		l := NewLedger([]byte("first"))
		for _, e := range w.log {
			l.Apply(e)
		}
		w.last, w.applied = l, len(w.log)
	}
	return w.last
}

func (w *world) after(d time.Duration, do func()) {
	at := w.now + d
	i, _ := slices.BinarySearchFunc(w.queue, at+1, func(e event, at time.Duration) int { return cmp.Compare(e.at, at) })
	w.queue = slices.Insert(w.queue, i, event{at, do})
}

// way draws how long a message takes; false: it gets lost.
func (w *world) way() (time.Duration, bool) {
	if !w.faults {
		return time.Duration(w.rng.Int64N(int64(5 * time.Millisecond))), true
	}
	d := time.Duration(w.rng.Int64N(int64(40 * time.Millisecond)))
	if w.rng.IntN(10) == 0 {
		d = time.Duration(w.rng.Int64N(int64(4 * time.Second))) // comes when nobody thinks of it any more
	}
	return d, w.rng.IntN(5) > 0
}

// write has a leader add to the log, if it still leads when that arrives.
func (w *world) write(l *leader, entries []Entry) {
	for _, e := range entries {
		w.after(time.Duration(w.rng.Int64N(int64(20*time.Millisecond))), func() {
			if l.term == w.term {
				w.log = append(w.log, e)
			}
		})
	}
}

func (w *world) ask(s *sidecar) {
	s.asked = w.now
	q, sent, life := s.holder.Ask(), s.read(w.now), s.life
	there, ok := w.way()
	if !ok || s.cut > w.now {
		return
	}
	w.after(there, func() {
		l := w.leaders[w.rng.IntN(len(w.leaders))] // it may ask one that was deposed
		if !w.faults {
			l = w.leader()
		}
		if l.still > w.now {
			return
		}
		w.after(time.Duration(w.rng.Int64N(int64(10*time.Millisecond))), func() {
			if l.term != w.term {
				return // a majority says that it does not lead any more
			}
			wait := time.Duration(0)
			if w.faults && w.rng.IntN(20) == 0 { // it stands still between that and its answer
				wait = time.Duration(w.rng.Int64N(int64(5 * time.Second)))
			}
			ledger := w.ledger()
			w.after(wait, func() {
				if l.term == w.term {
					ledger = w.ledger()
				}
				a, write := l.grants.Ask(l.read(w.now), ledger, q)
				w.write(l, write)
				back, ok := w.way()
				if !ok || s.cut > w.now {
					return
				}
				w.after(back, func() { w.told(s, life, sent, a) })
			})
		})
	})
}

func (w *world) told(s *sidecar, life uint64, sent Time, a Grant) {
	if s.life != life || s.down {
		return
	}
	if s.still > w.now { // it waits in its queue
		w.after(s.still-w.now, func() { w.told(s, life, sent, a) })
		return
	}
	number := s.holder.Told(s.read(w.now), sent, a)
	if number == 0 {
		return
	}
	w.after(time.Duration(w.rng.Int64N(int64(20*time.Millisecond))), func() {
		if s.life != life || s.down {
			return
		}
		fault := ""
		if s.faulty[number] {
			fault = "it has a class without a name"
		}
		s.holder.Checked(number, fault)
		w.ask(s)
	})
}

// step moves on by a step and looks at all.
func (w *world) step() {
	w.now += step
	for len(w.queue) > 0 && w.queue[0].at <= w.now {
		e := w.queue[0]
		w.queue = w.queue[1:]
		e.do()
	}
	for _, l := range w.leaders {
		if l.still <= w.now {
			w.write(l, l.grants.Tick(l.read(w.now), w.ledger()))
		}
	}
	for _, s := range w.sidecars {
		if every := w.terms.Short / 3; !s.down && s.still <= w.now && w.now-s.asked >= every {
			w.ask(s)
		}
	}
	w.look()
}

func (w *world) look() {
	serving := map[uint64][]int{}
	for _, s := range w.sidecars {
		if s.down || s.still > w.now {
			continue
		}
		w.looked++
		if number, _, ok := s.holder.Serves(s.read(w.now)); ok {
			w.served++
			serving[number] = append(serving[number], s.index)
			w.gap[s.index] = w.now
		}
		w.longest = max(w.longest, w.now-w.gap[s.index])
	}
	if len(serving) > 1 {
		w.broken = append(w.broken, fmt.Sprintf("%v: served %v", w.now, serving))
	}
	for number := range serving {
		if w.switched[number] == 0 {
			w.switched[number] = w.now
		}
		for _, later := range w.switched[number+1:] {
			if later > 0 {
				w.broken = append(w.broken, fmt.Sprintf("%v: policy %d is served after a later one", w.now, number))
			}
		}
	}
	ledger := w.ledger()
	for _, o := range ledger.Outcomes() {
		was := w.states[o.ID]
		if was == Refused && o.State != Refused || was == InForce && o.State != InForce || was >= Committed && was < InForce && (o.State == Refused || o.State < was) {
			w.broken = append(w.broken, fmt.Sprintf("%v: change %s was %v and is %v", w.now, o.ID, was, o.State))
		}
		w.states[o.ID] = o.State
	}
}

// fault draws one.
func (w *world) fault() {
	s := w.sidecars[w.rng.IntN(len(w.sidecars))]
	until := w.now + time.Duration(w.rng.Int64N(int64(6*time.Second)))
	switch w.rng.IntN(6) {
	case 0:
		w.elect()
	case 1:
		w.leader().still = until
	case 2:
		s.still = until
	case 3:
		s.cut = until
	case 4:
		s.down = true
		w.after(until-w.now, func() {
			if s.down {
				w.live(s)
			}
		})
	case 5:
		for _, o := range w.sidecars[:len(w.sidecars)/2] {
			o.cut = until
		}
	}
}

func (w *world) propose(text string) string {
	l := w.ledger()
	id := fmt.Sprintf("p%d", len(w.log))
	w.log = append(w.log, Entry{Propose: &Propose{ID: id, Author: "a", Follows: l.InForce().Number, Text: []byte(text)}})
	return id
}

// TestOnePolicyAtATime plays changes under drawn faults. At no step do two sidecars serve under different policies, nor any
// under an earlier one after a later was served; no answer to an author is contradicted; and once the faults are over, what
// is under way ends and a further change comes into force.
func TestOnePolicyAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "sidecars"), true)
		for i := range 3000 {
			if w.rng.IntN(150) == 0 {
				w.fault()
			}
			if w.rng.IntN(250) == 0 {
				w.propose(fmt.Sprint("text ", i))
				if w.rng.IntN(4) == 0 {
					s := w.sidecars[w.rng.IntN(len(w.sidecars))]
					s.faulty[w.ledger().last] = true
				}
			}
			if w.step(); len(w.broken) > 0 {
				t.Fatal(w.broken[0])
			}
		}
		w.faults = false
		for _, s := range w.sidecars {
			if s.cut, s.still = 0, 0; s.down {
				w.live(s)
			}
		}
		w.leader().still = 0
		settle := int(2*w.terms.longer(w.terms.Length)/step) + 1000
		for range settle {
			w.step()
		}
		id := w.propose("the last")
		for range settle {
			w.step()
		}
		if len(w.broken) > 0 {
			t.Fatal(w.broken[0])
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

// TestAllWell: with nothing amiss a change is in force everywhere in less than a second, and no sidecar is without a policy
// for longer than some messages take.
func TestAllWell(t *testing.T) {
	for _, n := range []int{1, 10, 100} {
		w := newWorld(1, n, false)
		for range 1000 {
			w.step()
		}
		w.served, w.looked, w.longest = 0, 0, 0
		id, began := w.propose("second"), w.now
		for w.ledger().Outcome(id).State != InForce && w.now-began < time.Minute {
			w.step()
		}
		took := w.now - began
		for range 200 {
			w.step()
		}
		t.Logf("%d sidecars: in force after %v, longest without a policy %v", n, took, w.longest)
		if took > time.Second || w.longest > 50*time.Millisecond || len(w.broken) > 0 {
			t.Errorf("%d sidecars: in force after %v, longest without a policy %v, %v", n, took, w.longest, w.broken)
		}
	}
}

// TestSilentOneIsWaitedFor: one that is cut off delays the change by its promise, and serves no longer.
func TestSilentOneIsWaitedFor(t *testing.T) {
	w := newWorld(2, 5, false)
	for range 1000 {
		w.step()
	}
	s := w.sidecars[3]
	s.cut = w.now + time.Hour
	id, began := w.propose("second"), w.now
	stopped := time.Duration(0)
	for w.ledger().Outcome(id).State != InForce && w.now-began < time.Minute {
		if w.step(); stopped == 0 {
			if _, _, ok := s.holder.Serves(s.read(w.now)); !ok {
				stopped = w.now
			}
		}
	}
	if took := w.now - began; took < w.terms.Length-w.terms.Short || took > w.terms.Length+2*time.Second || stopped == 0 || len(w.broken) > 0 {
		t.Errorf("in force after %v, the silent one stopped after %v, %v", took, stopped-began, w.broken)
	}
	s.cut = 0
	for range 200 {
		w.step()
	}
	if number, _, ok := s.holder.Serves(s.read(w.now)); !ok || number != 2 {
		t.Errorf("back again it serves under %d, %v", number, ok)
	}
}

// TestOneNoIsEnough: a reasoned no refuses the change for all, and its reason names who said it.
func TestOneNoIsEnough(t *testing.T) {
	w := newWorld(3, 5, false)
	for range 1000 {
		w.step()
	}
	w.sidecars[2].faulty[2] = true
	id := w.propose("second")
	for range 1000 {
		w.step()
	}
	if o := w.ledger().Outcome(id); o.State != Refused || o.Reason != "n2: it has a class without a name" || len(w.broken) > 0 {
		t.Errorf("%v, %q, %v", o.State, o.Reason, w.broken)
	}
	if w.ledger().InForce().Number != 1 {
		t.Errorf("policy %d is in force", w.ledger().InForce().Number)
	}
}
