package raftnode

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fleet/disk"
	"milletramp.example/milletramp/internal/fleet/policy"
)

var seeds = flag.Int("raftnode.plays", 5, "drawn plays of TestKilledAnywhere")

var voterNames = []string{"a", "b", "c"}

// cluster is three deciders with folders on disk. Messages get lost and come late; deciders are killed at any moment, also in the
// midst of a write, stand still, and lose their folders.
type cluster struct {
	t        testing.TB
	random   *rand.Rand
	dir      string
	now      time.Duration
	loss     float64
	members  map[string]*member
	order    []string // of their names
	delayed  []func()
	answers  map[uint64]consensus.Answer
	outcomes map[string]policy.Outcome // as first seen: refused or in force
	lastID   uint64
}

type member struct {
	name        string
	configured  []string // deciders, by its file
	node        *Node    // nil: down
	log         *disk.Log
	pausedUntil time.Duration
	killAtWrite int // of the writes to come, the one that kills it; 0: none does
}

// crashingStorage is a folder of a process that is killed behind one of its writes, before it can tell anybody.
type crashingStorage struct {
	*disk.Log
	member *member
}

var errKilled = errors.New("killed")

func (k crashingStorage) afterWrite(err error) error {
	if k.member.killAtWrite--; k.member.killAtWrite == 0 {
		return errKilled
	}
	return err
}

func (k crashingStorage) Found(f consensus.Bootstrap) error { return k.afterWrite(k.Log.Found(f)) }
func (k crashingStorage) Keep(b consensus.Batch) error      { return k.afterWrite(k.Log.Keep(b)) }
func (k crashingStorage) Compact(s raftpb.Snapshot) error   { return k.afterWrite(k.Log.Compact(s)) }
func (w *cluster) folder(name string) (folder string)       { return filepath.Join(w.dir, name) }

func newCluster(t testing.TB, dir string, seed uint64) *cluster {
	w := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 0x7ab1e)), dir: dir, now: time.Hour, members: map[string]*member{},
		answers: map[uint64]consensus.Answer{}, outcomes: map[string]policy.Outcome{}}
	for _, name := range voterNames {
		w.add(name, voterNames)
	}
	return w
}

// add adds a decider that is down.
func (w *cluster) add(name string, named []string) *member {
	w.members[name] = &member{name: name, configured: named}
	w.order = append(w.order, name)
	return w.members[name]
}

// loseFolder has a decider come back without its folder.
func (w *cluster) loseFolder(name string) {
	w.kill(w.members[name])
	if err := os.RemoveAll(w.folder(name)); err != nil {
		w.t.Fatal(err)
	}
	w.start(w.members[name])
}

// leader is who leads and answers; nil: nobody does.
func (w *cluster) leader() *member {
	for _, name := range w.order {
		if p := w.members[name]; p.node != nil && p.pausedUntil <= w.now && p.node.Leader() == p.name {
			return p
		}
	}
	return nil
}

// replace asks whoever leads for one to take the place of another, and tells whether that has begun.
func (w *cluster) replace(out, in string) (begun bool) {
	if p := w.leader(); p != nil {
		w.run(p, func(s *Node) { begun = s.Replace(w.now, out, in) == nil })
	}
	return begun
}

// settled tells whether the leader knows of no change of deciders under way, and each of them has the folder that it counts on.
func (w *cluster) settled() bool {
	p := w.leader()
	if p == nil {
		return false
	}
	deciders, settled := p.node.machine.Voters()
	for name, id := range deciders {
		o := w.members[name]
		if o.node == nil || o.log.Memory().Self.ID != id || o.node.machine == nil {
			return false
		}
	}
	return settled
}

func (w *cluster) start(p *member) {
	if p.node != nil {
		return
	}
	log, _, err := disk.Open(w.folder(p.name), w.random.Uint64()|1)
	if err != nil {
		w.t.Fatal(err)
	}
	p.log = log
	if p.node, err = New(w.now, Settings{p.name, p.configured, []byte("first"), policy.UsualTerms}, crashingStorage{log, p}, slog.New(slog.DiscardHandler)); err != nil {
		w.t.Fatal(err)
	}
}

