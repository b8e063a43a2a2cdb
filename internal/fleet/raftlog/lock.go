package raftlog

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

const lockFileName = "lock"

// ErrLocked says that another process has the folder open, as the former one of an upgrade has until it ends.
var ErrLocked = errors.New("another process has it")

// lockFolder locks a folder as long as the returned file is open. Two processes that wrote one log, as in an upgrade,
// would each forget what the other has acknowledged.
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
