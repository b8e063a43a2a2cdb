// Package stats holds the metrics that one process of the sidecar reports to its operators.
//
// Counters only rise, and each is counted in one place, where the event happens. Gauges are read from the state when
// the metrics are written. The package starts no goroutine, and its only error is that of the writer which
// [Figures.Write] is given.
package stats

import (
	"sync"
	"sync/atomic"
)

// Class counts how the requests of one class ended.
type Class struct {
	Passed     atomic.Int64 // the response of a server was written to the client
	Dropped    atomic.Int64 // answered with status 503: had no effect, and may be retried
	BadGateway atomic.Int64 // answered with status 502, or with a response that its server cut off
}

// Cause is the reason why a client's connection ended before a request on it was complete.
type Cause int

// The reasons.
const (
	Gone     Cause = iota // the client closed it, or it broke
	Late                  // the first request head took too long
	Room                  // closed for another connection, at the limit of open ones
	Stopping              // the process shuts down

	reasonCount
)

// Unserved counts the connections of clients that ended before a request on them was complete.
type Unserved [reasonCount]atomic.Int64

// Count counts one connection.
func (u *Unserved) Count(c Cause) { u[c].Add(1) }

// Figures are the counters of one process, from 0 at its start. The zero value is ready. Its methods may be called by
// several goroutines at once.
type Figures struct {
	Tries      atomic.Int64 // attempts written to their last byte
	Loads      atomic.Int64 // configuration files accepted at SIGHUP
	LoadErrors atomic.Int64 // configuration files rejected at SIGHUP
	Unserved   Unserved

	mu      sync.Mutex
	classes map[string]*Class
}

// Gauges are values of the state at one moment.
type Gauges struct {
	InProgress int // requests accepted and not yet answered
	Known      int // servers in the endpoint list
	Skipped    int // of these, the ones that are administratively down or ejected
}

// Class returns the counters of a class, the same at each call. Callers that count each request keep the pointer, as
// Class takes a lock.
func (f *Figures) Class(name string) *Class {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.classes == nil {
		f.classes = map[string]*Class{}
	}
	counters := f.classes[name]
	if counters == nil {
		counters = &Class{}
		f.classes[name] = counters
	}
	return counters
}
