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

// openLog opens a folder whose file is written anew once it has so many bytes.
func openLog(t rapid.TB, dir string, grown int64) (*Log, int) {
	t.Helper()
	l, dropped, err := open(dir, 1, fsys.OS{}, grown)
	if err != nil {
		t.Fatal(err)
	}
	return l, dropped
}

func closeLog(t rapid.TB, l *Log) {
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

// onlyFile is the path of the one file that a folder has.
func onlyFile(t rapid.TB, dir string) string {
	t.Helper()
	found, err := filepath.Glob(filepath.Join(dir, filePrefix+"*"))
	if err != nil || len(found) != 1 {
		t.Fatalf("files %v, error %v", found, err)
	}
	return found[0]
}

// sameState tells whether two memories hold the same, but for their lives.
func sameState(a, b PersistentState) bool {
	a.Self.Incarnation, b.Self.Incarnation = 0, 0
	if len(a.Raft.Entries)+len(b.Raft.Entries) == 0 {
		a.Raft.Entries, b.Raft.Entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// writeExample is a folder's file after each batch: how long it was, and what it held.
func writeExample(t rapid.TB, dir string) (text []byte, sizes []int64, held []PersistentState) {
	t.Helper()
	l, _ := openLog(t, dir, defaultCompactionThreshold)
	if err := l.SaveBootstrap(bootstrap); err != nil {
		t.Fatal(err)
	}
	note := func() { sizes, held = append(sizes, l.size), append(held, l.State()) }
	note()
	for _, b := range batches() {
		if err := l.Persist(b); err != nil {
			t.Fatal(err)
		}
		note()
	}
	closeLog(t, l)
	text, err := os.ReadFile(onlyFile(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	return text, sizes, held
}

// TestTruncatedFileKeepsCompleteRecords cuts the file at every byte: what was kept whole is there, nothing else is, and it goes on from there.
func TestTruncatedFileKeepsCompleteRecords(t *testing.T) {
	text, sizes, held := writeExample(t, t.TempDir())
	for cut := range len(text) + 1 {
		for _, zeros := range []int{0, 40} { // as a file that had got its length
			dir := t.TempDir()
			if err := os.WriteFile(filepath.Join(dir, filePrefix+"0000000000000001"), append(bytes.Clone(text[:cut]), make([]byte, zeros)...), 0o600); err != nil {
				t.Fatal(err)
			}
			l, _, err := open(dir, 9, fsys.OS{}, defaultCompactionThreshold)
			last := -1
			for i, size := range sizes {
				if int64(cut) >= size {
					last = i
				}
			}
			if last < 0 {
				if err == nil {
					last, err = 0, l.Close() // of what it began with there is no size
					if got := l.State(); got.Bootstrap != nil || got.Self.ID != 1 || err != nil {
						t.Errorf("cut at %d: %+v, error %v", cut, got, err)
					}
				} else if !errors.Is(err, ErrCorrupt) {
					t.Errorf("cut at %d: %v", cut, err)
				}
				continue
			}
			if err != nil {
				t.Fatalf("cut at %d with %d zeros: %v", cut, zeros, err)
			}
			if zeros > 0 && last+1 < len(held) && sameState(l.State(), held[last+1]) {
				last++ // what was missing of it was zeros
			}
			if got := l.State(); !sameState(got, held[last]) || got.Self.Incarnation != 2 {
				t.Errorf("cut at %d: %+v, want %+v", cut, got, held[last])
			}
			if err := l.Persist(consensus.Batch{HardState: &raftpb.HardState{Term: 99}}); err != nil {
				t.Error(err)
			}
			closeLog(t, l)
			again, _ := openLog(t, dir, defaultCompactionThreshold)
			if got := again.State(); got.Raft.HardState.Term != 99 || len(got.Raft.Entries) != len(held[last].Raft.Entries) {
				t.Errorf("cut at %d, and gone on: %+v", cut, got)
			}
			closeLog(t, again)
		}
	}
}

// TestCorruptionBeforeLastRecordIsDetected changes each byte: but in the last record, which nobody may have heard of, that is found.
func TestCorruptionBeforeLastRecordIsDetected(t *testing.T) {
	text, sizes, held := writeExample(t, t.TempDir())
	before := sizes[len(sizes)-2] // where the last record begins
	for at := range text {
		spoilt := bytes.Clone(text)
		spoilt[at] ^= 0x20
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, filePrefix+"0000000000000001"), spoilt, 0o600); err != nil {
			t.Fatal(err)
		}
		l, dropped, err := open(dir, 9, fsys.OS{}, defaultCompactionThreshold)
		switch {
		case err == nil && (int64(at) < before || dropped == 0 || !sameState(l.State(), held[len(held)-2])):
			t.Errorf("byte %d: taken, with %d dropped", at, dropped)
		case err != nil && !errors.Is(err, ErrCorrupt):
			t.Errorf("byte %d: %v", at, err)
		}
		if err == nil {
			closeLog(t, l)
		}
	}
}

// fullDisk is a disk with little room.
type fullDisk struct {
	fsys.FS
	freeBytes *int
}

// fullDiskFile is a file on it.
type fullDiskFile struct {
	fsys.File
	freeBytes *int
}

var errDiskFull = errors.New("no space left")

func (d fullDisk) Create(path string) (fsys.File, error) {
	f, err := d.FS.Create(path)
	return fullDiskFile{f, d.freeBytes}, err
}

func (f fullDiskFile) Write(text []byte) (int, error) {
	n := min(len(text), *f.freeBytes)
	*f.freeBytes -= n
	if _, err := f.File.Write(text[:n]); err != nil || n == len(text) {
		return n, err
	}
	return n, errDiskFull
}

// TestFullDiskLosesNoAcknowledgedBatch: once the disk is full nothing more is kept, as often as it is tried; once there is room again all is
// kept that could not be, and is there with what was kept before. A life that ends in between has what was kept, or
// more.
func TestFullDiskLosesNoAcknowledgedBatch(t *testing.T) {
	for room := 100; room < 3000; room += 13 {
		for _, ends := range []bool{false, true} { // before there is room
			dir, left := t.TempDir(), room
			l, _, err := open(dir, 1, fullDisk{fsys.OS{}, &left}, 600)
			if err != nil {
				if !errors.Is(err, errDiskFull) {
					t.Fatal(err)
				}
				continue
			}
			kept := l.State() // as it is to be, worked out beside the folder
			for _, b := range append(batches(), batches()[4:]...) {
				if err := l.Persist(b); err != nil {
					if !errors.Is(err, errDiskFull) || l.Persist(b) == nil {
						t.Errorf("room for %d bytes: %v, and kept the next time", room, err)
					}
					if ends {
						break
					}
					left += 1 << 20
					if err := l.Persist(b); err != nil {
						t.Errorf("room for %d bytes, and more: %v", room, err)
					}
				}
				r, failed := newRecord(b)
				if failed = errors.Join(failed, kept.applyRecord(r)); failed != nil {
					t.Fatal(failed)
				}
			}
			if !ends && !sameState(l.State(), kept) {
				t.Errorf("room for %d bytes: holds %+v, kept %+v", room, l.State(), kept)
			}
			closeLog(t, l)
			again, _ := openLog(t, dir, 600)
			if got := again.State(); !ends && !sameState(got, kept) {
				t.Errorf("room for %d bytes: %+v, kept %+v", room, got, kept)
			} else if got.Raft.HardState.Term < kept.Raft.HardState.Term || got.Raft.Snapshot.Metadata.Index < kept.Raft.Snapshot.Metadata.Index {
				t.Errorf("room for %d bytes: %+v, was kept %+v", room, got, kept)
			}
			closeLog(t, again)
		}
	}
}

// TestHoldsSameStateAsMemoryStorage drives the folder and raft's own storage with the same drawn batches, through rewrites and new lives.
func TestHoldsSameStateAsMemoryStorage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "raftlog")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		model := raft.NewMemoryStorage()
		l, _ := openLog(t, dir, 500)
		defer func() { closeLog(t, l) }()
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
				closeLog(t, l)
				l, _ = openLog(t, dir, 500)
				continue
			case 5:
				b.Snapshot = &raftpb.Snapshot{Data: []byte("another's"), Metadata: raftpb.SnapshotMetadata{Index: last + 3, Term: term}}
				if err := model.ApplySnapshot(*b.Snapshot); err != nil {
					t.Fatal(err)
				}
			}
			if err := l.Persist(b); err != nil {
				t.Fatal(err)
			}
			got := l.State().Raft
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
	l, _ := openLog(t, dir, defaultCompactionThreshold)
	if _, _, err := Open(dir, 7); err == nil {
		t.Error("two processes have one folder")
	}
	if err := l.SaveBootstrap(bootstrap); err != nil {
		t.Fatal(err)
	}
	closeLog(t, l)
	if err := l.SaveBootstrap(bootstrap); err == nil {
		t.Error("a closed folder keeps")
	}
	former, err := os.ReadFile(onlyFile(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	l, _, err = Open(dir, 7)
	if err != nil {
		t.Fatal(err)
	}
	if m := l.State(); m.Self != (consensus.Identity{ID: 1, Incarnation: 2}) || m.Bootstrap.GroupID() != bootstrap.GroupID() {
		t.Errorf("%+v", m)
	}
	if err := l.Persist(batches()[0]); err != nil {
		t.Fatal(err)
	}
	closeLog(t, l)
	for name, text := range map[string][]byte{filePrefix + "0000000000000001": former, filePrefix + "00000000000000ff" + tempSuffix: {1, 2}} {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	l, _, err = Open(dir, 7)
	if err != nil {
		t.Fatal(err)
	}
	if m := l.State(); m.Self.Incarnation != 3 || m.Raft.HardState.Term != 1 || m.Incarnations[2] != 4 {
		t.Errorf("%+v", m)
	}
	closeLog(t, l)
	onlyFile(t, dir)
	if err := os.WriteFile(filepath.Join(dir, filePrefix+"notes"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(dir, 7); err == nil {
		t.Error("a file of somebody else passed for one")
	}
}
