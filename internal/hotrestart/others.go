package hotrestart

import (
	"errors"
	"io/fs"
	"os"
	"slices"
	"strings"

	"milletramp.example/milletramp/internal/wallclock"
)

// maxOtherProcesses is the maximum number of other processes whose state is read.
const maxOtherProcesses = 16

// HasReadySuccessor reports whether a newer process of the sidecar is ready.
func (m *Member) HasReadySuccessor() bool {
	others := m.Others()
	if len(others) == 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(others, func(s State) bool { return s.Phase == Ready && s.Compare(m.state) > 0 })
}

// DirRevision returns a number that changes when a process joins, leaves or changes its state. It does not change when
// a process ends without leaving. It is -1 if the directory cannot be read.
func (m *Member) DirRevision() int64 {
	if m == nil {
		return 0
	}
	info, err := os.Stat(m.files.dir)
	if err != nil {
		return -1
	}
	return wallclock.Nanoseconds(info.ModTime())
}

// Others returns the states of the other running processes of the sidecar, the oldest first. It removes the files of
// processes that have ended. A process whose files cannot be read or are invalid is omitted, and the reason is logged.
func (m *Member) Others() []State {
	if m == nil {
		return nil
	}
	entries, err := os.ReadDir(m.files.dir)
	if err != nil {
		m.log.Warn("hot restart: cannot read the state of other processes", "err", err)
		return nil
	}
	var others []State
	for _, entry := range entries {
		id, isLock := strings.CutSuffix(entry.Name(), lockSuffix)
		if !isLock || id == m.files.id || len(others) == maxOtherProcesses {
			continue
		}
		if s, found := m.readProcess(processFiles{dir: m.files.dir, id: id}); found {
			others = append(others, s)
		}
	}
	slices.SortFunc(others, State.Compare)
	return others
}

// readProcess returns the state of the process that owns files if that process is running and its state is valid. It
// removes the files of a process that has ended.
func (m *Member) readProcess(files processFiles) (s State, found bool) {
	running, err := isLocked(files.lockPath())
	if err != nil {
		m.log.Warn("hot restart: cannot read the state of other processes", "err", err)
		return State{}, false
	}
	if !running {
		m.log.Info("hot restart: removing the files of a process that has ended", "process", files.id)
		_ = files.remove() // another process may remove them at the same time
		return State{}, false
	}
	s, err = readStateFile(files.statePath(), m.state.Name, m.state.ListenAddress)
	if errors.Is(err, fs.ErrNotExist) {
		// The process has just started; it writes its own state before it acts on the states of others.
		return State{}, false
	}
	if err != nil {
		m.log.Warn("hot restart: ignored the state file of another process", "err", err)
		return State{}, false
	}
	return s, true
}
