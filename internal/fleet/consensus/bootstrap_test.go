package consensus

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"milletramp.example/milletramp/internal/fleet/policy"
)

// founderWorld is named deciders that say hello to each other, lose their folders and come back.
type bootstrapCluster struct {
	t          *rapid.T
	now        time.Duration
	names      []string
	machines   map[string]*Bootstrapper // nil: down
	folders    map[string]folder
	lastID     uint64
	delayed    []func()
	groups     map[uint64]map[string]uint64 // by consensus group: who has held it, and with which folder
	folderLost bool                         // some folder was lost
}

type folder struct {
	identity  Identity
	bootstrap *Bootstrap
}

func (w *bootstrapCluster) start(name string) {
	f := w.folders[name]
	if f.identity.ID == 0 {
		w.lastID++
		f.identity.ID = w.lastID
	}
	f.identity.Incarnation++
	w.folders[name] = f
	m, err := NewBootstrapper(name, f.identity, w.names, initialPolicy, f.bootstrap)
	if err != nil {
		w.t.Fatal(err)
	}
	w.machines[name] = m
}

// receive has a machine take in a hello, and what is to be kept be kept.
func (w *bootstrapCluster) receive(name string, h Hello) {
	m := w.machines[name]
	if m == nil {
		return
	}
	if err := m.Receive(w.now, h); err != nil && !errors.Is(err, ErrNotInGroup) {
		w.t.Fatal(err)
	}
	f := w.folders[name]
	if f.bootstrap != nil && m.Bootstrap().GroupID() != f.bootstrap.GroupID() {
		w.t.Fatalf("%s was of %v and is of %v", name, f.bootstrap, m.Bootstrap())
	}
	if m.Bootstrap() == nil {
		return
	}
	f.bootstrap = m.Bootstrap()
	w.folders[name] = f
	if w.groups[f.bootstrap.GroupID()] == nil {
		w.groups[f.bootstrap.GroupID()] = map[string]uint64{}
	}
	w.groups[f.bootstrap.GroupID()][name] = f.identity.ID
	if f.bootstrap.Voters[name] != f.identity.ID {
		w.t.Fatalf("%s with folder %x is of %v", name, f.identity.ID, f.bootstrap)
	}
}

// TestBootstrappedOnce: whatever gets lost of hellos and folders, no two consensus groups ever have a majority of their own; one whose
// folder is lost is of no consensus group that it was of before; and where none is lost, all are of one.
func TestBootstrappedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &bootstrapCluster{t: t, now: time.Hour, names: []string{"a", "b", "c"}, machines: map[string]*Bootstrapper{}, folders: map[string]folder{},
			groups: map[uint64]map[string]uint64{}}
		if rapid.Bool().Draw(t, "five") {
			w.names = append(w.names, "d", "e")
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			name := rapid.SampledFrom(w.names).Draw(t, "who")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				if w.machines[name] == nil {
					w.start(name)
				}
			case 1:
				w.machines[name] = nil
			case 2:
				// A majority that loses its folders at once is what the operators have to see to: of these nobody knows.
				lives := 0
				for _, f := range w.folders {
					if f.bootstrap != nil {
						lives++
					}
				}
				if rapid.IntRange(0, 3).Draw(t, "lost") == 0 && w.folders[name].identity.ID > 0 && (lives == 0 || lives > 1) {
					w.machines[name], w.folderLost = nil, true
					delete(w.folders, name)
				}
			case 3, 4:
				if len(w.delayed) > 0 {
					i := rapid.IntRange(0, len(w.delayed)-1).Draw(t, "which")
					do := w.delayed[i]
					w.delayed = slices.Delete(w.delayed, i, i+1)
					do()
				}
			default:
				if m := w.machines[name]; m != nil {
					h := m.Hello()
					for _, to := range w.names {
						if to != name && rapid.IntRange(0, 3).Draw(t, "arrives") > 0 {
							w.receive(to, h)
						} else if to != name && len(w.delayed) < 20 {
							w.delayed = append(w.delayed, func() { w.receive(to, h) }) // late
						}
					}
				}
			}
		}
		// A decider is of one consensus group only, so two with a majority need two folders of one name that both were of one.
		var able []uint64
		for consensus, of := range w.groups {
			n := 0
			for name, id := range of {
				if f := w.folders[name]; f.identity.ID == id && f.bootstrap != nil && f.bootstrap.GroupID() == consensus {
					n++
				}
			}
			if n > len(w.names)/2 {
				able = append(able, consensus)
			}
		}
		if len(able) > 1 {
			t.Fatalf("groups %x each have a majority", able)
		}
		if w.folderLost {
			return
		}
		for _, name := range w.names {
			if w.machines[name] == nil {
				w.start(name)
			}
		}
		for range 2 {
			for _, name := range w.names {
				for _, to := range w.names {
					if to != name {
						w.receive(to, w.machines[name].Hello())
					}
				}
			}
		}
		if len(w.groups) != 1 {
			t.Fatalf("no folder was lost, all have heard each other, and there are groups %v", slices.Collect(maps.Keys(w.groups)))
		}
	})
}

