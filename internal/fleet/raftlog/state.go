package raftlog

import (
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"milletramp.example/milletramp/internal/fleet/consensus"
)

// PersistentState is the complete state that a voter stores in its folder.
type PersistentState struct {
	Self         consensus.Identity
	Bootstrap    *consensus.Bootstrap // nil: the voter is in no group yet
	Incarnations map[uint64]uint64    // highest known incarnations of other voters, by ID
	Raft         consensus.PersistentState
}

// emptyState returns the state of a voter with an empty folder.
func emptyState() PersistentState { return PersistentState{Incarnations: map[uint64]uint64{}} }

// clone returns a copy that shares the content of the entries and of the snapshot, which is never changed in place.
func (s PersistentState) clone() PersistentState {
	s.Raft.Entries = slices.Clone(s.Raft.Entries)
	s.Incarnations = maps.Clone(s.Incarnations)
	return s
}

// withRecord returns the state with a record applied. The receiver is unchanged.
func (s PersistentState) withRecord(r record) (PersistentState, error) {
	s.Incarnations = maps.Clone(s.Incarnations)
	err := s.applyRecord(r)
	return s, err
}

// applyRecord applies a record. After an error the state must not be used.
func (s *PersistentState) applyRecord(r record) error {
	if r.Self != nil {
		s.Self = *r.Self
	}
	if r.Bootstrap != nil {
		s.Bootstrap = r.Bootstrap
	}
	for id, incarnation := range r.Incarnations {
		s.Incarnations[id] = max(s.Incarnations[id], incarnation)
	}
	if err := s.applyHardState(r.HardState); err != nil {
		return err
	}
	if err := s.applySnapshot(r.Snapshot); err != nil {
		return err
	}
	return s.applyEntries(r.Entries)
}

// applyHardState replaces the hard state, unless data is nil.
func (s *PersistentState) applyHardState(data []byte) error {
	if data == nil {
		return nil
	}
	s.Raft.HardState = raftpb.HardState{}
	return s.Raft.HardState.Unmarshal(data)
}

// applySnapshot replaces the snapshot and drops the entries that it covers, unless data is nil.
func (s *PersistentState) applySnapshot(data []byte) error {
	if data == nil {
		return nil
	}
	s.Raft.Snapshot = raftpb.Snapshot{}
	if err := s.Raft.Snapshot.Unmarshal(data); err != nil {
		return err
	}
	s.Raft.Entries = entriesAfter(s.Raft.Entries, s.Raft.Snapshot.Metadata.Index)
	return nil
}

// applyEntries appends entries. They replace the existing entries from the first one's index on.
func (s *PersistentState) applyEntries(encoded [][]byte) error {
	if len(encoded) == 0 {
		return nil
	}
	entries := make([]raftpb.Entry, len(encoded))
	for i, data := range encoded {
		if err := entries[i].Unmarshal(data); err != nil {
			return err
		}
	}
	first := entries[0].Index
	preceding := entriesBefore(s.Raft.Entries, first)
	last := s.Raft.Snapshot.Metadata.Index
	if len(preceding) > 0 {
		last = preceding[len(preceding)-1].Index
	}
	if first > last+1 && last > 0 {
		return fmt.Errorf("entry %d follows entry %d", first, last)
	}
	s.Raft.Entries = append(slices.Clip(preceding), entries...)
	return nil
}

// entriesBefore returns the entries with a smaller index.
func entriesBefore(entries []raftpb.Entry, index uint64) []raftpb.Entry {
	i := slices.IndexFunc(entries, func(e raftpb.Entry) bool { return e.Index >= index })
	if i < 0 {
		return entries
	}
	return entries[:i]
}

// entriesAfter returns the entries with a larger index.
func entriesAfter(entries []raftpb.Entry, index uint64) []raftpb.Entry {
	i := slices.IndexFunc(entries, func(e raftpb.Entry) bool { return e.Index > index })
	if i < 0 {
		return nil
	}
	return entries[i:]
}
