package raftlog

import (
	"errors"

	"milletramp.example/milletramp/internal/fleet/consensus"
	"milletramp.example/milletramp/internal/fsys"
)

// defaultCompactionThreshold is the size in bytes from which a file is rewritten, where it has also doubled since it
// was begun.
const defaultCompactionThreshold = 4 << 20

// compactIfDue rewrites a file that has grown. Where that fails the file goes on growing until the next attempt: all
// records are in it.
func (l *Log) compactIfDue() {
	if l.size <= max(l.compactionThreshold, 2*l.initialSize, l.compactionRetrySize) {
		return
	}
	if l.rewrite(l.state) != nil {
		l.compactionRetrySize = l.size + l.compactionThreshold
	}
}

// rewrite begins a further file, which holds a state as its first record, and drops the former file. After an error the
// former file is as it was. Once the further one may have its name, though, it is what the next process reads, so that
// nothing may be appended to the former one any more.
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
		_ = l.fs.Remove(path + tempSuffix) // a full disk needs its space; the next attempt replaces it anyway
		return err
	}
	l.replaceFile(file, state, int64(len(data)))
	return nil
}

// encodeState returns the first record of a file.
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

// writeAndRename writes the content of a temporary file, and gives it its name once the content is durable.
func (l *Log) writeAndRename(file fsys.File, path string, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	l.tailUnknown = true // also after an error of Rename or SyncDir the file may have its name
	if err := l.fs.Rename(path+tempSuffix, path); err != nil {
		return err
	}
	return l.fs.SyncDir(l.dir)
}

// replaceFile has a file that holds a state, and no more, take the place of the former one.
func (l *Log) replaceFile(file fsys.File, state PersistentState, size int64) {
	if l.file != nil {
		_ = l.file.Close()                        // nothing more is written to it
		_ = l.fs.Remove(l.filePath(l.fileNumber)) // one that remains is ignored
	}
	l.file = file
	l.fileNumber++
	l.size = size
	l.initialSize = size
	l.compactionRetrySize = 0
	l.state = state
	l.tailUnknown = false
}
