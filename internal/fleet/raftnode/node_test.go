package raftnode

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fleet/disk"
	"milletramp.example/milletramp/internal/fleet/policy"
)

var plays = flag.Int("raftnode.plays", 5, "drawn plays of TestKilledAnywhere")

var names = []string{"a", "b", "c"}

// table is three deciders with folders on disk. Messages get lost and come late; deciders are killed at any moment, also in the
// midst of a write, stand still, and lose their folders.
type table struct {
	t       testing.TB
	rng     *rand.Rand
	dir     string
	now     time.Duration
	loss    float64
	places  map[string]*place
	order   []string // of their names
	late    []func()
	answers map[uint64]consensus.Answer
	ended   map[string]policy.Outcome // as first seen: refused or in force
	id      uint64
}

type place struct {
	name    string
	named   []string // deciders, by its file
	node    *Node    // nil: down
	log     *disk.Log
	still   time.Duration
	partial int           // of the writes to come, the one that kills it; 0: none does
	full    time.Duration // until when its folder keeps nothing
	said    *bytes.Buffer // what it has logged
}

// killing is a folder of a process that is killed behind one of its writes, before it can tell anybody.
type killing struct {
	*disk.Log
	p *place
	w *table
}

var errKilled = errors.New("killed")

func (k killing) done(err error) error {
	if k.p.partial--; k.p.partial == 0 {
		return errKilled
	}
	return err
}

// keep has the folder keep something, unless it is full.
func (k killing) keep(write func() error) error {
	if k.w.now < k.p.full {
		return syscall.ENOSPC
	}
	return k.done(write())
}

func (k killing) Found(f consensus.Bootstrap) error {
	return k.keep(func() error { return k.Log.Found(f) })
}

func (k killing) Keep(b consensus.Batch) error {
	return k.keep(func() error { return k.Log.Keep(b) })
}

func (k killing) Compact(s raftpb.Snapshot) error {
	return k.keep(func() error { return k.Log.Compact(s) })
}

func (w *table) folder(name string) (folder string) { return filepath.Join(w.dir, name) }

func newTable(t testing.TB, dir string, seed uint64) *table {
	w := &table{t: t, rng: rand.New(rand.NewPCG(seed, 0x7ab1e)), dir: dir, now: time.Hour, places: map[string]*place{},
		answers: map[uint64]consensus.Answer{}, ended: map[string]policy.Outcome{}}
	for _, name := range names {
		w.add(name, names)
	}
	return w
}

// add adds a decider that is down.
func (w *table) add(name string, named []string) *place {
	w.places[name] = &place{name: name, named: named, said: &bytes.Buffer{}}
	w.order = append(w.order, name)
	return w.places[name]
}

// lose has a decider come back without its folder.
func (w *table) lose(name string) {
	w.kill(w.places[name])
	if err := os.RemoveAll(w.folder(name)); err != nil {
		w.t.Fatal(err)
	}
	w.start(w.places[name])
}

// leader is who leads and answers; nil: nobody does.
func (w *table) leader() *place {
	for _, name := range w.order {
		if p := w.places[name]; p.node != nil && p.still <= w.now && p.node.Leader() == p.name {
			return p
		}
	}
	return nil
}

// replace asks whoever leads for one to take the place of another, and tells whether that has begun.
func (w *table) replace(out, in string) (begun bool) {
	if p := w.leader(); p != nil {
		w.run(p, func(s *Node) { begun = s.Replace(w.now, out, in) == nil })
	}
	return begun
}

// whole tells whether the leader knows of no change of deciders under way, and each of them has the folder that it counts on.
func (w *table) whole() bool {
	p := w.leader()
	if p == nil {
		return false
	}
	deciders, settled := p.node.machine.Deciders()
	for name, id := range deciders {
		o := w.places[name]
		if o.node == nil || o.log.Memory().Self.ID != id || o.node.machine == nil {
			return false
		}
	}
	return settled
}

