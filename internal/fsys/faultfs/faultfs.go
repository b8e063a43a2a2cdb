// Package faultfs is a file system for tests that injects faults. Operations fail for a while, as on a full or broken
// disk, or the process is killed during an operation. The files are on the real file system, so that a test reads them
// as the successor process would.
package faultfs

import (
	"errors"
	"math/rand/v2"
	"os"
	"slices"
	"sync"

	"milletramp.example/milletramp/internal/fsys"
)

// ErrKilled is returned by the operation during which the process is killed, and by every later one. The later ones
// have no effect.
var ErrKilled = errors.New("faultfs: the process was killed")

// FS is a file system whose operations fail as set by Fail and KillAfter. It implements fsys.FS.
type FS struct {
	fsys.OS
	mu                sync.Mutex
	rng               *rand.Rand
	operations        int // so far
	failAfter, failTo int // the operations that fail: those after number failAfter, up to number failTo
	fault             error
	killAt            int // number of the operation during which the process is killed; 0: none
	killed            bool
	files             []*file
	renames           []rename // not yet made permanent by SyncDir
}

type rename struct {
	from, to string
	previous []byte // content of the file at path to before the rename; nil: there was no such file
}

// New returns a file system without faults. The seed determines how much of each failing operation takes effect.
func New(seed uint64) *FS { return &FS{rng: rand.New(rand.NewPCG(seed, 0xfa17))} }

// Fail skips the next skip operations and makes the count operations after them fail with the error fault.
func (s *FS) Fail(skip, count int, fault error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failAfter, s.failTo, s.fault = s.operations+skip, s.operations+skip+count, fault
}

// KillAfter skips the next skip operations and kills the process during the one after them.
func (s *FS) KillAfter(skip int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killAt = s.operations + skip + 1
}

// Killed reports whether the process was killed.
func (s *FS) Killed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed
}

// Operations returns the number of operations so far.
func (s *FS) Operations() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.operations
}

// EndProcess ends the process and closes its files. A loss of power also loses unsynced data: a random part of the
// unsynced tail of each file, and some of the last renames.
func (s *FS) EndProcess(powerLoss bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killed = true
	var errs []error
	for _, f := range s.files {
		if powerLoss {
			errs = append(errs, f.osFile.Truncate(f.synced+s.randomPart(f.size-f.synced)))
		}
		errs = append(errs, f.osFile.Close())
	}
	for i := len(s.renames) - 1; powerLoss && i >= 0 && s.rng.IntN(2) == 0; i-- {
		r := s.renames[i]
		errs = append(errs, os.Rename(r.to, r.from))
		if r.previous != nil {
			errs = append(errs, os.WriteFile(r.to, r.previous, 0o600))
		}
	}
	return errors.Join(errs...)
}

// beginOperation counts an operation and returns its injected error, or nil. effect reports whether the operation takes
// effect: always without an error, at random with one, and never after a kill.
func (s *FS) beginOperation() (fault error, effect bool) {
	if s.killed {
		return ErrKilled, false
	}
	s.operations++
	switch {
	case s.operations == s.killAt:
		s.killed = true
		return ErrKilled, s.rng.IntN(2) == 0
	case s.operations > s.failAfter && s.operations <= s.failTo:
		return s.fault, s.rng.IntN(2) == 0
	}
	return nil, true
}

// randomPart returns a random number of bytes between 0 and size, both included.
func (s *FS) randomPart(size int64) int64 { return s.rng.Int64N(size + 1) }

// Create implements fsys.FS. A failing call may have created the file.
func (s *FS) Create(path string) (fsys.File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault, effect := s.beginOperation()
	if !effect {
		return nil, fault
	}
	osFile, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	if fault != nil {
		return nil, errors.Join(fault, osFile.Close())
	}
	f := &file{fs: s, osFile: osFile}
	s.files = append(slices.DeleteFunc(s.files, func(previous *file) bool {
		return closeIfSameFile(previous.osFile, osFile)
	}), f)
	return f, nil
}

// closeIfSameFile closes previous if it refers to the same file as next, and reports whether it did.
func closeIfSameFile(previous, next *os.File) bool {
	a, failed := previous.Stat()
	b, err := next.Stat()
	return failed == nil && err == nil && os.SameFile(a, b) && previous.Close() == nil
}

// Rename implements fsys.FS. A failing call may have renamed the file.
func (s *FS) Rename(from, to string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault, effect := s.beginOperation()
	if !effect {
		return fault
	}
	previous, err := os.ReadFile(to)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if err := os.Rename(from, to); err != nil {
		return err
	}
	s.renames = append(s.renames, rename{from, to, previous})
	return fault
}

// Remove implements fsys.FS.
func (s *FS) Remove(path string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault, effect := s.beginOperation(); !effect || fault != nil {
		return fault
	}
	return s.OS.Remove(path)
}

// SyncDir implements fsys.FS.
func (s *FS) SyncDir(string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault, _ := s.beginOperation()
	if fault == nil {
		s.renames = nil
	}
	return fault
}

// file is a file created by FS.
type file struct {
	fs           *FS
	osFile       *os.File
	size, synced int64 // bytes written, and bytes covered by the last successful Sync
}

// Write implements fsys.File. A failing call writes a random part of data, or nothing.
func (f *file) Write(data []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	fault, effect := f.fs.beginOperation()
	if fault != nil {
		if data = data[:f.fs.randomPart(int64(len(data)))]; !effect {
			data = nil
		}
	}
	n, err := f.osFile.Write(data)
	f.size += int64(n)
	return n, errors.Join(fault, err)
}

// Sync implements fsys.File. A failing call may lose the end of the unsynced data, which reads as zeros from then on;
// later calls do not report the loss.
func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	fault, effect := f.fs.beginOperation()
	if fault != nil && !errors.Is(fault, ErrKilled) && effect {
		lostFrom := f.synced + f.fs.randomPart(f.size-f.synced)
		if _, err := f.osFile.WriteAt(make([]byte, f.size-lostFrom), lostFrom); err != nil {
			return err
		}
	}
	if fault == nil {
		f.synced = f.size
	}
	return fault
}

// Close implements fsys.File. EndProcess closes the underlying file, as a loss of power truncates it first.
func (f *file) Close() error { return nil }
