package consensus

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"milletramp.example/milletramp/internal/fleet/policy"
)

var plays = flag.Int("consensus.plays", 12, "drawn plays of TestConsensus")

// fleet steps deciders, each with what it keeps, and sidecars in simulated time. Messages get lost and come late; links are cut;
// deciders and sidecars stand still, die and return, deciders with what they kept.
type fleet struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	order    int
	queue    []event
	deciders []*decider
	sidecars []*holder
	loss     float64
	tokens   uint64
	waiting  map[uint64]func(Answer)
	highest  uint64
	states   map[string]policy.State
	broken   string
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type decider struct {
	f       *fleet
	id      uint64
	machine *Machine
	kept    Kept
	heard   map[uint64]uint64
	forgets bool // it has lost some of what it kept
	still   time.Duration
	cut     time.Duration
	life    int
}

type holder struct {
	*policy.Holder
	name  string
	life  uint64
	still time.Duration
	cut   time.Duration
	asked time.Duration
}

const step = 10 * time.Millisecond

var first = []byte("first")

func newFleet(t *testing.T, seed uint64, deciders, sidecars int) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 0xc0c1)), now: time.Hour, waiting: map[uint64]func(Answer){}, states: map[string]policy.State{}}
	for i := range deciders {
		d := &decider{f: f, id: uint64(i + 1), heard: map[uint64]uint64{}}
		f.deciders = append(f.deciders, d)
		d.start()
	}
	for i := range sidecars {
		h := &holder{name: fmt.Sprint("n", i)}
		f.sidecars = append(f.sidecars, h)
		h.start()
	}
	return f
}

func (h *holder) start() {
	h.life++
	h.Holder = policy.NewHolder(h.name, h.life, policy.DefaultTerms)
}

func (d *decider) start() {
	d.life++
	m, err := New(d.f.now, Settings{Self: Self{d.id, uint64(d.life)}, Bootstrap: bootstrap, Heard: d.heard, Terms: policy.DefaultTerms, Kept: d.kept}, slog.New(slog.DiscardHandler))
	if err != nil {
		d.f.t.Fatal(err)
	}
	d.machine = m
}

// bootstrap is of the deciders 1, 2 and 3.
var bootstrap = Bootstrap{Deciders: map[string]uint64{"a": 1, "b": 2, "c": 3}, First: first}

func (f *fleet) after(wait time.Duration, do func()) {
	f.order++
	e := event{f.now + wait, f.order, do}
	i, _ := slices.BinarySearchFunc(f.queue, e, func(a, b event) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order)) })
	f.queue = slices.Insert(f.queue, i, e)
}

// send has something happen at the other end of the way, unless it gets lost.
func (f *fleet) send(do func()) {
	if f.rng.Float64() < f.loss {
		return
	}
	way := time.Duration(f.rng.Int64N(int64(10 * time.Millisecond)))
	if f.loss > 0 && f.rng.IntN(10) == 0 {
		way = time.Duration(f.rng.Int64N(int64(2 * time.Second)))
	}
	f.after(way, do)
}

// run has a decider do something, and what follows from that.
func (d *decider) run(do func(m *Machine)) {
	if d.machine == nil {
		return
	}
	if d.still > d.f.now {
		life := d.life
		d.f.after(d.still-d.f.now, func() {
			if d.life == life {
				d.run(do)
			}
		})
		return
	}
	do(d.machine)
	for {
		b, ok := d.machine.Batch()
		if !ok {
			break
		}
		d.keep(b)
		if err := d.machine.Saved(d.f.now); err != nil {
			d.f.t.Fatal(err)
		}
		s, err := d.machine.Compact()
		if err != nil {
			d.f.t.Fatal(err)
		}
		if s != nil {
			d.keep(Batch{Snapshot: s})
		}
	}
	out := d.machine.Out()
	for _, msg := range out.Send {
		to := d.f.deciders[msg.To-1]
		if d.cut > d.f.now || to.cut > d.f.now {
			continue
		}
		d.f.send(func() {
			to.run(func(m *Machine) {
				if err := m.Step(msg.Text); err != nil && !errors.Is(err, raft.ErrStepLocalMsg) && !errors.Is(err, errFormerLife) && !(to.forgets && errors.Is(err, ErrForgot)) {
					d.f.t.Errorf("decider %d: %v", to.id, err)
				}
			})
		})
	}
	for _, a := range out.Answers {
		if answer := d.f.waiting[a.Token]; answer != nil {
			delete(d.f.waiting, a.Token)
			d.f.send(func() { answer(a) })
		}
	}
}

// keep is the disk.
func (d *decider) keep(b Batch) {
	maps.Copy(d.heard, b.Heard)
	if b.State != nil {
		d.kept.State = *b.State
	}
	if b.Snapshot != nil {
		d.kept.Snapshot = *b.Snapshot
		d.kept.Entries = slices.DeleteFunc(slices.Clone(d.kept.Entries), func(e raftpb.Entry) bool { return index(e) <= snapshotIndex(*b.Snapshot) })
	}
	if len(b.Entries) > 0 {
		from := index(b.Entries[0])
		d.kept.Entries = append(slices.DeleteFunc(slices.Clone(d.kept.Entries), func(e raftpb.Entry) bool { return index(e) >= from }), b.Entries...)
	}
}