func (w *table) start(p *place) {
	if p.node != nil {
		return
	}
	log, _, err := disk.Open(w.folder(p.name), w.rng.Uint64()|1)
	if err != nil {
		w.t.Fatal(err)
	}
	p.log = log
	if p.node, err = New(w.now, Settings{p.name, p.named, []byte("first"), policy.DefaultTerms}, killing{log, p, w},
		slog.New(slog.NewTextHandler(p.said, nil))); err != nil {
		w.t.Fatal(err)
	}
}

func (w *table) kill(p *place) {
	if p.node == nil {
		return
	}
	if err := p.log.Close(); err != nil {
		w.t.Fatal(err)
	}
	p.node, p.partial = nil, 0
}

// run has a decider do something, and what follows.
func (w *table) run(p *place, do func(*Node)) {
	if p.node == nil || p.still > w.now {
		return
	}
	suspended := p.node.Err() != nil
	do(p.node)
	out := p.node.Out()
	if suspended && p.node.Err() != nil && len(out.Send) > 0 {
		w.t.Fatalf("%s sends %d messages while it is suspended", p.name, len(out.Send))
	}
	if errors.Is(p.node.Err(), errKilled) {
		w.kill(p)
		return
	}
	for _, m := range out.Send {
		deliver := func() {
			w.run(w.places[m.To], func(s *Node) {
				// What former lives and other consensus groups have sent is still on its way.
				_ = s.Receive(w.now, m.Text)
			})
		}
		switch {
		case w.rng.Float64() < w.loss:
		case w.loss > 0 && w.rng.IntN(8) == 0:
			w.late = append(w.late, deliver)
		default:
			deliver()
		}
	}
	for _, a := range out.Answers {
		w.answers[a.Token] = a
	}
}

// step is a tick of all.
func (w *table) step() {
	w.now += consensus.TickEvery
	for _, name := range w.order {
		w.run(w.places[name], func(s *Node) { s.Tick(w.now) })
	}
	if len(w.late) > 0 && w.rng.IntN(3) == 0 {
		i := w.rng.IntN(len(w.late))
		do := w.late[i]
		w.late = slices.Delete(w.late, i, i+1)
		do()
	}
	for _, p := range w.places {
		if p.node == nil || p.node.Ledger() == nil {
			continue
		}
		for _, o := range p.node.Ledger().Outcomes() {
			if o.State != policy.InForce && o.State != policy.Refused {
				continue
			}
			if was, seen := w.ended[o.ID]; seen && was != o {
				w.t.Fatalf("change %s: %+v, and at %s %+v", o.ID, was, p.name, o)
			}
			w.ended[o.ID] = o
		}
	}
}

func (w *table) steps(n int) {
	for range n {
		w.step()
	}
}

// propose asks whoever leads, and returns the id; "": nobody does.
func (w *table) propose() (id string) {
	p := w.leader()
	if p == nil {
		return ""
	}
	w.id++
	candidate := fmt.Sprint("p", w.id)
	w.run(p, func(s *Node) {
		if s.Propose(w.now, policy.Proposal{ID: candidate, Author: "x", Follows: s.Ledger().InForce().Number, Text: []byte(candidate)}) == nil {
			id = candidate
		}
	})
	return id
}

// changes has a change come into force, and fails the test where it does not.
func (w *table) changes(what string) {
	w.t.Helper()
	id := w.propose()
	w.steps(200)
	if id == "" || w.ended[id].State != policy.InForce {
		w.t.Fatalf("%s: change %q: %+v", what, id, w.ended[id])
	}
}

func (w *table) end() {
	for _, p := range w.places {
		w.kill(p)
	}
}

