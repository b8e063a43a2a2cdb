package raftlog

import (
	"fmt"
	"os"
	"syscall"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"pgregory.net/rapid"

	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fsys"
	"milletramp.example/milletramp/internal/fsys/faultfs"
)

const (
	testCompactionThreshold = 400 // bytes
	maxAttempts             = 50
)

// faultyFolder is a folder on a file system with faults, with the state that it must contain.
type faultyFolder struct {
	dir          string
	fs           *faultfs.FS
	log          *Log
	acknowledged PersistentState
	attempted    PersistentState // acknowledged with the last written batch applied
}

// open opens the folder, with retries until it succeeds or the process is killed.
func (f *faultyFolder) open(t rapid.TB) {
	for range maxAttempts {
		l, _, err := open(f.dir, 1, f.fs, testCompactionThreshold)
		if err == nil {
			f.log = l
			f.check(t, "state after opening:", l.State(), f.acknowledged, f.attempted)
			f.acknowledged, f.attempted = l.State(), l.State()
			return
		}
		if f.fs.Killed() {
			return
		}
	}
	t.Fatalf("folder not opened after all attempts")
}

// persist persists a batch, with retries until it succeeds or the process is killed.
func (f *faultyFolder) persist(t rapid.TB, b consensus.Batch) {
	r, err := newRecord(b)
	if err != nil {
		t.Fatal(err)
	}
	if f.attempted, err = f.acknowledged.withRecord(r); err != nil {
		t.Fatal(err)
	}
	for range maxAttempts {
		if err = f.log.Persist(b); err == nil {
			f.acknowledged = f.attempted
		}
		f.check(t, "state after persisting:", f.log.State(), f.acknowledged)
		if err == nil || f.fs.Killed() {
			return
		}
	}
	t.Fatalf("batch not persisted after all attempts: %v", err)
}

// endProcess ends the process, and checks the state that the next process reads.
func (f *faultyFolder) endProcess(t rapid.TB, powerLoss bool) {
	if err := f.fs.EndProcess(powerLoss); err != nil {
		t.Fatal(err)
	}
	if f.log != nil {
		closeLog(t, f.log)
	}
	l, _, err := open(f.dir, 1, fsys.OS{}, testCompactionThreshold)
	if err != nil {
		t.Fatalf("opening after the end of the process: %v", err)
	}
	f.check(t, "state after the end of the process:", l.State(), f.acknowledged, f.attempted)
	f.acknowledged, f.attempted, f.log = l.State(), l.State(), nil
	closeLog(t, l)
}

// check fails the test unless got is one of the wanted states. A folder that no process has opened yet must be empty.
func (f *faultyFolder) check(t rapid.TB, what string, got PersistentState, want ...PersistentState) {
	t.Helper()
	for _, w := range want {
		if w.Self.ID == 0 && got.Bootstrap == nil || sameState(got, w) {
			return
		}
	}
	t.Fatalf("%s %+v, want one of %+v", what, got, want)
}

// persistBatches opens a new folder, persists the batches until the process is killed, and ends the process.
func persistBatches(t *testing.T, fs *faultfs.FS, powerLoss bool) {
	f := &faultyFolder{dir: t.TempDir(), fs: fs}
	f.open(t)
	for _, b := range batches() {
		if f.log != nil && !fs.Killed() {
			f.persist(t, b)
		}
	}
	f.endProcess(t, powerLoss)
}

// TestAcknowledgedStateSurvivesEachFault makes each operation of a short run fail, once or for several operations, or
// kills the process during it, with and without a loss of power. It checks that the next process reads all acknowledged
// state, and that all batches are acknowledged in the end after a fault without a kill.
func TestAcknowledgedStateSurvivesEachFault(t *testing.T) {
	clean := faultfs.New(0)
	persistBatches(t, clean, false)
	operations := clean.Operations()
	if operations < 3*len(batches()) {
		t.Fatalf("only %d operations, so no file was compacted", operations)
	}
	for _, tt := range []struct {
		name      string
		fault     error // nil: the process is killed
		count     int
		powerLoss bool
	}{
		{"ENOSPC once", syscall.ENOSPC, 1, false},
		{"ENOSPC repeatedly", syscall.ENOSPC, 7, true},
		{"EIO once", syscall.EIO, 1, true},
		{"EIO repeatedly", syscall.EIO, 7, false},
		{"kill", nil, 0, false},
		{"loss of power", nil, 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for operation := range operations {
				for seed := range uint64(2) {
					fs := faultfs.New(seed)
					if tt.fault == nil {
						fs.KillAfter(operation)
					} else {
						fs.Fail(operation, tt.count, tt.fault)
					}
					t.Run(fmt.Sprintf("operation %d seed %d", operation, seed), func(t *testing.T) {
						persistBatches(t, fs, tt.powerLoss)
					})
				}
			}
		})
	}
}

// TestAcknowledgedStateSurvivesDrawnFaults checks that acknowledged state survives randomly drawn sequences of
// processes, batches, faults, kills and losses of power.
func TestAcknowledgedStateSurvivesDrawnFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "raftlog")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		f := &faultyFolder{dir: dir}
		term := uint64(1)
		for range rapid.IntRange(1, 4).Draw(t, "processes") {
			f.fs = faultfs.New(rapid.Uint64().Draw(t, "seed"))
			f.open(t)
			for range rapid.IntRange(1, 12).Draw(t, "batches") {
				drawFault(t, f.fs)
				if f.persist(t, drawBatch(t, f.acknowledged.Raft, &term)); f.fs.Killed() {
					break
				}
			}
			f.endProcess(t, rapid.Bool().Draw(t, "power"))
		}
	})
}

// drawFault draws, in half of the cases, an operation at which the file system fails or the process is killed.
func drawFault(t *rapid.T, fs *faultfs.FS) {
	operation := rapid.IntRange(0, 6).Draw(t, "skip")
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0, 1:
		fs.Fail(operation, rapid.IntRange(1, 9).Draw(t, "count"), syscall.ENOSPC)
	case 2, 3:
		fs.Fail(operation, rapid.IntRange(1, 9).Draw(t, "count"), syscall.EIO)
	case 4:
		fs.KillAfter(operation)
	}
}

// drawBatch draws a batch that is valid after a state.
func drawBatch(t *rapid.T, state consensus.PersistentState, term *uint64) (b consensus.Batch) {
	first := state.Snapshot.Metadata.Index + 1
	end := first + uint64(len(state.Entries))
	switch rapid.IntRange(0, 3).Draw(t, "what") {
	case 0:
		*term++
		b.HardState = &raftpb.HardState{Term: *term, Vote: 1}
	case 1, 2:
		from := rapid.Uint64Range(first, end).Draw(t, "from")
		b.Entries = entries(from, from+rapid.Uint64Range(0, 5).Draw(t, "more"), *term)
		b.Incarnations = map[uint64]uint64{2: *term}
	case 3:
		b.Snapshot = snapshotAt(rapid.Uint64Range(first, end).Draw(t, "at"), *term)
	}
	return b
}