// TestBootstrapper: what it takes to bootstrap a consensus group, and who is turned away.
func TestBootstrapper(t *testing.T) {
	names := []string{"a", "b", "c"}
	machine := func(name string, id uint64, first string, known *Bootstrap) *Bootstrapper {
		t.Helper()
		f, err := NewBootstrapper(name, Identity{id, 1}, names, []byte(first), known)
		if err != nil {
			t.Fatal(err)
		}
		return f
	}
	a, b, c := machine("a", 1, "x", nil), machine("b", 2, "x", nil), machine("c", 3, "x", nil)
	hear := func(f *Bootstrapper, now time.Duration, h Hello, want error) {
		t.Helper()
		if err := f.Receive(now, h); !errors.Is(err, want) {
			t.Errorf("error %v, want %v", err, want)
		}
	}
	hear(a, 1, b.Hello(), nil)
	if a.Bootstrap() != nil {
		t.Error("two of three bootstrap a group")
	}
	hear(a, 1+helloLifetime, c.Hello(), nil)
	if a.Bootstrap() != nil {
		t.Error("a hello that is too old counts")
	}
	hear(a, 1+helloLifetime, machine("b", 2, "y", nil).Hello(), ErrConfigMismatch)
	hear(a, 1+helloLifetime, b.Hello(), nil)
	if a.Bootstrap() == nil || a.Bootstrap().Voters["c"] != 3 {
		t.Fatalf("%v, all three are there", a.Bootstrap())
	}
	hear(b, 1, a.Hello(), nil)
	if b.Bootstrap() == nil || b.Bootstrap().GroupID() != a.Bootstrap().GroupID() {
		t.Errorf("%v, it is named in %v", b.Bootstrap(), a.Bootstrap())
	}
	// c comes back without its folder: both know it with another one.
	lost := machine("c", 9, "x", nil)
	hear(lost, 1, a.Hello(), ErrNotInGroup)
	hear(lost, 1, b.Hello(), ErrNotInGroup)
	if lost.Bootstrap() != nil {
		t.Errorf("%v without its folder", lost.Bootstrap())
	}
	if _, err := NewBootstrapper("c", Identity{9, 1}, names, nil, a.Bootstrap()); err == nil {
		t.Error("another decider's folder is taken")
	}
	// It is given its place again, and comes back with what it has kept of that.
	given := a.Hello()
	given.Voters = map[string]uint64{"a": 1, "b": 2, "c": 9}
	hear(lost, 2, given, nil)
	if f := lost.Bootstrap(); f == nil || f.GroupID() != a.Bootstrap().GroupID() || f.KnownVoters()["c"] != 9 {
		t.Fatalf("%v, it was given its place", f)
	}
	if again, err := NewBootstrapper("c", Identity{9, 2}, names, nil, lost.Bootstrap()); err != nil || again.Bootstrap() == nil {
		t.Errorf("%v, error %v", again, err)
	}
	for _, wrong := range [][]string{nil, {"a", "b"}, {"a", "b", "b"}, {"b", "c", "d"}, {"a", "b", "c", "d"}} {
		if _, err := NewBootstrapper("a", Identity{1, 1}, wrong, nil, nil); err == nil {
			t.Errorf("deciders %v are taken", wrong)
		}
	}
	for _, h := range []Hello{{}, {Name: "z", ID: 4}, {Name: "a", ID: 1}, {Name: "b"}} {
		if err := machine("a", 1, "x", nil).Receive(1, h); err == nil {
			t.Errorf("%+v is taken", h)
		}
	}
}

