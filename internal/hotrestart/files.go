package hotrestart

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// Suffixes of the file names of a process. The file names begin with the id of the process.
const (
	lockSuffix  = ".lock"
	stateSuffix = ".state"
	tempSuffix  = ".new" // temporary name of a file, which is renamed to one of the other names once it is complete
)

// processFiles identifies the files of one process.
type processFiles struct {
	dir string // directory shared by the processes of a sidecar
	id  string // ID of the process, unique in dir
}

func (p processFiles) lockPath() string  { return filepath.Join(p.dir, p.id+lockSuffix) }
func (p processFiles) statePath() string { return filepath.Join(p.dir, p.id+stateSuffix) }
func (p processFiles) tempPath() string  { return filepath.Join(p.dir, p.id+tempSuffix) }

// createLocked creates the lock file and locks it. If the file was created, it is returned even with an error. The file
// is locked under its temporary name, because a process that found an unlocked lock file would conclude that its owner
// has ended.
func (p processFiles) createLocked() (*os.File, error) {
	file, err := os.OpenFile(p.tempPath(), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("hot restart: %w", err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return file, fmt.Errorf("hot restart: lock: %w", err)
	}
	if err := os.Rename(p.tempPath(), p.lockPath()); err != nil {
		return file, fmt.Errorf("hot restart: %w", err)
	}
	return file, nil
}

// remove removes the files of the process. A file that does not exist is not an error.
func (p processFiles) remove() error {
	var errs []error
	for _, path := range []string{p.tempPath(), p.statePath(), p.lockPath()} {
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}

// isLocked reports whether a process holds the lock of the file at path.
func isLocked(path string) (bool, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer file.Close()
	switch err := syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB); {
	case errors.Is(err, syscall.EWOULDBLOCK):
		return true, nil
	case err != nil:
		return false, fmt.Errorf("%s: lock: %w", path, err)
	}
	return false, nil
}

// readStateFile returns the state in the file at path, which must belong to the sidecar with this name and listen
// address. If the file could be read but its content is invalid, the error wraps an *invalidStateError.
func readStateFile(path, name, listen string) (State, error) {
	file, err := os.Open(path)
	if err != nil {
		return State{}, err
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, maxStateBytes+1))
	if err != nil {
		return State{}, err
	}
	s, err := decodeState(content, name, listen)
	if err != nil {
		return State{}, fmt.Errorf("%s %w", path, err)
	}
	return s, nil
}
