package responseplay

import (
	"sync"
	"time"
)

// patternPeriod is the number of bytes after which the content of a body repeats.
const patternPeriod = 251

// Attempt is what a server saw of one attempt.
type Attempt struct {
	ServerID   string
	RequestID  string
	Script     Script
	Offset     int // of the content: the byte at position i is (i+Offset) modulo patternPeriod
	ReceivedAt time.Time
	SendsSound bool // the server of the attempt gives sound responses only

	mu       sync.Mutex
	given    []Mark    // after each write
	endedAt  time.Time // when the server had given its whole script
	closedAt time.Time // when the sidecar closed the connection before that
}

// Mark is a number of bytes of a body at a time.
type Mark struct {
	At    time.Time
	Bytes int64
}

// Given returns how many bytes of the body the server had written by a time.
func (a *Attempt) Given(by time.Time) (bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, mark := range a.given {
		if mark.At.After(by) {
			break
		}
		bytes = mark.Bytes
	}
	return bytes
}

// ClosedAt returns when the sidecar closed the connection although the server was still giving; zero: it did not.
func (a *Attempt) ClosedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.closedAt
}

// EndedAt returns when the server had given its whole script; zero: it has not.
func (a *Attempt) EndedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endedAt
}

// recordWrite records that bytes were written.
func (a *Attempt) recordWrite(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.given = append(a.given, Mark{time.Now(), bytes})
}

// finish records the end of an attempt.
func (a *Attempt) finish(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.endedAt = time.Now()
	} else {
		a.closedAt = time.Now()
	}
}

// Registry holds the attempts of all servers by request. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	attempts map[string][]*Attempt
	count    int
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{attempts: map[string][]*Attempt{}} }

// add adds an attempt and gives it its content.
func (r *Registry) add(a *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	a.Offset = r.count % patternPeriod
	r.attempts[a.RequestID] = append(r.attempts[a.RequestID], a)
}

// AttemptsAt returns the attempts at a request.
func (r *Registry) AttemptsAt(requestID string) []*Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Attempt(nil), r.attempts[requestID]...)
}