// TestKilledAnywhere has three deciders on disk be killed at any moment, behind any write, and their folders fail for a
// while: no answer that anybody has seen is ever contradicted, they are of one consensus group, and once the faults are
// over changes come into force.
func TestKilledAnywhere(t *testing.T) {
	for seed := range uint64(*plays) {
		w := newTable(t, t.TempDir(), seed)
		w.loss = 0.1
		for range 20 + w.rng.IntN(280) {
			p := w.places[names[w.rng.IntN(len(names))]]
			switch w.rng.IntN(30) {
			case 0, 1:
				w.kill(p)
			case 2, 3, 4, 5:
				w.start(p)
			case 6:
				p.partial = 1 + w.rng.IntN(6)
			case 7:
				p.still = w.now + time.Duration(w.rng.IntN(3000))*time.Millisecond
			case 8:
				w.propose()
			case 9, 10:
				p.full = w.now + time.Duration(w.rng.IntN(4000))*time.Millisecond
			}
			w.step()
		}
		w.loss = 0
		for _, p := range w.places {
			p.still, p.partial, p.full = 0, 0, 0
			w.start(p)
		}
		w.steps(250)
		id := w.propose()
		w.steps(200)
		groups := map[uint64]bool{}
		for _, p := range w.places {
			if p.node.Err() != nil || p.node.Ledger() == nil {
				t.Fatalf("seed %d: %s: %v, ledger %v", seed, p.name, p.node.Err(), p.node.Ledger())
			}
			groups[p.node.bootstrapper.Bootstrap().Group()] = true
			if o := p.node.Ledger().Outcome(id); id == "" || o.State != policy.InForce {
				t.Errorf("seed %d: %s: the last change %q is %v (%s)", seed, p.name, id, o.State, o.Reason)
			}
		}
		if len(groups) != 1 {
			t.Errorf("seed %d: %d groups", seed, len(groups))
		}
		w.end()
	}
}

// TestFolderFails has a decider's folder fail for a while: it acknowledges nothing, answers nobody and leads no more,
// says so once, and takes part again once its folder keeps.
func TestFolderFails(t *testing.T) {
	for _, tt := range []struct {
		name    string
		steps   int  // that the others take before its folder fails
		leads   bool // it leads by then
		without bool // one of the other two is down meanwhile
	}{
		{"before there is a group", 0, false, false},
		{"one that follows", 100, false, false},
		{"one that follows and is needed", 100, false, true},
		{"one that leads", 100, true, false},
		{"one that leads and is needed", 100, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := newTable(t, t.TempDir(), 4)
			defer w.end()
			for _, name := range names {
				w.start(w.places[name])
			}
			w.steps(tt.steps)
			leader := w.leader()
			followers := slices.DeleteFunc([]*place{w.places["a"], w.places["b"], w.places["c"]},
				func(p *place) bool { return p == leader })
			p, other := followers[0], followers[1]
			if tt.leads {
				p = leader
			}
			if tt.without {
				w.kill(other)
			}
			p.full = w.now + time.Minute
			if tt.leads {
				w.run(p, func(s *Node) {
					_ = s.Propose(w.now, policy.Proposal{ID: "x", Author: "x", Follows: 1, Text: []byte("x")})
				})
			}
			w.steps(200)
			id := w.propose()
			w.steps(200)
			if inForce := w.ended[id].State == policy.InForce; inForce == tt.without {
				t.Errorf("change %q in force: %v", id, inForce)
			}
			w.run(p, func(s *Node) { s.Ask(w.now, 7, policy.LeaseRequest{Sidecar: "n1", Incarnation: 1}) })
			if got := w.answers[7]; !errors.Is(got.Err, consensus.ErrNoLeader) ||
				!errors.Is(p.node.Err(), syscall.ENOSPC) || p.node.Leader() != "" {
				t.Errorf("it answers %+v, error %v, leader %q", got, p.node.Err(), p.node.Leader())
			}
			p.full = 0
			w.steps(300)
			if err := p.node.Err(); err != nil || p.node.Ledger() == nil {
				t.Errorf("it takes no part again: %v, ledger %v", err, p.node.Ledger())
			}
			w.start(other)
			w.steps(100)
			w.changes("its folder keeps again")
			for _, line := range []string{"until its folder keeps", "the folder keeps again"} {
				if n := strings.Count(p.said.String(), line); n != 1 {
					t.Errorf("it says %d times %q", n, line)
				}
			}
		})
	}
}

