package raftlog

import (
	"errors"

	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fsys"
)

// defaultCompactionThreshold is the size in bytes above which a file is rewritten, if it has also grown to more than
// twice its initial size.
const defaultCompactionThreshold = 4 << 20

// compactIfDue rewrites a file that has grown. If that fails, the file contains all records and grows until the next
// attempt.
func (l *Log) compactIfDue() {
	if l.size <= max(l.compactionThreshold, 2*l.initialSize, l.compactionRetrySize) {
		return
	}
	if l.rewrite(l.state) != nil {
		l.compactionRetrySize = l.size + l.compactionThreshold
	}
}

// rewrite creates a new file with the state as its first record, and removes the previous file. After an error the
// previous file is unchanged. If the new file may already have its final name, nothing more may be appended to the
// previous file, because the next process reads the new one.
func (l *Log) rewrite(state PersistentState) error {
	data, err := encodeState(state)
	if err != nil {
		return err
	}
	path := l.filePath(l.fileNumber + 1)
	file, err := l.fs.Create(path + tempSuffix)
	if err != nil {
		return wrapFolderError(err)
	}
	if err := l.writeAndRename(file, path, data); err != nil {
		err = errors.Join(wrapFolderError(err), file.Close())
		_ = l.fs.Remove(path + tempSuffix) // frees space on a full disk; the next attempt replaces the file anyway
		return err
	}
	l.replaceFile(file, state, int64(len(data)))
	return nil
}

// encodeState encodes a state as the first record of a file.
func encodeState(state PersistentState) ([]byte, error) {
	r, err := newRecord(consensus.Batch{
		HardState: &state.Raft.HardState,
		Snapshot:  &state.Raft.Snapshot,
		Entries:   state.Raft.Entries,
	})
	if err != nil {
		return nil, err
	}
	r.Format = formatVersion
	r.Self = &state.Self
	r.Bootstrap = state.Bootstrap
	r.Incarnations = state.Incarnations
	return encodeRecord(r)
}

// writeAndRename writes the content of a temporary file, and renames it to its final name once the content is durable.
func (l *Log) writeAndRename(file fsys.File, path string, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	l.tailUnknown = true // the file may have its final name even if Rename or SyncDir fails
	if err := l.fs.Rename(path+tempSuffix, path); err != nil {
		return err
	}
	return l.fs.SyncDir(l.dir)
}

// replaceFile switches to a new file, whose only record is the state, and removes the previous file.
func (l *Log) replaceFile(file fsys.File, state PersistentState, size int64) {
	if l.file != nil {
		_ = l.file.Close()                        // nothing is written to it any more
		_ = l.fs.Remove(l.filePath(l.fileNumber)) // if it remains, it is ignored
	}
	l.file = file
	l.fileNumber++
	l.size = size
	l.initialSize = size
	l.compactionRetrySize = 0
	l.state = state
	l.tailUnknown = false
}
