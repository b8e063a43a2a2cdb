package raftlog

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fsys"
)

// TestTruncatedFileKeepsCompleteRecords truncates the file at every byte. It checks that exactly the complete records
// are read, and that later batches are stored.
func TestTruncatedFileKeepsCompleteRecords(t *testing.T) {
	data, sizes, states := writeExample(t, t.TempDir())
	for cut := range len(data) + 1 {
		for _, zeros := range []int{0, 40} { // zeros: a crash extended the file without writing its content
			dir := t.TempDir()
			writeFile(t, dir, firstFile, append(bytes.Clone(data[:cut]), make([]byte, zeros)...))
			name := fmt.Sprintf("truncated at %d, followed by %d zeros", cut, zeros)
			last := lastComplete(sizes, cut)
			if last < 0 {
				checkWithoutBootstrap(t, name, dir)
				continue
			}
			checkTruncated(t, name, dir, states[last:min(last+2, len(states))], zeros > 0)
		}
	}
}

// lastComplete returns the index in sizes of the last complete record of a file with a length, or -1 if there is none.
func lastComplete(sizes []int64, length int) int {
	last := -1
	for i, size := range sizes {
		if int64(length) >= size {
			last = i
		}
	}
	return last
}

// checkWithoutBootstrap opens a folder whose file was truncated before the end of the bootstrap record. The first
// record, whose size is not known, may be complete.
func checkWithoutBootstrap(t *testing.T, name, dir string) {
	t.Helper()
	l, _, err := open(dir, 9, fsys.OS{}, defaultCompactionThreshold)
	if err != nil {
		if !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: %v", name, err)
		}
		return
	}
	err = l.Close()
	if got := l.State(); got.Bootstrap != nil || got.Self.ID != 1 || err != nil {
		t.Errorf("%s: %+v, error %v", name, got, err)
	}
}

// checkTruncated opens a folder that must contain the first of the states, and persists a further batch. With zeros
// after the cut it may contain the second state instead, if the missing end of that record was all zeros.
func checkTruncated(t *testing.T, name, dir string, states []PersistentState, zeros bool) {
	t.Helper()
	l, _, err := open(dir, 9, fsys.OS{}, defaultCompactionThreshold)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	want := states[0]
	if zeros && len(states) > 1 && sameState(l.State(), states[1]) {
		want = states[1]
	}
	if got := l.State(); !sameState(got, want) || got.Self.Incarnation != 2 {
		t.Errorf("%s: %+v, want %+v", name, got, want)
	}
	if err := l.Persist(consensus.Batch{HardState: &raftpb.HardState{Term: 99}}); err != nil {
		t.Error(err)
	}
	closeLog(t, l)
	reopened, _ := openLog(t, dir, defaultCompactionThreshold)
	if got := reopened.State().Raft; got.HardState.Term != 99 || len(got.Entries) != len(want.Raft.Entries) {
		t.Errorf("%s: state after a further batch: %+v", name, got)
	}
	closeLog(t, reopened)
}

// TestCorruptionBeforeLastRecordIsDetected changes each byte of the file. A change in the last record may be taken for
// a torn record, which was never acknowledged. A change anywhere else must return ErrCorrupt.
func TestCorruptionBeforeLastRecordIsDetected(t *testing.T) {
	data, sizes, states := writeExample(t, t.TempDir())
	lastRecord := sizes[len(sizes)-2] // where it begins
	withoutLast := states[len(states)-2]
	for offset := range data {
		corrupt := bytes.Clone(data)
		corrupt[offset] ^= 0x20
		dir := t.TempDir()
		writeFile(t, dir, firstFile, corrupt)
		l, dropped, err := open(dir, 9, fsys.OS{}, defaultCompactionThreshold)
		if err != nil {
			if !errors.Is(err, ErrCorrupt) {
				t.Errorf("byte %d: %v", offset, err)
			}
			continue
		}
		if int64(offset) < lastRecord || dropped == 0 || !sameState(l.State(), withoutLast) {
			t.Errorf("byte %d: corruption not detected, %d bytes dropped", offset, dropped)
		}
		closeLog(t, l)
	}
}

