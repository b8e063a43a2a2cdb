package raftlog

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// ErrLocked says that another process has the folder, as the former one of an upgrade has until it ends.
var ErrLocked = errors.New("another process has it")

// lockFolder takes a folder for this process as long as it lives. Danger: two processes that write one log, as in an upgrade, would
// each know half of what was told.
func lockFolder(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("consensus folder: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("consensus folder: %s: %w: %w", path, ErrLocked, err), f.Close())
	}
	return f, nil
}