// TestFolderLost: a decider that comes back with an empty folder takes part no more and says why; the others go on. It is the same
// with a majority of them, for whom nobody can say what was decided: nothing is in force anew.
func TestFolderLost(t *testing.T) {
	w := newTable(t, t.TempDir(), 1)
	defer w.end()
	for _, p := range w.places {
		w.start(p)
	}
	w.steps(100)
	first := w.propose()
	w.steps(150)
	if w.ended[first].State != policy.InForce {
		t.Fatalf("%+v", w.ended[first])
	}
	w.lose("c")
	w.steps(100)
	if c := w.places["c"].node; !c.LeftOut() || c.Ledger() != nil {
		t.Errorf("without its folder it waits for a place: %v, ledger %v", c.LeftOut(), c.Ledger())
	}
	second := w.propose()
	w.steps(150)
	if w.ended[second].State != policy.InForce {
		t.Errorf("the others do not go on: %+v", w.ended[second])
	}
	w.lose("b")
	w.steps(200)
	if b := w.places["b"].node; !b.LeftOut() || b.Ledger() != nil {
		t.Errorf("the second without its folder waits for a place: %v, ledger %v", b.LeftOut(), b.Ledger())
	}
	if id := w.propose(); id != "" && w.ended[id].State == policy.InForce {
		t.Errorf("%+v with one folder of three", w.ended[id])
	}
	a := w.places["a"].node
	if a.Err() != nil || a.Ledger().Outcome(second).State != policy.InForce {
		t.Errorf("the one that remembers: %v, %v", a.Err(), a.Ledger().Outcome(second))
	}
	a.Ask(w.now, 7, policy.LeaseRequest{Sidecar: "n1", Incarnation: 1})
	w.steps(100)
	if got, ok := w.answers[7]; ok && got.Err == nil {
		t.Errorf("one of three promises: %+v", got.Grant)
	}
}

// TestReplaced: a decider that has lost its folder is given its place again, and another name takes the place of one that is gone for
// good, while changes go on; each counts from then on, and who was replaced does not.
func TestReplaced(t *testing.T) {
	w := newTable(t, t.TempDir(), 3)
	defer w.end()
	for _, p := range w.places {
		w.start(p)
	}
	w.steps(100)
	w.changes("all there")
	w.lose("c")
	if w.replace("c", "c") {
		t.Error("one that has not said that it is there takes a place")
	}
	w.steps(100)
	if w.replace("x", "c") || w.replace("a", "b") || w.replace("c", "d") {
		t.Error("one takes the place of nobody, one that decides or that was never heard of takes a place")
	}
	if !w.replace("c", "c") || w.replace("c", "c") {
		t.Fatal("c does not take its place again, or does so twice at once")
	}
	w.steps(100)
	if got, settled := w.leader().node.Deciders(); !settled || !slices.Equal(got, names) || !w.whole() {
		t.Fatalf("%v decide, settled %v", got, settled)
	}
	w.kill(w.places["b"]) // so c's word is needed
	w.steps(100)
	w.changes("a and the c that lost its folder")
	d := w.add("d", []string{"a", "c", "d"})
	w.start(d)
	w.steps(100)
	if !w.replace("b", "d") {
		t.Fatal("d does not take the place of b")
	}
	w.steps(100)
	w.kill(w.places["a"])
	w.steps(100)
	w.changes("c and d")
	w.start(w.places["b"]) // it knows nothing of all that, and one other would have been enough
	w.kill(w.places["c"])
	w.steps(200)
	if p := w.leader(); p != nil {
		t.Errorf("%s leads with one decider of three there", p.name)
	}
	w.start(w.places["c"])
	w.steps(200)
	w.changes("c and d again")
	// The leader itself is replaced, by one that comes with an empty folder.
	for _, name := range []string{"a", "c", "d"} {
		w.start(w.places[name])
	}
	w.steps(100)
	led := w.leader().name
	left := slices.DeleteFunc([]string{"a", "c", "d"}, func(name string) bool { return name == led })
	w.start(w.add("e", append(left, "e"))) // its file does not name who leads
	w.steps(100)
	if now := w.leader(); now == nil || now.name != led {
		t.Fatalf("%v leads, with nothing amiss; %s did", now, led)
	}
	if !w.replace(led, "e") {
		t.Fatalf("e does not take the place of %s, which leads", led)
	}
	w.steps(200)
	w.changes("without who led")
	if err := w.places[led].node.Err(); !errors.Is(err, consensus.ErrReplaced) {
		t.Errorf("%s, which was replaced: %v", led, err)
	}
}

