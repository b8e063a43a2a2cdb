// Package raftlog stores the persistent state of a voter of a consensus group: its identity, its group, the known
// incarnations of the other voters, and its copy of the group's Raft log. All decisions are made by package consensus.
//
// A Log owns one folder, which only one process at a time can open. The folder contains one file of records. A record
// is one batch: the length of the content, a checksum of the length, a checksum of the content, and the content as
// CBOR. A batch is written and synced before any message that depends on it is sent, so only the last record can be
// torn. A torn record is dropped.
//
// A file that has grown is rewritten: a new file gets the complete state as its first record, and is renamed to its
// final name once that record is durable. The newest file with a final name contains the complete state.
//
// A Log is safe for concurrent use, and starts no goroutines. It returns ErrLocked if another process has the folder
// open, ErrCorrupt if a file was changed anywhere but at its end, and errors of the file system, after which the caller
// retries the same write. A file truncated between two records and a folder restored from a copy are not detected here;
// package consensus detects the latter by the incarnations.
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

// ErrCorrupt is returned if a file contains invalid data before its last record. The voter must not take part with such
// a folder, as it may have lost votes and entries that it has acknowledged.
var ErrCorrupt = errors.New("the folder is corrupt: give this voter an empty folder and add it to the group again")

// errClosed is returned for writes to a closed log.
var errClosed = errors.New("consensus folder: closed")

// wrapFolderError adds the prefix of folder errors to an error.
func wrapFolderError(err error) error { return fmt.Errorf("consensus folder: %w", err) }

// Log is the open folder of a voter.
type Log struct {
	dir                 string
	fs                  fsys.FS
	compactionThreshold int64 // bytes
	lockFile            *os.File

	mu                  sync.Mutex // guards the fields below
	file                fsys.File
	fileNumber          uint64
	size                int64 // of the file, in bytes
	initialSize         int64 // of the file's first record, in bytes
	compactionRetrySize int64 // no compaction up to this size, in bytes, as one has failed
	state               PersistentState
	tailUnknown         bool // the file may end with a torn record, or a newer file may exist: do not append
	closed              bool
}

// Open opens the folder of a voter for its next incarnation, and creates the folder if it does not exist. A voter
// without any state gets the ID newID. dropped is the size in bytes of a torn record that was dropped.
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

// State returns the stored state. The caller must not change the snapshot and the data of the entries.
func (l *Log) State() PersistentState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.clone()
}

// Persist writes a batch. After an error no message that depends on the batch may be sent, although the next process
// may read the batch. The caller persists the same batch again until that succeeds. Each further attempt writes the
// complete state to a new file, as the failed write or sync may have left any content in the previous one.
func (l *Log) Persist(b consensus.Batch) error {
	r, err := newRecord(b)
	if err != nil {
		return err
	}
	return l.append(r)
}

// SaveBootstrap writes the group that the voter is in.
func (l *Log) SaveBootstrap(b consensus.Bootstrap) error { return l.append(record{Bootstrap: &b}) }

// Compact writes a snapshot, which replaces the entries up to its index.
func (l *Log) Compact(s raftpb.Snapshot) error { return l.Persist(consensus.Batch{Snapshot: &s}) }

// append writes a record, and rewrites the file if compaction is due.
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

// writeAndSync appends data to the file and syncs it.
func (l *Log) writeAndSync(data []byte) error {
	if _, err := l.file.Write(data); err != nil {
		return err
	}
	return l.file.Sync()
}

// Close closes the file and unlocks the folder.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	return errors.Join(l.file.Close(), l.lockFile.Close())
}
