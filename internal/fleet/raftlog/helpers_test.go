package raftlog

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"

	"go.etcd.io/raft/v3/raftpb"
	"pgregory.net/rapid"

	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fsys"
)

const firstFile = filePrefix + "0000000000000001"

var bootstrap = consensus.Bootstrap{Voters: map[string]uint64{"a": 1, "b": 2, "c": 3}, InitialPolicy: []byte("first")}

// openLog opens a folder, and returns the size in bytes of a torn record that was dropped.
func openLog(t rapid.TB, dir string, compactionThreshold int64) (l *Log, dropped int) {
	t.Helper()
	l, dropped, err := open(dir, 1, fsys.OS{}, compactionThreshold)
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

// entries returns entries with the indices first to last, both included.
func entries(first, last, term uint64) (all []raftpb.Entry) {
	for i := first; i <= last; i++ {
		all = append(all, raftpb.Entry{Index: i, Term: term, Data: fmt.Append(nil, "entry ", i, " of ", term)})
	}
	return all
}

func snapshotAt(index, term uint64) *raftpb.Snapshot {
	return &raftpb.Snapshot{Data: []byte("all"), Metadata: raftpb.SnapshotMetadata{Index: index, Term: term}}
}

// batches returns successive batches of one voter, including overwritten entries and a snapshot.
func batches() []consensus.Batch {
	hardState := func(term, vote, commit uint64) *raftpb.HardState {
		return &raftpb.HardState{Term: term, Vote: vote, Commit: commit}
	}
	return []consensus.Batch{
		{HardState: hardState(1, 2, 0), Incarnations: map[uint64]uint64{2: 4}},
		{HardState: hardState(1, 2, 1), Entries: entries(2, 9, 1)},
		{HardState: hardState(2, 3, 4), Entries: entries(6, 7, 2)},
		{Snapshot: snapshotAt(5, 1)},
		{Entries: entries(8, 12, 2), Incarnations: map[uint64]uint64{3: 2}},
		{HardState: hardState(5, 0, 12)},
	}
}

// onlyFile returns the path of the single log file of a folder.
func onlyFile(t rapid.TB, dir string) string {
	t.Helper()
	found, err := filepath.Glob(filepath.Join(dir, filePrefix+"*"))
	if err != nil || len(found) != 1 {
		t.Fatalf("files %v, error %v", found, err)
	}
	return found[0]
}

// writeFile creates a file in a folder.
func writeFile(t rapid.TB, dir, name string, data []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// sameState reports whether two states are equal, ignoring the voter's own incarnation.
func sameState(a, b PersistentState) bool {
	a.Self.Incarnation, b.Self.Incarnation = 0, 0
	if len(a.Raft.Entries)+len(b.Raft.Entries) == 0 {
		a.Raft.Entries, b.Raft.Entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// writeExample writes the bootstrap and the batches. It returns the content of the file, and the file size and the
// state after each record.
func writeExample(t rapid.TB, dir string) (data []byte, sizes []int64, states []PersistentState) {
	t.Helper()
	l, _ := openLog(t, dir, defaultCompactionThreshold)
	recordState := func() {
		sizes = append(sizes, l.size)
		states = append(states, l.State())
	}
	if err := l.SaveBootstrap(bootstrap); err != nil {
		t.Fatal(err)
	}
	recordState()
	for _, b := range batches() {
		if err := l.Persist(b); err != nil {
			t.Fatal(err)
		}
		recordState()
	}
	closeLog(t, l)
	data, err := os.ReadFile(onlyFile(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	return data, sizes, states
}
