package raftlog

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

const lockFileName = "lock"

// ErrLocked is returned if another process has the folder open, such as the predecessor process of an upgrade until it
// exits.
var ErrLocked = errors.New("locked by another process")

// lockFolder locks a folder until the returned file is closed. Without the lock two processes could write the same log
// during an upgrade, and each would lose what the other one has acknowledged.
func lockFolder(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, wrapFolderError(err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("consensus folder: %s: %w: %w", path, ErrLocked, err), file.Close())
	}
	return file, nil
}