// TestOlderFolderCopy: a decider that comes back with a copy of its folder from before its last life is not heard, whatever it says; the
// others go on.
func TestOlderFolderCopy(t *testing.T) {
	f := newCluster(t, 5, 3, 2)
	for range 600 {
		f.step()
	}
	d := f.voters[0]
	older := d.persisted
	older.Entries = slices.Clone(older.Entries)
	for range 2 { // two more lives, in which it promises more
		d.start()
		for range 300 {
			f.step()
		}
		if f.propose(fmt.Sprint("text ", d.incarnation)) == "" {
			t.Fatal("nobody leads")
		}
		for range 200 {
			f.step()
		}
	}
	d.persisted, d.incarnation = older, 1
	d.incarnations, d.lostState = map[uint64]uint64{}, true
	d.start()
	turned := 0
	for _, o := range f.voters[1:] {
		text, err := d.machine.seal(nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := o.machine.verifier.open(text); errors.Is(err, errStaleIncarnation) {
			turned++
		}
	}
	if turned != 2 {
		t.Errorf("%d of 2 turn it away", turned)
	}
	for range 200 {
		f.step()
	}
	if !errors.Is(d.machine.fatalErr, ErrLostState) {
		t.Errorf("it takes part: %v", d.machine.fatalErr)
	}
	d.machine = nil
	for range 600 {
		f.step()
	}
	id := f.propose("without it")
	for range 300 {
		f.step()
	}
	if l := f.leader(); l == nil || l.machine.Ledger().Outcome(id).State != policy.InForce || f.violation != "" {
		t.Errorf("the others do not go on: %s", f.violation)
	}
}

// TestTruncatedFolder: a decider that has lost entries of its present life finds that out from what the leader says is committed, and
// takes part no more; the others go on.
func TestTruncatedFolder(t *testing.T) {
	f := newCluster(t, 6, 3, 2)
	for range 600 {
		f.step()
	}
	for i := range 3 {
		f.propose(fmt.Sprint("text ", i))
		for range 200 {
			f.step()
		}
	}
	var d *voter
	for _, o := range f.voters {
		if o != f.leader() {
			d = o
		}
	}
	d.persisted.Entries = d.persisted.Entries[:len(d.persisted.Entries)-3]
	d.persisted.HardState.Commit = 1
	d.lostState = true
	d.start()
	for range 300 {
		f.step()
	}
	if !errors.Is(d.machine.fatalErr, ErrLostState) {
		t.Errorf("it takes part: %v", d.machine.fatalErr)
	}
	id := f.propose("without it")
	for range 300 {
		f.step()
	}
	if l := f.leader(); l == nil || l.machine.Ledger().Outcome(id).State != policy.InForce || f.violation != "" {
		t.Errorf("the others do not go on: %s", f.violation)
	}
}

// TestEnvelopeVerifier: envelopes of strangers, of another consensus group and of former lives are turned away, and a further life is told once.
func TestEnvelopeVerifier(t *testing.T) {
	f := newCluster(t, 7, 3, 1)
	m := f.voters[0].machine
	send := func(consensus, from, life uint64) (bool, error) {
		text, err := cbor.Marshal(Envelope{GroupID: consensus, From: from, Incarnation: life})
		if err != nil {
			t.Fatal(err)
		}
		_, news, err := m.verifier.open(text)
		return len(news) > 0, err
	}
	c := testBootstrap.GroupID()
	m.verifier.incarnations = map[uint64]uint64{}
	for _, tt := range []struct {
		consensus, from, life uint64
		news                  bool
		err                   error
	}{
		{c, 2, 5, true, nil}, {c, 2, 5, false, nil}, {c, 2, 4, false, errStaleIncarnation}, {c, 2, 7, true, nil}, {c, 3, 1, true, nil},
		{c + 1, 2, 9, false, errUnknownSender}, {c, 4, 1, false, errUnknownSender}, {c, 3, 0, false, errUnknownSender},
	} {
		if news, err := send(tt.consensus, tt.from, tt.life); news != tt.news || !errors.Is(err, tt.err) {
			t.Errorf("%+v: news %v, error %v", tt, news, err)
		}
	}
	text, err := cbor.Marshal(Envelope{GroupID: c, From: 2, Incarnation: 9, Incarnations: map[uint64]uint64{1: 3, 3: 6}})
	if err != nil {
		t.Fatal(err)
	}
	if err := m.Step(text); !errors.Is(err, ErrLostState) || !errors.Is(m.Step(nil), ErrLostState) {
		t.Errorf("error %v from one that another has heard of in a later life", err)
	}
	if _, err := New(0, Settings{Identity: Identity{1, 0}, Bootstrap: testBootstrap, Terms: policy.UsualTerms}, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("a decider without a life begins")
	}
}