func (f *fleet) ask(h *holder) {
	h.asked = f.now
	if h.cut > f.now {
		return
	}
	q, sent, life := h.Request(), f.now, h.life
	to := f.deciders[f.rng.IntN(len(f.deciders))]
	for _, d := range f.deciders { // as a sidecar that remembers who led
		if d.machine != nil && d.machine.Leader() != 0 && f.rng.IntN(4) > 0 {
			to = f.deciders[d.machine.Leader()-1]
		}
	}
	f.tokens++
	token := f.tokens
	f.waiting[token] = func(a Answer) { f.told(h, life, sent, a) }
	f.send(func() { to.run(func(m *Machine) { m.Ask(f.now, token, q) }) })
}

func (f *fleet) told(h *holder, life uint64, sent time.Duration, a Answer) {
	switch {
	case a.Err != nil || h.life != life || h.cut > f.now:
		return
	case h.still > f.now:
		f.after(h.still-f.now, func() { f.told(h, life, sent, a) })
		return
	}
	if number := h.Update(f.now, sent, a.Grant); number > 0 {
		f.after(5*time.Millisecond, func() {
			if h.life == life {
				h.Checked(number, "")
				f.ask(h)
			}
		})
	}
}

func (f *fleet) step() {
	f.now += step
	for len(f.queue) > 0 && f.queue[0].at <= f.now {
		e := f.queue[0]
		f.queue = f.queue[1:]
		e.do()
	}
	for _, d := range f.deciders {
		if f.now%TickEvery < step && d.still <= f.now {
			d.run(func(m *Machine) { m.Tick(f.now) })
		}
	}
	serving := map[uint64]bool{}
	for _, h := range f.sidecars {
		if h.still > f.now {
			continue
		}
		if f.now-h.asked >= policy.DefaultTerms.Short/3 {
			f.ask(h)
		}
		if number, _, ok := h.Serves(f.now); ok {
			serving[number] = true
			if number < f.highest {
				f.broken = fmt.Sprintf("%v: %s serves under %d, %d was served before", f.now, h.name, number, f.highest)
			}
		}
	}
	for number := range serving {
		f.highest = max(f.highest, number)
	}
	if len(serving) > 1 {
		f.broken = fmt.Sprintf("%v: %v are served at once", f.now, serving)
	}
	for _, d := range f.deciders {
		if d.machine == nil {
			continue
		}
		for _, o := range d.machine.Ledger().Outcomes() { // deciders are at different places of the same log
			was, known := f.states[o.ID]
			if known && (was == policy.Refused) != (o.State == policy.Refused) && (was >= policy.Committed && o.State >= policy.Committed) {
				f.broken = fmt.Sprintf("%v: change %s was %v and is %v", f.now, o.ID, was, o.State)
			}
			f.states[o.ID] = max(was, o.State)
		}
	}
}

// leader is the decider that leads in earnest.
func (f *fleet) leader() *decider {
	for _, d := range f.deciders {
		if d.machine != nil && d.still <= f.now && d.machine.grants != nil && d.machine.Leader() == d.id {
			return d
		}
	}
	return nil
}

// propose asks for a change at the leader, and returns its id; "" where there is none.
func (f *fleet) propose(text string) (id string) {
	d := f.leader()
	if d == nil {
		return ""
	}
	f.tokens++
	id = fmt.Sprint("p", f.tokens)
	d.run(func(m *Machine) {
		if err := m.Propose(policy.Proposal{ID: id, Author: "a", Follows: m.Ledger().InForce().Number, Text: []byte(text)}); err != nil {
			id = ""
		}
	})
	return id
}

func (f *fleet) fault() {
	until := f.now + time.Duration(f.rng.Int64N(int64(4*time.Second)))
	d, h := f.deciders[f.rng.IntN(len(f.deciders))], f.sidecars[f.rng.IntN(len(f.sidecars))]
	switch f.rng.IntN(6) {
	case 0:
		d.still = until
	case 1:
		d.cut = until
	case 2:
		if d.machine != nil {
			d.machine = nil
			f.after(until-f.now, func() {
				if d.machine == nil {
					d.start()
				}
			})
		}
	case 3:
		h.still = until
	case 4:
		h.cut = until
	case 5:
		h.start()
	}
}