// TestReplacedAnywhere has deciders lose their folders one after another and be given their places again, while any are killed behind
// any write, stand still, and messages get lost: no answer is contradicted, and in the end all are there again and changes go on.
func TestReplacedAnywhere(t *testing.T) {
	replaced := 0
	for seed := range uint64(2 * *plays) {
		w := newTable(t, t.TempDir(), seed+100)
		for _, p := range w.places {
			w.start(p)
		}
		w.steps(100)
		w.loss = 0.1
		for range 400 {
			p := w.places[names[w.rng.IntN(len(names))]]
			switch w.rng.IntN(40) {
			case 0:
				w.kill(p)
			case 1, 2, 3, 4, 5:
				w.start(p)
			case 6:
				p.partial = 1 + w.rng.IntN(6)
			case 7:
				p.still = w.now + time.Duration(w.rng.IntN(2000))*time.Millisecond
			case 8, 9:
				w.propose()
			case 10, 11: // danger: with two folders lost at a time nobody can say what was decided
				if w.whole() {
					w.lose(p.name)
				}
			default:
				if w.rng.IntN(4) == 0 && p.node != nil && p.node.LeftOut() && w.replace(p.name, p.name) {
					replaced++
				}
			}
			w.step()
		}
		w.loss = 0
		for _, p := range w.places {
			p.still, p.partial = 0, 0
			w.start(p)
		}
		w.steps(250)
		for _, name := range names {
			if w.places[name].node.LeftOut() {
				w.replace(name, name)
				w.steps(100)
			}
		}
		w.steps(100)
		id := w.propose()
		w.steps(200)
		for _, p := range w.places {
			if p.node.Err() != nil || p.node.Ledger() == nil {
				t.Fatalf("seed %d: %s: %v, ledger %v", seed, p.name, p.node.Err(), p.node.Ledger())
			}
			if o := p.node.Ledger().Outcome(id); id == "" || o.State != policy.InForce {
				t.Errorf("seed %d: %s: the last change %q is %v (%s)", seed, p.name, id, o.State, o.Reason)
			}
		}
		if !w.whole() {
			t.Errorf("seed %d: not all are there again", seed)
		}
		w.end()
	}
	if replaced < *plays {
		t.Errorf("%d places were taken in %d plays: too few to show anything", replaced, 2**plays)
	}
}

// TestRubbish: what is no message is an error, and nothing else.
func TestRubbish(t *testing.T) {
	w := newTable(t, t.TempDir(), 2)
	defer w.end()
	for _, p := range w.places {
		w.start(p)
	}
	rubbish := [][]byte{nil, {1}, []byte("who is there"), make([]byte, 5000), make([]byte, mostText+1)}
	for range 2 { // before there is a consensus group, and in it
		for _, text := range rubbish {
			if err := w.places["a"].node.Receive(w.now, text); err == nil {
				t.Errorf("%d bytes are taken", len(text))
			}
		}
		w.steps(100)
	}
	if err := w.places["a"].node.Err(); err != nil || w.propose() == "" {
		t.Errorf("the group does not go on: %v", err)
	}
}
