package raftlog

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"pgregory.net/rapid"

	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fsys"
)

var bootstrap = consensus.Bootstrap{Voters: map[string]uint64{"a": 1, "b": 2, "c": 3}, InitialPolicy: []byte("first")}

// begin opens a folder whose file is written anew once it has so many bytes.
func begin(t rapid.TB, dir string, grown int64) (*Log, int) {
	t.Helper()
	l, dropped, err := open(dir, 1, fsys.OS{}, grown)
	if err != nil {
		t.Fatal(err)
	}
	return l, dropped
}

func done(t rapid.TB, l *Log) {
	t.Helper()
	if err := l.Close(); err != nil {
		t.Error(err)
	}
}

// entries are those from index to index, of a term.
func entries(from, to, term uint64) (all []raftpb.Entry) {
	for i := from; i <= to; i++ {
		all = append(all, raftpb.Entry{Index: i, Term: term, Data: fmt.Append(nil, "entry ", i, " of ", term)})
	}
	return all
}

// batches are a decider's, with entries that are overwritten and a snapshot.
func batches() []consensus.Batch {
	state := func(term, vote, commit uint64) *raftpb.HardState {
		return &raftpb.HardState{Term: term, Vote: vote, Commit: commit}
	}
	return []consensus.Batch{
		{HardState: state(1, 2, 0), Incarnations: map[uint64]uint64{2: 4}},
		{HardState: state(1, 2, 1), Entries: entries(2, 9, 1)},
		{HardState: state(2, 3, 4), Entries: entries(6, 7, 2)},
		{Snapshot: &raftpb.Snapshot{Data: []byte("all"), Metadata: raftpb.SnapshotMetadata{Index: 5, Term: 1}}},
		{Entries: entries(8, 12, 2), Incarnations: map[uint64]uint64{3: 2}},
		{HardState: state(5, 0, 12)},
	}
}

// only is the path of the one file that a folder has.
func only(t rapid.TB, dir string) string {
	t.Helper()
	found, err := filepath.Glob(filepath.Join(dir, nameStart+"*"))
	if err != nil || len(found) != 1 {
		t.Fatalf("files %v, error %v", found, err)
	}
	return found[0]
}

// same tells whether two memories hold the same, but for their lives.
func same(a, b Memory) bool {
	a.Self.Incarnation, b.Self.Incarnation = 0, 0
	if len(a.Kept.Entries)+len(b.Kept.Entries) == 0 {
		a.Kept.Entries, b.Kept.Entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// written is a folder's file after each batch: how long it was, and what it held.
func written(t rapid.TB, dir string) (text []byte, sizes []int64, held []Memory) {
	t.Helper()
	l, _ := begin(t, dir, usualGrown)
	if err := l.Found(bootstrap); err != nil {
		t.Fatal(err)
	}
	note := func() { sizes, held = append(sizes, l.size), append(held, l.Memory()) }
	note()
	for _, b := range batches() {
		if err := l.Keep(b); err != nil {
			t.Fatal(err)
		}
		note()
	}
	done(t, l)
	text, err := os.ReadFile(only(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	return text, sizes, held
}

// TestCutAnywhere cuts the file at every byte: what was kept whole is there, nothing else is, and it goes on from there.
func TestCutAnywhere(t *testing.T) {
	text, sizes, held := written(t, t.TempDir())
	for cut := range len(text) + 1 {
		for _, zeros := range []int{0, 40} { // as a file that had got its length
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, nameStart+"0000000000000001"), append(bytes.Clone(text[:cut]), make([]byte, zeros)...), 0o600); err != nil {
				t.Fatal(err)
			}
			l, _, err := open(dir, 9, fsys.OS{}, usualGrown)
			last := -1
			for i, size := range sizes {
				if int64(cut) >= size {
					last = i
				}
			}
			if last < 0 {
				if err == nil {
					last, err = 0, l.Close() // of what it began with there is no size
					if got := l.Memory(); got.Bootstrap != nil || got.Self.ID != 1 || err != nil {
						t.Errorf("cut at %d: %+v, error %v", cut, got, err)
					}
				} else if !errors.Is(err, ErrSpoilt) {
					t.Errorf("cut at %d: %v", cut, err)
				}
				continue
			}
			if err != nil {
				t.Fatalf("cut at %d with %d zeros: %v", cut, zeros, err)
			}
			if zeros > 0 && last+1 < len(held) && same(l.Memory(), held[last+1]) {
				last++ // what was missing of it was zeros
			}
			if got := l.Memory(); !same(got, held[last]) || got.Self.Incarnation != 2 {
				t.Errorf("cut at %d: %+v, want %+v", cut, got, held[last])
			}
			if err := l.Keep(consensus.Batch{HardState: &raftpb.HardState{Term: 99}}); err != nil {
				t.Error(err)
			}
			done(t, l)
			again, _ := begin(t, dir, usualGrown)
			if got := again.Memory(); got.Kept.HardState.Term != 99 || len(got.Kept.Entries) != len(held[last].Kept.Entries) {
				t.Errorf("cut at %d, and gone on: %+v", cut, got)
			}
			done(t, again)
		}
	}
}

// TestSpoiltAnywhere changes each byte: but in the last record, which nobody may have heard of, that is found.
func TestSpoiltAnywhere(t *testing.T) {
	text, sizes, held := written(t, t.TempDir())
	before := sizes[len(sizes)-2] // where the last record begins
	for at := range text {
		spoilt := bytes.Clone(text)
		spoilt[at] ^= 0x20
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, nameStart+"0000000000000001"), spoilt, 0o600); err != nil {
			t.Fatal(err)
		}
		l, dropped, err := open(dir, 9, fsys.OS{}, usualGrown)
		switch {
		case err == nil && (int64(at) < before || dropped == 0 || !same(l.Memory(), held[len(held)-2])):
			t.Errorf("byte %d: taken, with %d dropped", at, dropped)
		case err != nil && !errors.Is(err, ErrSpoilt):
			t.Errorf("byte %d: %v", at, err)
		}
		if err == nil {
			done(t, l)
		}
	}
}

