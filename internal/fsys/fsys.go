// Package fsys defines the file system operations that stored state needs, as an interface. Tests substitute an
// implementation whose operations fail.
package fsys

import (
	"errors"
	"io"
	"os"
)

// File is a file open for writing.
type File interface {
	io.WriteCloser
	Sync() error
}

// FS creates, renames and removes files. Its methods are safe for concurrent use.
type FS interface {
	// Create opens a file for writing, and truncates it if it exists.
	Create(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes creations, renames and removals in a directory survive a loss of power.
	SyncDir(dir string) error
}

// OS is the operating system's file system. Only the owner can read the files that it creates.
type OS struct{}

// Create implements FS.
func (OS) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err // f is a nil pointer, which would become a non-nil File
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

// Replace atomically replaces the content of the file at path. After any failure a reader finds either the complete
// previous content or the complete new one. The new content is written to tempPath first, which must be in the same
// directory. If sync is set, the new content is synced to disk before the rename.
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
		_ = fs.Remove(tempPath) // frees its space on a full disk
	}
	return err
}
