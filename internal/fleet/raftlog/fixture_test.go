package raftlog

import (
	"os"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"milletramp.example/milletramp/internal/fleet/consensus"
)

// TestFolderOfEarlierBuildIsRead opens a folder as the build f152def left it: with a bootstrap, states, entries that were overwritten,
// and a snapshot.
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
	want := PersistentState{Self: consensus.Identity{ID: 1, Incarnation: 2}, Incarnations: map[uint64]uint64{2: 4, 3: 2}, Bootstrap: &bootstrap,
		Raft: consensus.PersistentState{HardState: raftpb.HardState{Term: 5, Commit: 12}, Entries: entries(6, 12, 2),
			Snapshot: raftpb.Snapshot{Data: []byte("all"), Metadata: raftpb.SnapshotMetadata{Index: 5, Term: 1}}}}
	if got := l.State(); !sameState(got, want) || got.Self.Incarnation != 2 || dropped != 0 {
		t.Errorf("read as %+v, want %+v, %d bytes dropped", got, want, dropped)
	}
}
