package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/wire"
)

// Client makes attempts at the servers that discovery lists. Its methods may be called from any goroutine, except
// SetDial.
type Client struct {
	responseReadTimeoutNanos atomic.Int64 // nanoseconds that a server may pause within a response
	pool                     *pool
	attemptsSent             *atomic.Int64 // counts the requests that were written in full

	mu        sync.Mutex
	servers   map[string]*server // by ID
	adminDown map[string]bool    // the IDs of servers that an operator took out of service
}

// server is a server as last listed. One that moves or restarts becomes a new server.
type server struct {
	address      string
	startedAt    time.Time
	lastResponse atomic.Pointer[time.Time] // when a response was last read in full; nil: never
	draining     atomic.Bool

	// The pool's lock guards these.
	removed bool          // delisted, moved, restarted or taken out of service: it gets nothing new
	idle    []*serverConn // the longest idle first
}

// New returns a Client without servers. It may open maxConns connections, and counts in attemptsSent each request
// that it has written in full.
func New(limits wire.Limits, maxConns int, attemptsSent *atomic.Int64) *Client {
	c := &Client{
		pool:         newPool(maxConns),
		attemptsSent: attemptsSent,
		servers:      map[string]*server{},
		adminDown:    map[string]bool{},
	}
	c.Configure(limits)
	return c
}

// SetDial replaces how connections to servers are opened; nil: over TCP. It has to be called before the first attempt.
func (c *Client) SetDial(dial discovery.DialFunc) { c.pool.dial = dial }

// ConnCounts returns how many connections to servers are open, and how many of these are idle.
func (c *Client) ConnCounts() (open, idle int) { return c.pool.connCounts() }

// SetMaxConns changes how many connections to servers may be open.
func (c *Client) SetMaxConns(n int) { c.pool.setMaxConns(n) }

// Configure applies new limits. A server may pause within a response for as long as a connection may take to open. Idle
// connections are closed after half of the time after which servers close them, well before such a close can cross a
// request.
func (c *Client) Configure(limits wire.Limits) {
	c.responseReadTimeoutNanos.Store(int64(limits.ConnectTimeout))
	c.pool.connectTimeoutNanos.Store(int64(limits.ConnectTimeout))
	c.pool.idleTimeoutNanos.Store(int64(limits.IdleClose / 2))
}

// SetAdminDown takes a server out of service, so that no attempt at it begins, or puts it back. Operators restart
// servers meanwhile, so no connection from before is used after.
func (c *Client) SetAdminDown(id string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !down {
		delete(c.adminDown, id)
		return
	}
	c.adminDown[id] = true
	previous := c.servers[id]
	if previous == nil {
		return
	}
	c.removeServer(id)
	replacement := &server{address: previous.address, startedAt: previous.startedAt}
	replacement.draining.Store(previous.draining.Load())
	c.servers[id] = replacement
}

// Update applies a list of servers. The cost of a list of changes does not grow with the number of servers.
func (c *Client) Update(list discovery.List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, endpoint := range list.Endpoints {
		c.applyEndpoint(endpoint)
	}
	if list.Complete {
		c.removeUnlisted(list.Endpoints)
	}
}

// applyEndpoint applies one entry of a list. The lock is held.
func (c *Client) applyEndpoint(endpoint discovery.Endpoint) {
	removed := endpoint.State == balance.Removed
	current := c.servers[endpoint.ID]
	if current != nil && (removed || !current.isSameProcess(endpoint)) {
		c.removeServer(endpoint.ID)
		current = nil
	}
	if removed {
		return
	}
	if current == nil {
		current = &server{address: endpoint.Address, startedAt: endpoint.StartedAt}
		c.servers[endpoint.ID] = current
	}
	current.draining.Store(endpoint.State == balance.Draining)
}

// isSameProcess reports whether an endpoint is this server, neither moved nor restarted.
func (s *server) isSameProcess(endpoint discovery.Endpoint) bool {
	return s.address == endpoint.Address && s.startedAt.Equal(endpoint.StartedAt)
}

// removeUnlisted removes the servers that a complete list does not name. The lock is held.
func (c *Client) removeUnlisted(endpoints []discovery.Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, endpoint := range endpoints {
		listed[endpoint.ID] = endpoint.State != balance.Removed
	}
	for id := range c.servers {
		if !listed[id] {
			c.removeServer(id)
		}
	}
}

// removeServer removes a server. Attempts in progress keep their connections, which are closed afterwards. The lock is
// held.
func (c *Client) removeServer(id string) {
	c.pool.removeServer(c.servers[id])
	delete(c.servers, id)
}

// Endpoints returns the ID and the start of each server.
func (c *Client) Endpoints() (endpoints []discovery.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, server := range c.servers {
		endpoints = append(endpoints, discovery.Endpoint{ID: id, StartedAt: server.startedAt})
	}
	return endpoints
}

// availableServer returns a server that is listed and in service, or nil.
func (c *Client) availableServer(id string) *server {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.adminDown[id] {
		return nil
	}
	return c.servers[id]
}
