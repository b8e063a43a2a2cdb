// Package metrics holds the metrics that one process of the sidecar reports to its operators.
//
// Counters only rise, and each is counted in one place, where the event happens. Gauges are read from the state when
// the metrics are written. The package starts no goroutine, and its only error is that of the writer which
// [Counters.Write] is given.
package metrics

import (
	"sync"
	"sync/atomic"
)

// ClassCounters counts how the requests of one class ended.
type ClassCounters struct {
	Served   atomic.Int64 // the response of a server was written to the client
	Rejected atomic.Int64 // answered with status 503: had no effect, and may be retried
	Failed   atomic.Int64 // answered with status 502, or with a response that its server cut off
}

// CloseReason is the reason why a client's connection ended before a request on it was complete.
type CloseReason int

// The reasons.
const (
	ClientClosed CloseReason = iota // the client closed it, or it broke
	HeadTimeout                     // the first request head took too long
	Evicted                         // closed for another connection, at the limit of open ones
	ShuttingDown                    // the process shuts down

	reasonCount
)

// UnservedConns counts the connections of clients that ended before a request on them was complete.
type UnservedConns [reasonCount]atomic.Int64

// Count counts one connection.
func (u *UnservedConns) Count(reason CloseReason) { u[reason].Add(1) }

// Counters are the counters of one process, from 0 at its start. The zero value is ready. Its methods may be called by
// several goroutines at once.
type Counters struct {
	Attempts      atomic.Int64 // attempts written to their last byte
	Reloads       atomic.Int64 // configuration files accepted at SIGHUP
	ReloadErrors  atomic.Int64 // configuration files rejected at SIGHUP
	UnservedConns UnservedConns

	mu      sync.Mutex
	classes map[string]*ClassCounters
}

// Gauges are values of the state at one moment.
type Gauges struct {
	InFlight       int // requests accepted and not yet answered
	ListedServers  int // servers in the endpoint list
	AvoidedServers int // of these, the ones that are administratively down or ejected
}

// Class returns the counters of a class, the same at each call. Callers that count each request keep the pointer, as
// Class takes a lock.
func (c *Counters) Class(name string) *ClassCounters {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.classes == nil {
		c.classes = map[string]*ClassCounters{}
	}
	counters := c.classes[name]
	if counters == nil {
		counters = &ClassCounters{}
		c.classes[name] = counters
	}
	return counters
}