// full is a disk with little room.
type full struct {
	fsys.FS
	room *int
}

// fullFile is a file on it.
type fullFile struct {
	fsys.File
	room *int
}

var errFull = errors.New("no space left")

func (d full) Create(path string) (fsys.File, error) {
	f, err := d.FS.Create(path)
	return fullFile{f, d.room}, err
}

func (f fullFile) Write(text []byte) (int, error) {
	n := min(len(text), *f.room)
	*f.room -= n
	if _, err := f.File.Write(text[:n]); err != nil || n == len(text) {
		return n, err
	}
	return n, errFull
}

// TestFullDisk: once the disk is full nothing more is kept, as often as it is tried; once there is room again all is
// kept that could not be, and is there with what was kept before. A life that ends in between has what was kept, or
// more.
func TestFullDisk(t *testing.T) {
	for room := 100; room < 3000; room += 13 {
		for _, ends := range []bool{false, true} { // before there is room
			dir, left := t.TempDir(), room
			l, _, err := open(dir, 1, full{fsys.OS{}, &left}, 600)
			if err != nil {
				if !errors.Is(err, errFull) {
					t.Fatal(err)
				}
				continue
			}
			kept := l.Memory() // as it is to be, worked out beside the folder
			for _, b := range append(batches(), batches()[4:]...) {
				if err := l.Keep(b); err != nil {
					if !errors.Is(err, errFull) || l.Keep(b) == nil {
						t.Errorf("room for %d bytes: %v, and kept the next time", room, err)
					}
					if ends {
						break
					}
					left += 1 << 20
					if err := l.Keep(b); err != nil {
						t.Errorf("room for %d bytes, and more: %v", room, err)
					}
				}
				r, failed := recordOf(b)
				if failed = errors.Join(failed, kept.take(r)); failed != nil {
					t.Fatal(failed)
				}
			}
			if !ends && !same(l.Memory(), kept) {
				t.Errorf("room for %d bytes: holds %+v, kept %+v", room, l.Memory(), kept)
			}
			done(t, l)
			again, _ := begin(t, dir, 600)
			if got := again.Memory(); !ends && !same(got, kept) {
				t.Errorf("room for %d bytes: %+v, kept %+v", room, got, kept)
			} else if got.Kept.HardState.Term < kept.Kept.HardState.Term || got.Kept.Snapshot.Metadata.Index < kept.Kept.Snapshot.Metadata.Index {
				t.Errorf("room for %d bytes: %+v, was kept %+v", room, got, kept)
			}
			done(t, again)
		}
	}
}

