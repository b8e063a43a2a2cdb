// Package standin has the parties that a sidecar meets, on real sockets on loopback: nodes, discovery, clients and the
// links between them, each with a scripted life. They speak the platform's protocol and know nothing of the sidecar.
package standin

import (
	"sync"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

// Log gathers events of many goroutines, and keeps the time of a run. Its order is not that of time: sort before use.
type Log struct {
	start  atomic.Pointer[time.Time]
	mu     sync.Mutex
	events []record.Event
}

// NewLog returns an empty log whose run starts now.
func NewLog() *Log {
	l := &Log{}
	l.Begin()
	return l
}

// Begin has the run start now. Of what was noted before, what was told is kept and taken to be of the start.
func (l *Log) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.start.Store(&now)
	kept := l.events[:0]
	for _, e := range l.events {
		if e.Kind == record.Notified {
			e.At = 1
			kept = append(kept, e)
		}
	}
	l.events = kept
}

// Start is when the run started.
func (l *Log) Start() time.Time { return *l.start.Load() }

// Now is the time since the start.
func (l *Log) Now() time.Duration { return time.Since(l.Start()) }

// Add notes an event, at the present unless it says when.
func (l *Log) Add(e record.Event) {
	if e.At == 0 {
		e.At = l.Now()
	}
	l.mu.Lock()
	l.events = append(l.events, e)
	l.mu.Unlock()
}

// Events returns what was noted so far.
func (l *Log) Events() []record.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]record.Event(nil), l.events...)
}
