// Package faultfs is a file system for tests: operations fail for a while, as on a full or broken disk, and the process
// is killed in the midst of one. It keeps its files on the real file system, where the test reads them as the next
// process would.
package faultfs

import (
	"errors"
	"math/rand/v2"
	"os"
	"slices"
	"sync"

	"milletramp.example/milletramp/internal/fsys"
)

// ErrKilled is what every operation returns from the moment of the kill on. None of them has an effect any more.
var ErrKilled = errors.New("faultfs: the process was killed")

// FS fails where a test has set it to. It implements fsys.FS.
type FS struct {
	fsys.OS
	mu                sync.Mutex
	rng               *rand.Rand
	operations        int
	failAfter, failTo int
	fault             error
	killAt            int
	killed            bool
	files             []*file
	renames           []rename // that no SyncDir has made permanent
}

type rename struct {
	from, to string
	previous []byte // content of to; nil: there was none
}

// New returns a file system without faults. The seed decides how much of a failing operation takes effect.
func New(seed uint64) *FS { return &FS{rng: rand.New(rand.NewPCG(seed, 0xfa17))} }

// Fail has the operations from the next one on that begin after skip others fail with an error, as many as count says.
func (s *FS) Fail(skip, count int, fault error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failAfter, s.failTo, s.fault = s.operations+skip, s.operations+skip+count, fault
}

// KillAfter has the process be killed in the midst of the operation behind skip others.
func (s *FS) KillAfter(skip int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killAt = s.operations + skip + 1
}

// Killed tells whether the process was killed.
func (s *FS) Killed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed
}

// Operations returns how many there have been.
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

// beginOperation counts an operation and returns its injected error, or nil. effect is whether the operation takes
// effect: always without an error, and at random with one.
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

// randomPart is how much of something takes effect.
func (s *FS) randomPart(size int64) int64 { return s.rng.Int64N(size + 1) }

// Create implements fsys.FS. One that fails may have created the file.
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

// closeIfSameFile tells whether both are open on one file, and then closes the former.
func closeIfSameFile(previous, next *os.File) bool {
	a, failed := previous.Stat()
	b, err := next.Stat()
	return failed == nil && err == nil && os.SameFile(a, b) && previous.Close() == nil
}

// Rename implements fsys.FS. One that fails may have renamed the file.
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

// file is one that FS has created.
type file struct {
	fs           *FS
	osFile       *os.File
	size, synced int64
}

// Write implements fsys.File. One that fails writes a part.
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

// Sync implements fsys.File. One that fails may lose the end of what was not synced: it reads as zeros from then on,
// and no later Sync says so.
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

// Close implements fsys.File. The file itself is closed by End, as a loss of power cuts it.
func (f *file) Close() error { return nil }
