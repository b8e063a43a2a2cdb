// Package raftlog stores what a voter of a consensus group must not forget: its identity, its group, the known
// incarnations of the other voters, and its part of the group's Raft log. It decides nothing; package consensus does.
//
// A Log owns one folder, which one process at a time has open, and in it one file of records. A record is one batch:
// its length, a checksum of the length, a checksum of the content, and the content as CBOR. A batch is written and
// synced before anything that rests on it is sent, so that only the last record can be torn. A torn record is dropped.
//
// A file that has grown is rewritten: a further file gets the whole state as its first record, and its name once that
// is durable. The newest file with a name holds all.
//
// A Log is safe for concurrent use, and starts no goroutines. Its errors: ErrLocked, where another process has the
// folder; ErrCorrupt, where a file has been changed anywhere but at its end; and errors of the file system, after which
// the same write is to be retried. Not detected are a file that was cut between two records and a folder that was
// restored from a copy; package consensus detects the latter by the incarnations.
package raftlog

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"go.etcd.io/raft/v3/raftpb"

	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fsys"
)

// ErrCorrupt says that a file holds, before its end, what was never written so. The voter must not take part with it,
// as it may have forgotten what it has acknowledged.
var ErrCorrupt = errors.New("the folder is spoilt: give this decider an empty one and add it anew")

// errClosed says that the log is closed.
var errClosed = errors.New("consensus folder: closed")

// wrapFolderError says of an error that it is one of the folder.
func wrapFolderError(err error) error { return fmt.Errorf("consensus folder: %w", err) }

// Log is an open folder.
type Log struct {
	dir                 string
	fs                  fsys.FS
	compactionThreshold int64 // bytes
	lockFile            *os.File

	mu                  sync.Mutex // guards what follows
	file                fsys.File
	fileNumber          uint64
	size                int64 // of the file, in bytes
	initialSize         int64 // of the file's first record, in bytes
	compactionRetrySize int64 // no compaction below this size, as one has failed
	state               PersistentState
	tailUnknown         bool // the file may end with a torn record, or a newer file may have its name: append no more
	closed              bool
}

// Open opens a folder for a further incarnation of its voter, and creates one where there is none. newID is the ID of
// a voter without any state. dropped is the size in bytes of a torn record that was dropped.
func Open(dir string, newID uint64) (l *Log, dropped int, err error) {
	return open(dir, newID, fsys.OS{}, defaultCompactionThreshold)
}

func open(dir string, newID uint64, fs fsys.FS, compactionThreshold int64) (l *Log, dropped int, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, 0, wrapFolderError(err)
	}
	lockFile, err := lockFolder(filepath.Join(dir, lockFileName))
	if err != nil {
		return nil, 0, err
	}
	l = &Log{
		dir:                 dir,
		fs:                  fs,
		compactionThreshold: compactionThreshold,
		lockFile:            lockFile,
		state:               emptyState(),
	}
	if dropped, err = l.recoverState(newID); err != nil {
		_ = lockFile.Close()
		return nil, 0, err
	}
	return l, dropped, nil
}

// State returns what the folder holds. The caller must not change the snapshot and the data of the entries.
func (l *Log) State() PersistentState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.clone()
}

// Persist writes a batch. After an error nothing that rests on the batch may be sent, though the next process may read
// it all the same. The same batch is to be persisted again until that succeeds: each attempt writes the whole state
// into a new file, as it is not known what the failed write or sync has left in the former one.
func (l *Log) Persist(b consensus.Batch) error {
	r, err := newRecord(b)
	if err != nil {
		return err
	}
	return l.append(r)
}

// SaveBootstrap writes which group the voter is in.
func (l *Log) SaveBootstrap(b consensus.Bootstrap) error { return l.append(record{Bootstrap: &b}) }

// Compact writes a snapshot, which replaces the entries up to its index.
func (l *Log) Compact(s raftpb.Snapshot) error { return l.Persist(consensus.Batch{Snapshot: &s}) }

// append writes a record, and rewrites the file where that is due.
func (l *Log) append(r record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errClosed
	}
	next, err := l.state.withRecord(r)
	if err != nil {
		return fmt.Errorf("consensus folder %s: %w", l.dir, err)
	}
	if l.tailUnknown {
		return l.rewrite(next)
	}
	data, err := encodeRecord(r)
	if err != nil {
		return err
	}
	if err := l.writeAndSync(data); err != nil {
		l.tailUnknown = true
		return wrapFolderError(err)
	}
	l.size += int64(len(data))
	l.state = next
	l.compactIfDue()
	return nil
}

// writeAndSync appends to the file.
func (l *Log) writeAndSync(data []byte) error {
	if _, err := l.file.Write(data); err != nil {
		return err
	}
	return l.file.Sync()
}

// Close closes the file, and unlocks the folder for another process.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return errors.Join(l.file.Close(), l.lockFile.Close())
}