// TestFolderIsOpenInOneProcess checks that an open folder cannot be opened again, and that a closed log rejects writes.
func TestFolderIsOpenInOneProcess(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new")
	l, _ := openLog(t, dir, defaultCompactionThreshold)
	if _, _, err := Open(dir, 7); !errors.Is(err, ErrLocked) {
		t.Errorf("opening a second time: error %v, want %v", err, ErrLocked)
	}
	if err := l.SaveBootstrap(bootstrap); err != nil {
		t.Fatal(err)
	}
	closeLog(t, l)
	if err := l.SaveBootstrap(bootstrap); !errors.Is(err, errClosed) {
		t.Errorf("writing to a closed log: error %v, want %v", err, errClosed)
	}
}

// TestReopenedFolderKeepsIDAndCountsIncarnations checks that a folder keeps its voter's ID and group and counts
// incarnations. It also checks that the newer of two complete files is read, and that old and incomplete files are
// removed.
func TestReopenedFolderKeepsIDAndCountsIncarnations(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "new")
	l, _ := openLog(t, dir, defaultCompactionThreshold)
	if err := l.SaveBootstrap(bootstrap); err != nil {
		t.Fatal(err)
	}
	closeLog(t, l)
	previousFile, err := os.ReadFile(onlyFile(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	l, _, err = Open(dir, 7)
	if err != nil {
		t.Fatal(err)
	}
	second := consensus.Identity{ID: 1, Incarnation: 2}
	if got := l.State(); got.Self != second || got.Bootstrap.GroupID() != bootstrap.GroupID() {
		t.Errorf("%+v", got)
	}
	if err := l.Persist(batches()[0]); err != nil {
		t.Fatal(err)
	}
	closeLog(t, l)
	writeFile(t, dir, firstFile, previousFile)
	writeFile(t, dir, filePrefix+"00000000000000ff"+tempSuffix, []byte{1, 2})
	l, _, err = Open(dir, 7)
	if err != nil {
		t.Fatal(err)
	}
	if got := l.State(); got.Self.Incarnation != 3 || got.Raft.HardState.Term != 1 || got.Incarnations[2] != 4 {
		t.Errorf("%+v", got)
	}
	closeLog(t, l)
	onlyFile(t, dir)
}

// TestUnknownFileIsAnError checks that a file with the prefix of log files but without a number is an error.
func TestUnknownFileIsAnError(t *testing.T) {
	dir := t.TempDir()
	l, _ := openLog(t, dir, defaultCompactionThreshold)
	closeLog(t, l)
	writeFile(t, dir, filePrefix+"notes", nil)
	if _, _, err := Open(dir, 7); err == nil {
		t.Error("a foreign file with the prefix of log files was accepted")
	}
}

// TestFolderOfEarlierBuildIsRead opens a folder written by build f152def, with a bootstrap, hard states, overwritten
// entries and a snapshot.
func TestFolderOfEarlierBuildIsRead(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/f152def")); err != nil {
		t.Fatal(err)
	}
	l, dropped, err := Open(dir, 9)
	if err != nil {
		t.Fatal(err)
	}
	defer closeLog(t, l)
	want := PersistentState{
		Self:         consensus.Identity{ID: 1, Incarnation: 2},
		Bootstrap:    &bootstrap,
		Incarnations: map[uint64]uint64{2: 4, 3: 2},
		Raft: consensus.PersistentState{
			HardState: raftpb.HardState{Term: 5, Commit: 12},
			Entries:   entries(6, 12, 2),
			Snapshot:  *snapshotAt(5, 1),
		},
	}
	if got := l.State(); !sameState(got, want) || got.Self.Incarnation != 2 || dropped != 0 {
		t.Errorf("read as %+v, want %+v, %d bytes dropped", got, want, dropped)
	}
}
