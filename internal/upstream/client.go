package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/wire"
)

// Client makes attempts at the servers of the endpoint list. Its methods are safe for concurrent use, except SetDial.
type Client struct {
	responseReadTimeoutNanos atomic.Int64 // read timeout within a response
	pool                     *pool
	attemptsSent             *atomic.Int64 // number of requests that were written completely

	mu        sync.Mutex
	servers   map[string]*server // by ID
	adminDown map[string]bool    // IDs of the servers that are set administratively down
}

// server is an entry of the endpoint list. A server whose address or start time changes gets a new entry.
type server struct {
	address      string
	startedAt    time.Time
	lastResponse atomic.Pointer[time.Time] // when a response was last read completely; nil: never
	draining     atomic.Bool

	// The lock of the pool guards these fields.
	removed bool          // delisted, moved, restarted or set administratively down; no new request is sent
	idle    []*serverConn // idle connections, the longest idle first
}

// New returns a Client without servers. The Client opens at most maxConns connections and adds 1 to attemptsSent for
// each request that it has written completely.
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

// SetDial sets the function that opens connections to servers; nil means TCP. It must be called before the first
// attempt.
func (c *Client) SetDial(dial discovery.DialFunc) { c.pool.dial = dial }

// ConnCounts returns the number of open connections to servers, and how many of these are idle.
func (c *Client) ConnCounts() (open, idle int) { return c.pool.connCounts() }

// SetMaxConns changes the maximum number of open connections to servers.
func (c *Client) SetMaxConns(n int) { c.pool.setMaxConns(n) }

// EndUnresponsiveStream ends the stream whose server has been silent for the longest time, to free its connections for
// other requests. It ends none if no server has been silent for several seconds. It returns how long to wait before the
// next call.
func (c *Client) EndUnresponsiveStream() (wait time.Duration) {
	return c.pool.streams.endLongestUnresponsive()
}

// SetMaxBufferedBody sets the size in bytes up to which the body of a response is buffered on connections that are
// opened later. Longer bodies are streamed.
func (c *Client) SetMaxBufferedBody(size int) { c.pool.maxBufferedBody.Store(int64(size)) }

// Configure applies new limits. The read timeout within a response equals the connect timeout. The idle timeout is half
// of the time after which servers close idle connections, so that a close by the server does not coincide with a new
// request on the connection.
func (c *Client) Configure(limits wire.Limits) {
	c.responseReadTimeoutNanos.Store(int64(limits.ConnectTimeout))
	c.pool.connectTimeoutNanos.Store(int64(limits.ConnectTimeout))
	c.pool.idleTimeoutNanos.Store(int64(limits.IdleClose / 2))
}

// SetAdminDown sets a server administratively down, so that no new attempt at it is made, or ends this state. Operators
// may restart a server in the meantime, so existing connections are not used again.
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

// Update applies an endpoint list. The cost of an incremental list does not depend on the number of known servers.
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

// applyEndpoint applies one entry of an endpoint list. The caller must hold c.mu.
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

// isSameProcess reports whether the endpoint has the same address and start time as this server.
func (s *server) isSameProcess(endpoint discovery.Endpoint) bool {
	return s.address == endpoint.Address && s.startedAt.Equal(endpoint.StartedAt)
}

// removeUnlisted removes the servers that are missing from a complete list. The caller must hold c.mu.
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

// removeServer removes a server. Attempts in flight keep their connections, which are closed afterwards. The caller
// must hold c.mu.
func (c *Client) removeServer(id string) {
	c.pool.removeServer(c.servers[id])
	delete(c.servers, id)
}

// Endpoints returns the ID and the start time of each server.
func (c *Client) Endpoints() (endpoints []discovery.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, server := range c.servers {
		endpoints = append(endpoints, discovery.Endpoint{ID: id, StartedAt: server.startedAt})
	}
	return endpoints
}

// availableServer returns the server with this ID, or nil if it is not listed or is set administratively down.
func (c *Client) availableServer(id string) *server {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.adminDown[id] {
		return nil
	}
	return c.servers[id]
}
