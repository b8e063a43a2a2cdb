// Package fsys is what stored state needs of a file system, as an interface: tests put one in its place whose
// operations fail.
package fsys

import (
	"errors"
	"io"
	"os"
)

// File is a file that is being written.
type File interface {
	io.WriteCloser
	Sync() error
}

// FS creates, renames and removes files. Its methods may be called by several goroutines at once.
type FS interface {
	// Create opens a file for writing. One that exists loses its content.
	Create(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir has the names in a directory outlast a loss of power.
	SyncDir(dir string) error
}

// OS is the file system of this machine. Files that it creates are readable by their owner alone.
type OS struct{}

// Create implements FS.
func (OS) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err // not a File that holds a nil pointer
	}
	return f, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Replace has a file hold new content: a reader finds, after any failure, the former or the new content
// whole. The content is written to tempPath first, which must be in the same directory. Where sync is set, the
// new content has reached the disk before it gets its name.
func Replace(fs FS, tempPath, path string, content []byte, sync bool) error {
	f, err := fs.Create(tempPath)
	if err != nil {
		return err
	}
	_, err = f.Write(content)
	if err == nil && sync {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = fs.Rename(tempPath, path)
	}
	if err != nil {
		_ = fs.Remove(tempPath) // a full disk may need its space
	}
	return err
}
