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

var seeds = flag.Int("consensus.plays", 12, "drawn plays of TestConsensus")

// cluster steps deciders, each with what it keeps, and sidecars in simulated time. Messages get lost and come late; links are cut;
// deciders and sidecars stand still, die and return, deciders with what they kept.
type cluster struct {
	t             *testing.T
	random        *rand.Rand
	now           time.Duration
	nextOrder     int
	queue         []event
	voters        []*voter
	sidecars      []*sidecar
	loss          float64
	tokens        uint64
	callbacks     map[uint64]func(Answer)
	highestServed uint64
	outcomes      map[string]policy.State
	violation     string
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type voter struct {
	cluster          *cluster
	id               uint64
	machine          *Machine
	persisted        PersistentState
	incarnations     map[uint64]uint64
	lostState        bool // it has lost some of what it kept
	pausedUntil      time.Duration
	partitionedUntil time.Duration
	incarnation      int
}

type sidecar struct {
	*policy.Holder
	name             string
	incarnation      uint64
	pausedUntil      time.Duration
	partitionedUntil time.Duration
	askedAt          time.Duration
}

const stepInterval = 10 * time.Millisecond

var initialPolicy = []byte("first")

func newCluster(t *testing.T, seed uint64, deciders, sidecars int) *cluster {
	f := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 0xc0c1)), now: time.Hour, callbacks: map[uint64]func(Answer){}, outcomes: map[string]policy.State{}}
	for i := range deciders {
		d := &voter{cluster: f, id: uint64(i + 1), incarnations: map[uint64]uint64{}}
		f.voters = append(f.voters, d)
		d.start()
	}
	for i := range sidecars {
		h := &sidecar{name: fmt.Sprint("n", i)}
		f.sidecars = append(f.sidecars, h)
		h.start()
	}
	return f
}

func (h *sidecar) start() {
	h.incarnation++
	h.Holder = policy.NewHolder(h.name, h.incarnation, policy.UsualTerms)
}

func (d *voter) start() {
	d.incarnation++
	m, err := New(d.cluster.now, Settings{Identity: Identity{d.id, uint64(d.incarnation)}, Bootstrap: testBootstrap, Incarnations: d.incarnations, Terms: policy.UsualTerms, Persisted: d.persisted}, slog.New(slog.DiscardHandler))
	if err != nil {
		d.cluster.t.Fatal(err)
	}
	d.machine = m
}

// testBootstrap is of the deciders 1, 2 and 3.
var testBootstrap = Bootstrap{Voters: map[string]uint64{"a": 1, "b": 2, "c": 3}, InitialPolicy: initialPolicy}

func (f *cluster) after(wait time.Duration, do func()) {
	f.nextOrder++
	e := event{f.now + wait, f.nextOrder, do}
	i, _ := slices.BinarySearchFunc(f.queue, e, func(a, b event) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order)) })
	f.queue = slices.Insert(f.queue, i, e)
}

// send has something happen at the other end of the way, unless it gets lost.
func (f *cluster) send(do func()) {
	if f.random.Float64() < f.loss {
		return
	}
	way := time.Duration(f.random.Int64N(int64(10 * time.Millisecond)))
	if f.loss > 0 && f.random.IntN(10) == 0 {
		way = time.Duration(f.random.Int64N(int64(2 * time.Second)))
	}
	f.after(way, do)
}

