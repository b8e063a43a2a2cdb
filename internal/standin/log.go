package standin

import (
	"sync"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

// timeOfFirstLists is the time given to notifications from before the run: the earliest that Log.Add takes for a time.
const timeOfFirstLists = time.Nanosecond

// Log collects events from many goroutines and holds the start of a run. Events are not in the order of their times:
// sort them before use.
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

// Begin starts the run now. Of the events so far it retains the notifications, and dates them to the start.
func (l *Log) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.start.Store(&now)
	notifications := l.events[:0]
	for _, e := range l.events {
		if e.Kind == record.Notified {
			e.At = timeOfFirstLists
			notifications = append(notifications, e)
		}
	}
	l.events = notifications
}

// Start returns when the run started.
func (l *Log) Start() time.Time { return *l.start.Load() }

// Now returns the time since the start.
func (l *Log) Now() time.Duration { return time.Since(l.Start()) }

// Add adds an event. One without a time gets the present.
func (l *Log) Add(e record.Event) {
	if e.At == 0 {
		e.At = l.Now()
	}
	l.mu.Lock()
	l.events = append(l.events, e)
	l.mu.Unlock()
}

// Events returns a copy of the events so far.
func (l *Log) Events() []record.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]record.Event(nil), l.events...)
}
