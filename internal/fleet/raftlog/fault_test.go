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
	testCompactionThreshold = 400 // bytes after which a file of these tests is written anew
	maxAttempts             = 50
)

// storedFolder is a folder on a file system that fails, and what it has to hold.
type storedFolder struct {
	dir          string
	fs           *faultfs.FS
	log          *Log
	acknowledged PersistentState // all that was acknowledged
	attempted    PersistentState // with what was not acknowledged at the end
}

// open opens the folder, as often as it takes, unless the process is killed.
func (f *storedFolder) open(t rapid.TB) {
	for range maxAttempts {
		l, _, err := open(f.dir, 1, f.fs, testCompactionThreshold)
		if err == nil {
			f.log = l
			f.check(t, "opened", l.State(), f.acknowledged, f.attempted)
			f.acknowledged, f.attempted = l.State(), l.State()
			return
		}
		if f.fs.Killed() {
			return
		}
	}
	t.Fatalf("never opened")
}

// persist has a batch be kept, as often as it takes, unless the process is killed.
func (f *storedFolder) persist(t rapid.TB, b consensus.Batch) {
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
		f.check(t, "held", f.log.State(), f.acknowledged)
		if err == nil || f.fs.Killed() {
			return
		}
	}
	t.Fatalf("never kept: %v", err)
}

// endProcess ends the process, and reads what the next one would.
func (f *storedFolder) endProcess(t rapid.TB, power bool) {
	if err := f.fs.End(power); err != nil {
		t.Fatal(err)
	}
	if f.log != nil {
		closeLog(t, f.log)
	}
	l, _, err := open(f.dir, 1, fsys.OS{}, testCompactionThreshold)
	if err != nil {
		t.Fatalf("after the end: %v", err)
	}
	f.check(t, "read", l.State(), f.acknowledged, f.attempted)
	f.acknowledged, f.attempted, f.log = l.State(), l.State(), nil
	closeLog(t, l)
}

func (f *storedFolder) check(t rapid.TB, what string, got PersistentState, want ...PersistentState) {
	t.Helper()
	for _, w := range want {
		if w.Self.ID == 0 && got.Bootstrap == nil || sameState(got, w) { // before the first life there is nothing to hold
			return
		}
	}
	t.Fatalf("%s %+v, want one of %+v", what, got, want)
}

// TestAcknowledgedStateSurvivesEachFault has each operation of a short life fail, once or for a while, or be the one in which the
// process is killed, with and without a loss of power: what was acknowledged is read by the next life, and with a fault
// all of it is kept.
func TestAcknowledgedStateSurvivesEachFault(t *testing.T) {
	clean := faultfs.New(0)
	play := func(t *testing.T, fs *faultfs.FS, power bool) {
		f := &storedFolder{dir: t.TempDir(), fs: fs}
		f.open(t)
		for _, b := range batches() {
			if f.log != nil && !fs.Killed() {
				f.persist(t, b)
			}
		}
		f.endProcess(t, power)
	}
	play(t, clean, false)
	operations := clean.Operations()
	if operations < 3*len(batches()) {
		t.Fatalf("only %d operations, so no file was written anew", operations)
	}
	for _, tt := range []struct {
		name  string
		fault error
		count int
		power bool
	}{
		{"ENOSPC once", syscall.ENOSPC, 1, false},
		{"ENOSPC for a while", syscall.ENOSPC, 7, true},
		{"EIO once", syscall.EIO, 1, true},
		{"EIO for a while", syscall.EIO, 7, false},
		{"kill", nil, 0, false},
		{"loss of power", nil, 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for at := range operations {
				for seed := range uint64(2) {
					fs := faultfs.New(seed)
					if tt.fault == nil {
						fs.KillAfter(at)
					} else {
						fs.Fail(at, tt.count, tt.fault)
					}
					t.Run(fmt.Sprintf("operation %d seed %d", at, seed), func(t *testing.T) { play(t, fs, tt.power) })
				}
			}
		})
	}
}

// TestAcknowledgedStateSurvivesDrawnFaults draws lives with batches, faults, kills and losses of power.
func TestAcknowledgedStateSurvivesDrawnFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp("", "raftlog")
		if err != nil {
			t.Fatal(err)
		}
		defer os.RemoveAll(dir)
		f := &storedFolder{dir: dir}
		term := uint64(1)
		for range rapid.IntRange(1, 4).Draw(t, "lives") {
			f.fs = faultfs.New(rapid.Uint64().Draw(t, "seed"))
			f.open(t)
			for range rapid.IntRange(1, 12).Draw(t, "batches") {
				skip := rapid.IntRange(0, 6).Draw(t, "skip")
				switch rapid.IntRange(0, 9).Draw(t, "fault") {
				case 0, 1:
					f.fs.Fail(skip, rapid.IntRange(1, 9).Draw(t, "count"), syscall.ENOSPC)
				case 2, 3:
					f.fs.Fail(skip, rapid.IntRange(1, 9).Draw(t, "count"), syscall.EIO)
				case 4:
					f.fs.KillAfter(skip)
				}
				first := f.acknowledged.Raft.Snapshot.Metadata.Index + 1
				end := first + uint64(len(f.acknowledged.Raft.Entries))
				var b consensus.Batch
				switch rapid.IntRange(0, 3).Draw(t, "what") {
				case 0:
					term++
					b.HardState = &raftpb.HardState{Term: term, Vote: 1}
				case 1, 2:
					from := rapid.Uint64Range(first, end).Draw(t, "from")
					b.Entries, b.Incarnations = entries(from, from+rapid.Uint64Range(0, 5).Draw(t, "more"), term), map[uint64]uint64{2: term}
				case 3:
					at := rapid.Uint64Range(first, end).Draw(t, "at")
					b.Snapshot = &raftpb.Snapshot{Data: []byte("all"), Metadata: raftpb.SnapshotMetadata{Index: at, Term: term}}
				}
				if f.persist(t, b); f.fs.Killed() {
					break
				}
			}
			f.endProcess(t, rapid.Bool().Draw(t, "power"))
		}
	})
}