// TestConsensus plays changes with three deciders by Raft under drawn faults: no two sidecars ever serve under different policies,
// no answer is contradicted, and once the faults are over a change comes into force everywhere.
func TestConsensus(t *testing.T) {
	for seed := range uint64(*plays) {
		f := newFleet(t, seed, 3, 4)
		f.loss = 0.1
		for i := range 3000 {
			if f.rng.IntN(80) == 0 {
				f.fault()
			}
			if f.rng.IntN(150) == 0 {
				f.propose(fmt.Sprint("text ", i))
			}
			if f.step(); f.broken != "" {
				t.Fatalf("seed %d: %s", seed, f.broken)
			}
		}
		f.loss = 0
		for _, h := range f.sidecars {
			h.still, h.cut = 0, 0
		}
		for _, d := range f.deciders {
			if d.still, d.cut = 0, 0; d.machine == nil {
				d.start()
			}
		}
		for range 1500 {
			f.step()
		}
		id := f.propose("the last")
		if id == "" {
			t.Fatalf("seed %d: nobody leads", seed)
		}
		for range 300 {
			f.step()
		}
		if f.broken != "" {
			t.Fatalf("seed %d: %s", seed, f.broken)
		}
		for _, d := range f.deciders {
			if o := d.machine.Ledger().Outcome(id); o.State != policy.InForce {
				t.Errorf("seed %d: at decider %d the last change is %v (%s)", seed, d.id, o.State, o.Reason)
			}
		}
		for _, h := range f.sidecars {
			if number, _, ok := h.Serves(f.now); !ok || number != f.deciders[0].machine.Ledger().InForce().Number {
				t.Errorf("seed %d: %s serves under %d, %v", seed, h.name, number, ok)
			}
		}
	}
}

// TestMinorityLost: with one of three deciders gone changes go on, with two gone they stop, and serving goes on for the
// promise's time and no longer.
func TestMinorityLost(t *testing.T) {
	f := newFleet(t, 1, 3, 3)
	for range 600 {
		f.step()
	}
	f.leader().machine = nil
	for range 600 {
		f.step()
	}
	id := f.propose("second")
	for range 300 {
		f.step()
	}
	if l := f.leader(); l == nil || l.machine.Ledger().Outcome(id).State != policy.InForce {
		t.Fatalf("with one decider gone: leader %v", l)
	}
	serving := func() (n int) {
		for _, h := range f.sidecars {
			if _, _, ok := h.Serves(f.now); ok {
				n++
			}
		}
		return n
	}
	f.leader().machine = nil
	for range 100 {
		f.step()
	}
	if got := serving(); got != 3 {
		t.Errorf("%d of 3 serve 1 s after the majority was lost", got)
	}
	if f.propose("third") != "" {
		t.Error("one decider of three takes a change")
	}
	for range 400 {
		f.step()
	}
	if got := serving(); got != 0 {
		t.Errorf("%d of 3 serve 5 s after the majority was lost: the promise is %v", got, policy.DefaultTerms.Length)
	}
	for _, d := range f.deciders {
		if d.machine == nil {
			d.start()
		}
	}
	for range 600 {
		f.step()
	}
	if got := serving(); got != 3 || f.leader().machine.Ledger().InForce().Number != 2 || f.broken != "" {
		t.Errorf("back again: %d of 3 serve, policy %d is in force, %s", got, f.leader().machine.Ledger().InForce().Number, f.broken)
	}
}

// TestKept: what a decider kept brings it to where it was, also behind a snapshot.
func TestKept(t *testing.T) {
	f := newFleet(t, 2, 3, 1)
	for range 600 {
		f.step()
	}
	for i := range 30 {
		f.propose(fmt.Sprint("text ", i))
		for range 120 {
			f.step()
		}
	}
	d := f.deciders[1]
	want, err := d.machine.Ledger().Encode()
	if err != nil {
		t.Fatal(err)
	}
	if snapshotIndex(d.kept.Snapshot) == 0 || len(d.kept.Entries) > 2*keptEntries {
		t.Errorf("snapshot at %d, %d entries behind it", snapshotIndex(d.kept.Snapshot), len(d.kept.Entries))
	}
	d.start()
	for range 200 {
		f.step()
	}
	if got, err := d.machine.Ledger().Encode(); err != nil || string(got) != string(want) {
		t.Errorf("%d bytes, before %d, error %v", len(got), len(want), err)
	}
	if d.machine.Ledger().InForce().Number < 20 {
		t.Errorf("policy %d is in force", d.machine.Ledger().InForce().Number)
	}
}

// TestStrangers turns down what no member sent.
func TestStrangers(t *testing.T) {
	f := newFleet(t, 3, 3, 1)
	m := f.deciders[0].machine
	for _, text := range [][]byte{nil, {1}, []byte("who is there"), make([]byte, 5000)} {
		if err := m.Step(text); err == nil {
			t.Errorf("%d bytes are taken", len(text))
		}
	}
	if _, err := New(0, Settings{Self: Self{9, 1}, Bootstrap: bootstrap, Terms: policy.DefaultTerms}, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("one that is no member begins")
	}
	if err := m.Propose(policy.Proposal{ID: "x"}); !errors.Is(err, ErrNoLeader) {
		t.Errorf("error %v from one that does not lead", err)
	}
}
