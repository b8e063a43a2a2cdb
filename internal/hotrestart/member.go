// Package hotrestart lets the processes of one sidecar know of each other during a hot restart, in which a new process
// starts before the one that it replaces ends.
//
// The processes share a directory. Each owns two files in it: one that it holds an advisory lock on for as long as it
// runs, and one with its [State], which is replaced by rename. State whose owner has ended, so that its lock is free,
// does not count, and the next process that reads the directory removes it.
//
// The package starts no goroutine until a write of the state fails: it is retried from a timer, which [Member.Leave]
// stops. [Join], [Member.Update] and [Member.Leave] return errors of the file system. What is wrong with the files of
// other processes is logged, and those processes are left out.
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

// Member is this process among the processes of its sidecar. Its methods may be called by several goroutines at once.
// A nil Member knows no other process and publishes nothing.
type Member struct {
	files    processFiles
	lockFile *os.File // locked until Leave closes it, or the process ends
	log      *slog.Logger
	fs       fsys.FS

	mu         sync.Mutex
	state      State // Name and Listen are fixed by Join and read without mu
	hasLeft    bool
	backoff    time.Duration // before the next retry of a failed write; 0: the state file holds state
	retryTimer *time.Timer   // begins that retry; nil: no write has failed yet
}

// Join makes this process known in a directory below dir, which the processes of the sidecar share. It sets the
// state's generation. If it fails it removes the files that it created.
func Join(dir string, s State, log *slog.Logger) (*Member, error) {
	return joinWithFS(fsys.OS{}, dir, s, log)
}

// joinWithFS is Join with the file system that the state is written to.
func joinWithFS(stateFS fsys.FS, dir string, s State, log *slog.Logger) (*Member, error) {
	m := &Member{files: newProcessFiles(dir, s), log: log, fs: stateFS, state: s}
	if err := os.MkdirAll(m.files.dir, 0o700); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
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

// newProcessFiles names the files of a process of this state, in a directory for the sidecar's name and address.
func newProcessFiles(dir string, s State) processFiles {
	sidecar := crc32.ChecksumIEEE([]byte(s.Name + "\x00" + s.ListenAddress))
	return processFiles{
		dir: filepath.Join(dir, fmt.Sprintf("milletramp-%08x", sidecar)),
		id:  fmt.Sprintf("%d-%d", os.Getpid(), wallclock.Nanoseconds(s.Started)),
	}
}

// Update changes this process's state. Other processes see the change once Update has returned nil. After an error
// they see the former state, and the new one as soon as it can be written: the write is retried until it succeeds or
// the process leaves. Update does nothing after Leave.
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

// Leave removes this process's files and releases its lock. Further calls do nothing.
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