func (w *cluster) kill(p *member) {
	if p.node == nil {
		return
	}
	if err := p.log.Close(); err != nil {
		w.t.Fatal(err)
	}
	p.node, p.killAtWrite = nil, 0
}

// run has a decider do something, and what follows.
func (w *cluster) run(p *member, do func(*Node)) {
	if p.node == nil || p.pausedUntil > w.now {
		return
	}
	do(p.node)
	out := p.node.Out()
	if errors.Is(p.node.Err(), errKilled) {
		w.kill(p)
		return
	}
	for _, m := range out.Send {
		deliver := func() {
			w.run(w.members[m.To], func(s *Node) {
				// What former lives and other consensus groups have sent is still on its way.
				_ = s.Receive(w.now, m.Payload)
			})
		}
		switch {
		case w.random.Float64() < w.loss:
		case w.loss > 0 && w.random.IntN(8) == 0:
			w.delayed = append(w.delayed, deliver)
		default:
			deliver()
		}
	}
	for _, a := range out.Answers {
		w.answers[a.Token] = a
	}
}

// step is a tick of all.
func (w *cluster) step() {
	w.now += consensus.TickInterval
	for _, name := range w.order {
		w.run(w.members[name], func(s *Node) { s.Tick(w.now) })
	}
	if len(w.delayed) > 0 && w.random.IntN(3) == 0 {
		i := w.random.IntN(len(w.delayed))
		do := w.delayed[i]
		w.delayed = slices.Delete(w.delayed, i, i+1)
		do()
	}
	for _, p := range w.members {
		if p.node == nil || p.node.Ledger() == nil {
			continue
		}
		for _, o := range p.node.Ledger().Outcomes() {
			if o.State != policy.InForce && o.State != policy.Refused {
				continue
			}
			if was, seen := w.outcomes[o.ID]; seen && was != o {
				w.t.Fatalf("change %s: %+v, and at %s %+v", o.ID, was, p.name, o)
			}
			w.outcomes[o.ID] = o
		}
	}
}

func (w *cluster) steps(n int) {
	for range n {
		w.step()
	}
}

// propose asks whoever leads, and returns the id; "": nobody does.
func (w *cluster) propose() (id string) {
	p := w.leader()
	if p == nil {
		return ""
	}
	w.lastID++
	candidate := fmt.Sprint("p", w.lastID)
	w.run(p, func(s *Node) {
		if s.Propose(w.now, policy.Propose{ID: candidate, Author: "x", Follows: s.Ledger().InForce().Number, Text: []byte(candidate)}) == nil {
			id = candidate
		}
	})
	return id
}

// requireChange has a change come into force, and fails the test where it does not.
func (w *cluster) requireChange(what string) {
	w.t.Helper()
	id := w.propose()
	w.steps(200)
	if id == "" || w.outcomes[id].State != policy.InForce {
		w.t.Fatalf("%s: change %q: %+v", what, id, w.outcomes[id])
	}
}

func (w *cluster) close() {
	for _, p := range w.members {
		w.kill(p)
	}
}