// run has a decider do something, and what follows from that.
func (d *voter) run(do func(m *Machine)) {
	if d.machine == nil {
		return
	}
	if d.pausedUntil > d.cluster.now {
		life := d.incarnation
		d.cluster.after(d.pausedUntil-d.cluster.now, func() {
			if d.incarnation == life {
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
		d.persist(b)
		if err := d.machine.Advance(d.cluster.now); err != nil {
			d.cluster.t.Fatal(err)
		}
		s, err := d.machine.Compact()
		if err != nil {
			d.cluster.t.Fatal(err)
		}
		if s != nil {
			d.persist(Batch{Snapshot: s})
		}
	}
	out := d.machine.Out()
	for _, msg := range out.Send {
		to := d.cluster.voters[msg.To-1]
		if d.partitionedUntil > d.cluster.now || to.partitionedUntil > d.cluster.now {
			continue
		}
		d.cluster.send(func() {
			to.run(func(m *Machine) {
				if err := m.Step(msg.Payload); err != nil && !errors.Is(err, raft.ErrStepLocalMsg) && !errors.Is(err, errStaleIncarnation) && !(to.lostState && errors.Is(err, ErrLostState)) {
					d.cluster.t.Errorf("decider %d: %v", to.id, err)
				}
			})
		})
	}
	for _, a := range out.Answers {
		if answer := d.cluster.callbacks[a.Token]; answer != nil {
			delete(d.cluster.callbacks, a.Token)
			d.cluster.send(func() { answer(a) })
		}
	}
}

// persist is the disk.
func (d *voter) persist(b Batch) {
	maps.Copy(d.incarnations, b.Incarnations)
	if b.HardState != nil {
		d.persisted.HardState = *b.HardState
	}
	if b.Snapshot != nil {
		d.persisted.Snapshot = *b.Snapshot
		d.persisted.Entries = slices.DeleteFunc(slices.Clone(d.persisted.Entries), func(e raftpb.Entry) bool { return e.Index <= b.Snapshot.Metadata.Index })
	}
	if len(b.Entries) > 0 {
		from := b.Entries[0].Index
		d.persisted.Entries = append(slices.DeleteFunc(slices.Clone(d.persisted.Entries), func(e raftpb.Entry) bool { return e.Index >= from }), b.Entries...)
	}
}

func (f *cluster) ask(h *sidecar) {
	h.askedAt = f.now
	if h.partitionedUntil > f.now {
		return
	}
	q, sent, life := h.Ask(), f.now, h.incarnation
	to := f.voters[f.random.IntN(len(f.voters))]
	for _, d := range f.voters { // as a sidecar that remembers who led
		if d.machine != nil && d.machine.Leader() != 0 && f.random.IntN(4) > 0 {
			to = f.voters[d.machine.Leader()-1]
		}
	}
	f.tokens++
	token := f.tokens
	f.callbacks[token] = func(a Answer) { f.receiveAnswer(h, life, sent, a) }
	f.send(func() { to.run(func(m *Machine) { m.Ask(f.now, token, q) }) })
}

func (f *cluster) receiveAnswer(h *sidecar, life uint64, sent time.Duration, a Answer) {
	switch {
	case a.Err != nil || h.incarnation != life || h.partitionedUntil > f.now:
		return
	case h.pausedUntil > f.now:
		f.after(h.pausedUntil-f.now, func() { f.receiveAnswer(h, life, sent, a) })
		return
	}
	if number := h.Told(f.now, sent, a.Grant); number > 0 {
		f.after(5*time.Millisecond, func() {
			if h.incarnation == life {
				h.Checked(number, "")
				f.ask(h)
			}
		})
	}
}

func (f *cluster) step() {
	f.now += stepInterval
	for len(f.queue) > 0 && f.queue[0].at <= f.now {
		e := f.queue[0]
		f.queue = f.queue[1:]
		e.do()
	}
	for _, d := range f.voters {
		if f.now%TickInterval < stepInterval && d.pausedUntil <= f.now {
			d.run(func(m *Machine) { m.Tick(f.now) })
		}
	}
	serving := map[uint64]bool{}
	for _, h := range f.sidecars {
		if h.pausedUntil > f.now {
			continue
		}
		if f.now-h.askedAt >= policy.UsualTerms.Short/3 {
			f.ask(h)
		}
		if number, _, ok := h.Serves(f.now); ok {
			serving[number] = true
			if number < f.highestServed {
				f.violation = fmt.Sprintf("%v: %s serves under %d, %d was served before", f.now, h.name, number, f.highestServed)
			}
		}
	}
	for number := range serving {
		f.highestServed = max(f.highestServed, number)
	}
	if len(serving) > 1 {
		f.violation = fmt.Sprintf("%v: %v are served at once", f.now, serving)
	}
	for _, d := range f.voters {
		if d.machine == nil {
			continue
		}
		for _, o := range d.machine.Ledger().Outcomes() { // deciders are at different places of the same log
			was, known := f.outcomes[o.ID]
			if known && (was == policy.Refused) != (o.State == policy.Refused) && (was >= policy.Committed && o.State >= policy.Committed) {
				f.violation = fmt.Sprintf("%v: change %s was %v and is %v", f.now, o.ID, was, o.State)
			}
			f.outcomes[o.ID] = max(was, o.State)
		}
	}
}

// leader is the decider that leads in earnest.
func (f *cluster) leader() *voter {
	for _, d := range f.voters {
		if d.machine != nil && d.pausedUntil <= f.now && d.machine.leases != nil && d.machine.Leader() == d.id {
			return d
		}
	}
	return nil
}

// propose asks for a change at the leader, and returns its id; "" where there is none.
func (f *cluster) propose(text string) (id string) {
	d := f.leader()
	if d == nil {
		return ""
	}
	f.tokens++
	id = fmt.Sprint("p", f.tokens)
	d.run(func(m *Machine) {
		if err := m.Propose(policy.Propose{ID: id, Author: "a", Follows: m.Ledger().InForce().Number, Text: []byte(text)}); err != nil {
			id = ""
		}
	})
	return id
}

func (f *cluster) injectFault() {
	until := f.now + time.Duration(f.random.Int64N(int64(4*time.Second)))
	d, h := f.voters[f.random.IntN(len(f.voters))], f.sidecars[f.random.IntN(len(f.sidecars))]
	switch f.random.IntN(6) {
	case 0:
		d.pausedUntil = until
	case 1:
		d.partitionedUntil = until
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
		h.pausedUntil = until
	case 4:
		h.partitionedUntil = until
	case 5:
		h.start()
	}
}

// TestConsensus plays changes with three deciders by Raft under drawn faults: no two sidecars ever serve under different policies,
// no answer is contradicted, and once the faults are over a change comes into force everywhere.
func TestConsensus(t *testing.T) {
	for seed := range uint64(*seeds) {
		f := newCluster(t, seed, 3, 4)
		f.loss = 0.1
		for i := range 3000 {
			if f.random.IntN(80) == 0 {
				f.injectFault()
			}
			if f.random.IntN(150) == 0 {
				f.propose(fmt.Sprint("text ", i))
			}
			if f.step(); f.violation != "" {
				t.Fatalf("seed %d: %s", seed, f.violation)
			}
		}
		f.loss = 0
		for _, h := range f.sidecars {
			h.pausedUntil, h.partitionedUntil = 0, 0
		}
		for _, d := range f.voters {
			if d.pausedUntil, d.partitionedUntil = 0, 0; d.machine == nil {
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
		if f.violation != "" {
			t.Fatalf("seed %d: %s", seed, f.violation)
		}
		for _, d := range f.voters {
			if o := d.machine.Ledger().Outcome(id); o.State != policy.InForce {
				t.Errorf("seed %d: at decider %d the last change is %v (%s)", seed, d.id, o.State, o.Reason)
			}
		}
		for _, h := range f.sidecars {
			if number, _, ok := h.Serves(f.now); !ok || number != f.voters[0].machine.Ledger().InForce().Number {
				t.Errorf("seed %d: %s serves under %d, %v", seed, h.name, number, ok)
			}
		}
	}
}

// TestMinorityLost: with one of three deciders gone changes go on, with two gone they stop, and serving goes on for the
// promise's time and no longer.
func TestMinorityLost(t *testing.T) {
	f := newCluster(t, 1, 3, 3)
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
		t.Errorf("%d of 3 serve 5 s after the majority was lost: the promise is %v", got, policy.UsualTerms.Length)
	}
	for _, d := range f.voters {
		if d.machine == nil {
			d.start()
		}
	}
	for range 600 {
		f.step()
	}
	if got := serving(); got != 3 || f.leader().machine.Ledger().InForce().Number != 2 || f.violation != "" {
		t.Errorf("back again: %d of 3 serve, policy %d is in force, %s", got, f.leader().machine.Ledger().InForce().Number, f.violation)
	}
}

// TestRestoreFromPersistedState: what a decider kept brings it to where it was, also behind a snapshot.
func TestRestoreFromPersistedState(t *testing.T) {
	f := newCluster(t, 2, 3, 1)
	for range 600 {
		f.step()
	}
	for i := range 30 {
		f.propose(fmt.Sprint("text ", i))
		for range 120 {
			f.step()
		}
	}
	d := f.voters[1]
	want, err := d.machine.Ledger().Encode()
	if err != nil {
		t.Fatal(err)
	}
	if d.persisted.Snapshot.Metadata.Index == 0 || len(d.persisted.Entries) > 2*snapshotThreshold {
		t.Errorf("snapshot at %d, %d entries behind it", d.persisted.Snapshot.Metadata.Index, len(d.persisted.Entries))
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

// TestRejectUnknownMessages turns down what no member sent.
func TestRejectUnknownMessages(t *testing.T) {
	f := newCluster(t, 3, 3, 1)
	m := f.voters[0].machine
	for _, text := range [][]byte{nil, {1}, []byte("who is there"), make([]byte, 5000)} {
		if err := m.Step(text); err == nil {
			t.Errorf("%d bytes are taken", len(text))
		}
	}
	if _, err := New(0, Settings{Identity: Identity{9, 1}, Bootstrap: testBootstrap, Terms: policy.UsualTerms}, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("one that is no member begins")
	}
	if err := m.Propose(policy.Propose{ID: "x"}); !errors.Is(err, ErrNoLeader) {
		t.Errorf("error %v from one that does not lead", err)
	}
}
