package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	startedAt time.Time

	mu   sync.Mutex
	file *os.File
}

// newRecord returns a record that replaces the file at path.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{startedAt: time.Now(), file: file}, nil
}

// add appends a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.startedAt).Seconds()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", at, fmt.Sprintf(format, args...))
}

// close ends the record.
func (r *record) close() { _ = r.file.Close() }