// TestCrashAnywhere has three deciders on disk be killed at any moment, behind any write: no answer that anybody has seen is ever
// contradicted, they are of one consensus group, and once the faults are over changes come into force.
func TestCrashAnywhere(t *testing.T) {
	for seed := range uint64(*seeds) {
		w := newCluster(t, t.TempDir(), seed)
		w.loss = 0.1
		for range 20 + w.random.IntN(280) {
			p := w.members[voterNames[w.random.IntN(len(voterNames))]]
			switch w.random.IntN(30) {
			case 0, 1:
				w.kill(p)
			case 2, 3, 4, 5:
				w.start(p)
			case 6:
				p.killAtWrite = 1 + w.random.IntN(6)
			case 7:
				p.pausedUntil = w.now + time.Duration(w.random.IntN(3000))*time.Millisecond
			case 8:
				w.propose()
			}
			w.step()
		}
		w.loss = 0
		for _, p := range w.members {
			p.pausedUntil, p.killAtWrite = 0, 0
			w.start(p)
		}
		w.steps(250)
		id := w.propose()
		w.steps(200)
		groups := map[uint64]bool{}
		for _, p := range w.members {
			if p.node.Err() != nil || p.node.Ledger() == nil {
				t.Fatalf("seed %d: %s: %v, ledger %v", seed, p.name, p.node.Err(), p.node.Ledger())
			}
			groups[p.node.bootstrapper.Bootstrap().GroupID()] = true
			if o := p.node.Ledger().Outcome(id); id == "" || o.State != policy.InForce {
				t.Errorf("seed %d: %s: the last change %q is %v (%s)", seed, p.name, id, o.State, o.Reason)
			}
		}
		if len(groups) != 1 {
			t.Errorf("seed %d: %d groups", seed, len(groups))
		}
		w.close()
	}
}

// TestFolderLost: a decider that comes back with an empty folder takes part no more and says why; the others go on. It is the same
// with a majority of them, for whom nobody can say what was decided: nothing is in force anew.
func TestFolderLost(t *testing.T) {
	w := newCluster(t, t.TempDir(), 1)
	defer w.close()
	for _, p := range w.members {
		w.start(p)
	}
	w.steps(100)
	first := w.propose()
	w.steps(150)
	if w.outcomes[first].State != policy.InForce {
		t.Fatalf("%+v", w.outcomes[first])
	}
	w.loseFolder("c")
	w.steps(100)
	if c := w.members["c"].node; !c.IsStandby() || c.Ledger() != nil {
		t.Errorf("without its folder it waits for a place: %v, ledger %v", c.IsStandby(), c.Ledger())
	}
	second := w.propose()
	w.steps(150)
	if w.outcomes[second].State != policy.InForce {
		t.Errorf("the others do not go on: %+v", w.outcomes[second])
	}
	w.loseFolder("b")
	w.steps(200)
	if b := w.members["b"].node; !b.IsStandby() || b.Ledger() != nil {
		t.Errorf("the second without its folder waits for a place: %v, ledger %v", b.IsStandby(), b.Ledger())
	}
	if id := w.propose(); id != "" && w.outcomes[id].State == policy.InForce {
		t.Errorf("%+v with one folder of three", w.outcomes[id])
	}
	a := w.members["a"].node
	if a.Err() != nil || a.Ledger().Outcome(second).State != policy.InForce {
		t.Errorf("the one that remembers: %v, %v", a.Err(), a.Ledger().Outcome(second))
	}
	a.Ask(w.now, 7, policy.Question{Sidecar: "n1", Life: 1})
	w.steps(100)
	if got, ok := w.answers[7]; ok && got.Err == nil {
		t.Errorf("one of three promises: %+v", got.Grant)
	}
}

