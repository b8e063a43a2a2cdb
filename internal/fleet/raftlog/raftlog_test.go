package raftlog

import (
	"errors"
	"fmt"
	"os"
	"testing"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"pgregory.net/rapid"

	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fsys"
)

// fullDisk is a file system with limited free space.
type fullDisk struct {
	fsys.FS
	freeBytes *int
}

// fullDiskFile is a file on a fullDisk.
type fullDiskFile struct {
	fsys.File
	freeBytes *int
}

var errDiskFull = errors.New("no space left")

func (d fullDisk) Create(path string) (fsys.File, error) {
	f, err := d.FS.Create(path)
	return fullDiskFile{f, d.freeBytes}, err
}

func (f fullDiskFile) Write(data []byte) (int, error) {
	n := min(len(data), *f.freeBytes)
	*f.freeBytes -= n
	if _, err := f.File.Write(data[:n]); err != nil || n == len(data) {
		return n, err
	}
	return n, errDiskFull
}

// TestFullDiskLosesNoAcknowledgedBatch checks that no batch is acknowledged on a full disk, also when it is retried.
// Once there is space again, all batches are acknowledged, and the next process reads them. If the process ends while
// the disk is full, the next one reads at least the acknowledged batches.
func TestFullDiskLosesNoAcknowledgedBatch(t *testing.T) {
	for space := 100; space < 3000; space += 13 {
		for _, endsFull := range []bool{false, true} {
			checkFullDisk(t, space, endsFull)
		}
	}
}

// checkFullDisk persists batches on a disk with space free bytes. Once the disk is full, the process ends if endsFull
// is set; otherwise space is freed.
func checkFullDisk(t *testing.T, space int, endsFull bool) {
	const compactionThreshold = 600
	dir, freeBytes := t.TempDir(), space
	l, _, err := open(dir, 1, fullDisk{fsys.OS{}, &freeBytes}, compactionThreshold)
	if err != nil {
		if !errors.Is(err, errDiskFull) {
			t.Fatal(err)
		}
		return
	}
	acknowledged := l.State() // updated below without reading the folder
	for _, b := range append(batches(), batches()[4:]...) {
		if err := l.Persist(b); err != nil {
			if !errors.Is(err, errDiskFull) || l.Persist(b) == nil {
				t.Errorf("space for %d bytes: first error %v, or the retry on the full disk succeeded", space, err)
			}
			if endsFull {
				break
			}
			freeBytes += 1 << 20
			if err := l.Persist(b); err != nil {
				t.Errorf("space for %d bytes: retry with free space failed: %v", space, err)
			}
		}
		r, err := newRecord(b)
		if err = errors.Join(err, acknowledged.applyRecord(r)); err != nil {
			t.Fatal(err)
		}
	}
	if !endsFull && !sameState(l.State(), acknowledged) {
		t.Errorf("space for %d bytes: state %+v, acknowledged %+v", space, l.State(), acknowledged)
	}
	closeLog(t, l)

	reopened, _ := openLog(t, dir, compactionThreshold)
	got := reopened.State()
	closeLog(t, reopened)
	switch {
	case !endsFull && !sameState(got, acknowledged),
		got.Raft.HardState.Term < acknowledged.Raft.HardState.Term,
		got.Raft.Snapshot.Metadata.Index < acknowledged.Raft.Snapshot.Metadata.Index:
		t.Errorf("space for %d bytes: read %+v, acknowledged %+v", space, got, acknowledged)
	}
}

// TestHoldsSameStateAsMemoryStorage checks the log against the MemoryStorage of the raft library, with the same
// randomly drawn batches, compactions and restarts.
func TestHoldsSameStateAsMemoryStorage(t *testing.T) {
	const compactionThreshold = 500
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "raftlog")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		l, _ := openLog(t, dir, compactionThreshold)
		defer func() { closeLog(t, l) }()
		model := raft.NewMemoryStorage()
		term := uint64(1)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			var b consensus.Batch
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				term += uint64(rapid.IntRange(0, 2).Draw(t, "terms"))
				b = drawHardState(model, term, step)
			case 1, 2:
				b = drawEntries(t, model, term)
			case 3:
				b = drawCompaction(t, model)
			case 4:
				closeLog(t, l)
				l, _ = openLog(t, dir, compactionThreshold)
			case 5:
				b = foreignSnapshot(t, model, term)
			}
			if b.HardState == nil && b.Entries == nil && b.Snapshot == nil {
				continue
			}
			if err := l.Persist(b); err != nil {
				t.Fatal(err)
			}
			checkModel(t, model, l.State().Raft)
		}
	})
}

func drawHardState(model *raft.MemoryStorage, term uint64, step int) consensus.Batch {
	first, _ := model.FirstIndex()
	state := raftpb.HardState{Term: term, Vote: uint64(step), Commit: first}
	_ = model.SetHardState(state)
	return consensus.Batch{HardState: &state}
}

func drawEntries(t *rapid.T, model *raft.MemoryStorage, term uint64) consensus.Batch {
	first, _ := model.FirstIndex()
	last, _ := model.LastIndex()
	from := rapid.Uint64Range(first, last+1).Draw(t, "from")
	added := entries(from, from+rapid.Uint64Range(0, 6).Draw(t, "more"), term)
	if err := model.Append(added); err != nil {
		t.Fatal(err)
	}
	return consensus.Batch{Entries: added}
}

// drawCompaction draws a snapshot of the model, and returns an empty batch if there is nothing to compact.
func drawCompaction(t *rapid.T, model *raft.MemoryStorage) consensus.Batch {
	first, _ := model.FirstIndex()
	last, _ := model.LastIndex()
	if last < first {
		return consensus.Batch{}
	}
	index := rapid.Uint64Range(first, last).Draw(t, "at")
	snapshot, err := model.CreateSnapshot(index, nil, []byte("all"))
	if err != nil {
		return consensus.Batch{} // there is a newer snapshot
	}
	if err := model.Compact(index); err != nil {
		t.Fatal(err)
	}
	return consensus.Batch{Snapshot: &snapshot}
}

// foreignSnapshot returns a snapshot of another voter, whose log is ahead.
func foreignSnapshot(t *rapid.T, model *raft.MemoryStorage, term uint64) consensus.Batch {
	last, _ := model.LastIndex()
	metadata := raftpb.SnapshotMetadata{Index: last + 3, Term: term}
	snapshot := raftpb.Snapshot{Data: []byte("another's"), Metadata: metadata}
	if err := model.ApplySnapshot(snapshot); err != nil {
		t.Fatal(err)
	}
	return consensus.Batch{Snapshot: &snapshot}
}

func checkModel(t *rapid.T, model *raft.MemoryStorage, got consensus.PersistentState) {
	first, _ := model.FirstIndex()
	last, _ := model.LastIndex()
	hardState, _, _ := model.InitialState()
	snapshot, _ := model.Snapshot()
	want := consensus.PersistentState{HardState: hardState, Snapshot: snapshot}
	if last >= first {
		var err error
		if want.Entries, err = model.Entries(first, last+1, 1<<30); err != nil {
			t.Fatal(err)
		}
	}
	gotIndex, wantIndex := got.Snapshot.Metadata.Index, snapshot.Metadata.Index
	if fmt.Sprint(got.Entries) != fmt.Sprint(want.Entries) || got.HardState != want.HardState || gotIndex != wantIndex {
		t.Fatalf("entries %v, hard state %v, snapshot index %d; want %v, %v, %d",
			got.Entries, got.HardState, gotIndex, want.Entries, want.HardState, wantIndex)
	}
}
