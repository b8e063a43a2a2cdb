// Package hotrestart shares state between the processes of one sidecar during a hot restart, in which a successor
// process starts before its predecessor ends.
//
// The processes share a directory. Each process owns two files in it: a lock file, on which it holds an advisory lock
// while it runs, and a file with its [State], which is replaced by rename. If the lock is free, the owner has ended.
// Its state is then ignored, and the next process that reads the directory removes the files.
//
// The package starts no goroutine until a write of the state fails. Failed writes are retried from a timer, which
// [Member.Leave] stops. [Join], [Member.Update] and [Member.Leave] return file system errors. Errors in the files of
// other processes are logged, and those processes are omitted.
package hotrestart

import (
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"milletramp.example/milletramp/internal/fsys"
	"milletramp.example/milletramp/internal/wallclock"
)

// Member represents this process in the process group of its sidecar. Its methods are safe for concurrent use. A nil
// Member sees no other process and publishes no state.
type Member struct {
	files    processFiles
	lockFile *os.File // locked until Leave closes it or the process ends
	log      *slog.Logger
	fs       fsys.FS

	mu         sync.Mutex
	state      State // Name and ListenAddress are set by Join, never change, and are read without mu
	hasLeft    bool
	backoff    time.Duration // delay before the next retry of a failed write; 0: the state file is up to date
	retryTimer *time.Timer   // timer of the next retry; nil: no write has failed so far
}

// Join publishes the state of this process in a directory below dir, which the processes of the sidecar share. It sets
// the generation of the state to one more than the highest generation of the other processes. If it fails, it removes
// the files that it created.
func Join(dir string, s State, log *slog.Logger) (*Member, error) {
	return joinWithFS(fsys.OS{}, dir, s, log)
}

// joinWithFS implements Join. stateFS is the file system to which the state is written.
func joinWithFS(stateFS fsys.FS, dir string, s State, log *slog.Logger) (*Member, error) {
	m := &Member{files: newProcessFiles(dir, s), log: log, fs: stateFS, state: s}
	if err := os.MkdirAll(m.files.dir, 0o700); err != nil {
		return nil, fmt.Errorf("hot restart: %w", err)
	}
	lockFile, err := m.files.createLocked()
	if lockFile == nil {
		return nil, err
	}
	m.lockFile = lockFile
	if err != nil {
		return nil, errors.Join(err, m.Leave())
	}
	for _, other := range m.Others() {
		m.state.Generation = max(m.state.Generation, other.Generation)
	}
	m.state.Generation++
	if err := m.writeState(); err != nil {
		return nil, errors.Join(err, m.Leave())
	}
	return m, nil
}

// newProcessFiles returns the files of a process with this state. Their directory depends on the name and the listen
// address of the sidecar.
func newProcessFiles(dir string, s State) processFiles {
	sidecar := crc32.ChecksumIEEE([]byte(s.Name + "\x00" + s.ListenAddress))
	return processFiles{
		dir: filepath.Join(dir, fmt.Sprintf("milletramp-%08x", sidecar)),
		id:  fmt.Sprintf("%d-%d", os.Getpid(), wallclock.Nanoseconds(s.Started)),
	}
}

// Update changes the state of this process. If it returns nil, the change is visible to other processes. After an error
// they see the previous state until the new state can be written. The write is retried until it succeeds or the process
// leaves. Update does nothing after Leave.
func (m *Member) Update(change func(*State)) error {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hasLeft {
		return nil
	}
	change(&m.state)
	err := m.writeState()
	m.recordWrite(err)
	return err
}

// Leave removes the files of this process and releases its lock. Further calls do nothing.
func (m *Member) Leave() error {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hasLeft {
		return nil
	}
	m.hasLeft = true
	if m.retryTimer != nil {
		m.retryTimer.Stop()
	}
	return errors.Join(m.files.remove(), m.lockFile.Close())
}
