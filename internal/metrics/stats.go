// Package metrics contains the metrics that one process of the sidecar exposes to operators.
//
// Counters only increase, and each counter is incremented in one place, where the event occurs. Gauges are computed
// from the current state when the metrics are written. The package starts no goroutine. Its only error is that of the
// writer passed to [Counters.Write].
package metrics

import (
	"sync"
	"sync/atomic"
)

// ClassCounters counts the requests of one class by outcome.
type ClassCounters struct {
	Served   atomic.Int64 // a server's response was written to the client
	Rejected atomic.Int64 // status 503: the request had no effect and may be retried
	Failed   atomic.Int64 // status 502, or the server truncated the response
}

// CloseReason is the reason why a client connection ended before a request on it was complete.
type CloseReason int

// Reasons why a client connection ended.
const (
	ClientClosed CloseReason = iota // the client closed the connection, or the connection failed
	HeadTimeout                     // the first request head did not arrive in time
	Evicted                         // closed in favor of another connection at the connection limit
	ShuttingDown                    // the process is shutting down

	reasonCount
)

// UnservedConns counts, by CloseReason, the client connections that ended before a request on them was complete.
type UnservedConns [reasonCount]atomic.Int64

// Count counts one connection that ended for a reason.
func (u *UnservedConns) Count(reason CloseReason) { u[reason].Add(1) }

// Counters contains the counters of one process, which start at 0. The zero value is ready for use. Its methods are
// safe for concurrent use.
type Counters struct {
	Attempts      atomic.Int64 // attempts whose last byte was written
	Reloads       atomic.Int64 // configuration files that were accepted on SIGHUP
	ReloadErrors  atomic.Int64 // configuration files that were rejected on SIGHUP
	UnservedConns UnservedConns

	mu      sync.Mutex
	classes map[string]*ClassCounters
}

// Gauges contains the current values of metrics that are not counters.
type Gauges struct {
	InFlight       int // accepted requests without a response
	ListedServers  int // servers in the endpoint list
	AvoidedServers int // listed servers that are administratively down or ejected
}

// Class returns the counters of a class. It returns the same pointer on each call. Callers on the request path should
// keep the pointer, because Class locks a mutex.
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