// TestReplaceVoter: a decider that has lost its folder is given its place again, and another name takes the place of one that is gone for
// good, while changes go on; each counts from then on, and who was replaced does not.
func TestReplaceVoter(t *testing.T) {
	w := newCluster(t, t.TempDir(), 3)
	defer w.close()
	for _, p := range w.members {
		w.start(p)
	}
	w.steps(100)
	w.requireChange("all there")
	w.loseFolder("c")
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
	if got, settled := w.leader().node.Voters(); !settled || !slices.Equal(got, voterNames) || !w.settled() {
		t.Fatalf("%v decide, settled %v", got, settled)
	}
	w.kill(w.members["b"]) // so c's word is needed
	w.steps(100)
	w.requireChange("a and the c that lost its folder")
	d := w.add("d", []string{"a", "c", "d"})
	w.start(d)
	w.steps(100)
	if !w.replace("b", "d") {
		t.Fatal("d does not take the place of b")
	}
	w.steps(100)
	w.kill(w.members["a"])
	w.steps(100)
	w.requireChange("c and d")
	w.start(w.members["b"]) // it knows nothing of all that, and one other would have been enough
	w.kill(w.members["c"])
	w.steps(200)
	if p := w.leader(); p != nil {
		t.Errorf("%s leads with one decider of three there", p.name)
	}
	w.start(w.members["c"])
	w.steps(200)
	w.requireChange("c and d again")
	// The leader itself is replaced, by one that comes with an empty folder.
	for _, name := range []string{"a", "c", "d"} {
		w.start(w.members[name])
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
	w.requireChange("without who led")
	if err := w.members[led].node.Err(); !errors.Is(err, consensus.ErrReplaced) {
		t.Errorf("%s, which was replaced: %v", led, err)
	}
}

// TestReplaceVoterAnywhere has deciders lose their folders one after another and be given their places again, while any are killed behind
// any write, stand still, and messages get lost: no answer is contradicted, and in the end all are there again and changes go on.
func TestReplaceVoterAnywhere(t *testing.T) {
	replaced := 0
	for seed := range uint64(2 * *seeds) {
		w := newCluster(t, t.TempDir(), seed+100)
		for _, p := range w.members {
			w.start(p)
		}
		w.steps(100)
		w.loss = 0.1
		for range 400 {
			p := w.members[voterNames[w.random.IntN(len(voterNames))]]
			switch w.random.IntN(40) {
			case 0:
				w.kill(p)
			case 1, 2, 3, 4, 5:
				w.start(p)
			case 6:
				p.killAtWrite = 1 + w.random.IntN(6)
			case 7:
				p.pausedUntil = w.now + time.Duration(w.random.IntN(2000))*time.Millisecond
			case 8, 9:
				w.propose()
			case 10, 11: // danger: with two folders lost at a time nobody can say what was decided
				if w.settled() {
					w.loseFolder(p.name)
				}
			default:
				if w.random.IntN(4) == 0 && p.node != nil && p.node.IsStandby() && w.replace(p.name, p.name) {
					replaced++
				}
			}
			w.step()
		}
		w.loss = 0
		for _, p := range w.members {
			p.pausedUntil, p.killAtWrite = 0, 0
			w.start(p)
		}
		w.steps(250)
		for _, name := range voterNames {
			if w.members[name].node.IsStandby() {
				w.replace(name, name)
				w.steps(100)
			}
		}
		w.steps(100)
		id := w.propose()
		w.steps(200)
		for _, p := range w.members {
			if p.node.Err() != nil || p.node.Ledger() == nil {
				t.Fatalf("seed %d: %s: %v, ledger %v", seed, p.name, p.node.Err(), p.node.Ledger())
			}
			if o := p.node.Ledger().Outcome(id); id == "" || o.State != policy.InForce {
				t.Errorf("seed %d: %s: the last change %q is %v (%s)", seed, p.name, id, o.State, o.Reason)
			}
		}
		if !w.settled() {
			t.Errorf("seed %d: not all are there again", seed)
		}
		w.close()
	}
	if replaced < *seeds {
		t.Errorf("%d places were taken in %d plays: too few to show anything", replaced, 2**seeds)
	}
}

// TestRejectMalformedMessages: what is no message is an error, and nothing else.
func TestRejectMalformedMessages(t *testing.T) {
	w := newCluster(t, t.TempDir(), 2)
	defer w.close()
	for _, p := range w.members {
		w.start(p)
	}
	rubbish := [][]byte{nil, {1}, []byte("who is there"), make([]byte, 5000), make([]byte, maxMessageBytes+1)}
	for range 2 { // before there is a consensus group, and in it
		for _, text := range rubbish {
			if err := w.members["a"].node.Receive(w.now, text); err == nil {
				t.Errorf("%d bytes are taken", len(text))
			}
		}
		w.steps(100)
	}
	if err := w.members["a"].node.Err(); err != nil || w.propose() == "" {
		t.Errorf("the group does not go on: %v", err)
	}
}