// TestAsRaftKeeps drives the folder and raft's own storage with the same drawn batches, through rewrites and new lives.
func TestAsRaftKeeps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "raftlog")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		model := raft.NewMemoryStorage()
		l, _ := begin(t, dir, 500)
		defer func() { done(t, l) }()
		term := uint64(1)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			first, _ := model.FirstIndex()
			last, _ := model.LastIndex()
			var b consensus.Batch
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				term += uint64(rapid.IntRange(0, 2).Draw(t, "terms"))
				b.HardState = &raftpb.HardState{Term: term, Vote: uint64(step), Commit: first}
				_ = model.SetHardState(*b.HardState)
			case 1, 2:
				from := rapid.Uint64Range(first, last+1).Draw(t, "from")
				b.Entries = entries(from, from+rapid.Uint64Range(0, 6).Draw(t, "more"), term)
				if err := model.Append(b.Entries); err != nil {
					t.Fatal(err)
				}
			case 3:
				if last < first {
					continue
				}
				at := rapid.Uint64Range(first, last).Draw(t, "at")
				s, err := model.CreateSnapshot(at, nil, []byte("all"))
				if err != nil {
					continue // an older one
				}
				b.Snapshot = &s
				if err := model.Compact(at); err != nil {
					t.Fatal(err)
				}
			case 4:
				done(t, l)
				l, _ = begin(t, dir, 500)
				continue
			case 5:
				b.Snapshot = &raftpb.Snapshot{Data: []byte("another's"), Metadata: raftpb.SnapshotMetadata{Index: last + 3, Term: term}}
				if err := model.ApplySnapshot(*b.Snapshot); err != nil {
					t.Fatal(err)
				}
			}
			if err := l.Keep(b); err != nil {
				t.Fatal(err)
			}
			got := l.Memory().Kept
			first, _ = model.FirstIndex()
			last, _ = model.LastIndex()
			var want []raftpb.Entry
			if last >= first {
				if want, err = model.Entries(first, last+1, 1<<30); err != nil {
					t.Fatal(err)
				}
			}
			state, _, _ := model.InitialState()
			snapshot, _ := model.Snapshot()
			if fmt.Sprint(got.Entries) != fmt.Sprint(want) || got.HardState != state || got.Snapshot.Metadata.Index != snapshot.Metadata.Index {
				t.Fatalf("kept %v, %v, snapshot %d; want %v, %v, %d", got.Entries, got.HardState, got.Snapshot.Metadata.Index, want, state, snapshot.Metadata.Index)
			}
		}
	})
}

// TestFolder: one process at a time; a folder keeps its decider's id and counts its lives; of two whole files the newer counts; what
// was not finished goes; and what is no file of ours is an error.
func TestFolder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new")
	l, _ := begin(t, dir, usualGrown)
	if _, _, err := Open(dir, 7); err == nil {
		t.Error("two processes have one folder")
	}
	if err := l.Found(bootstrap); err != nil {
		t.Fatal(err)
	}
	done(t, l)
	if err := l.Found(bootstrap); err == nil {
		t.Error("a closed folder keeps")
	}
	former, err := os.ReadFile(only(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	l, _, err = Open(dir, 7)
	if err != nil {
		t.Fatal(err)
	}
	if m := l.Memory(); m.Self != (consensus.Identity{ID: 1, Incarnation: 2}) || m.Bootstrap.GroupID() != bootstrap.GroupID() {
		t.Errorf("%+v", m)
	}
	if err := l.Keep(batches()[0]); err != nil {
		t.Fatal(err)
	}
	done(t, l)
	for name, text := range map[string][]byte{nameStart + "0000000000000001": former, nameStart + "00000000000000ff" + newEnd: {1, 2}} {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	l, _, err = Open(dir, 7)
	if err != nil {
		t.Fatal(err)
	}
	if m := l.Memory(); m.Self.Incarnation != 3 || m.Kept.HardState.Term != 1 || m.Heard[2] != 4 {
		t.Errorf("%+v", m)
	}
	done(t, l)
	only(t, dir)
	if err := os.WriteFile(filepath.Join(dir, nameStart+"notes"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(dir, 7); err == nil {
		t.Error("a file of somebody else passed for one")
	}
}
