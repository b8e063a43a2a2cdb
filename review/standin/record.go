package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the events of a case, with the seconds since its start, to record.txt.
type recorder struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, startedAt: time.Now()}, nil
}

// event writes one line.
func (r *recorder) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// verdict writes one line and prints it.
func (r *recorder) verdict(format string, args ...any) {
	r.event(format, args...)
	fmt.Printf(format+"\n", args...)
}
