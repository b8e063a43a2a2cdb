package sidecar

import (
	"sync"

	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/console"
	"milletramp.example/milletramp/internal/upstream"
)

// SocketBudget shares out the descriptors that the process may hold. Without any left, accepting fails for all.
type SocketBudget struct {
	Requests       int // held at once; each has a connection of its client
	ClientConns    int // connections from clients
	KeepAliveConns int // of these, that clients hold before they are asked to close them
	UpstreamConns  int // connections to servers, with a request or idle
}

// adminSockets are set aside for the console: its listener, its callers, and one that is being taken.
const adminSockets = console.Connections + 2

// bodyMemoryShare is the part of the memory that bodies of clients may take beyond what each may.
const bodyMemoryShare = 4

// bufferPool bounds what is held of long bodies at once, in pieces of mostBody bytes. Pieces are used again: what waits for the
// garbage collector counts as memory too.
type bufferPool struct {
	mu         sync.Mutex
	maxBuffers int // pieces
	reserved   int
	free       [][]byte
}

// reserve sets n pieces aside, or none and returns false.
func (r *bufferPool) reserve(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reserved+n > r.maxBuffers {
		return false
	}
	r.reserved += n
	return true
}

// buffer returns one that was set aside.
func (r *bufferPool) buffer() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last := len(r.free) - 1; last >= 0 {
		piece := r.free[last]
		r.free = r.free[:last]
		return piece[:0]
	}
	return make([]byte, 0, upstream.MaxBufferedBody)
}

// release gives back n pieces, and those of them that were used. Nobody may use them any more.
func (r *bufferPool) release(n int, used [][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reserved -= n; r.reserved == 0 {
		r.free = nil // a quiet time: the memory is not kept
		return
	}
	r.free = append(r.free, used...)
}

// reservedSockets are for the listener, discovery's watches, a connection that is about to be closed, and the runtime.
const reservedSockets = 20

// keepAliveShare of the connections that clients can hold with a request leaves the rest for bursts.
const keepAliveShare = 0.75

func NewSocketBudget(c *config.Config) SocketBudget {
	all := c.Sockets - reservedSockets
	if c.Console != "" {
		all -= adminSockets
	}
	clients := all / 2
	held := min(c.Sockets/3, clients-clients/8) // clients hold a third of the descriptors at most for requests
	requests := held
	if c.Limits.MostHeld > 0 {
		requests = min(held, c.Limits.MostHeld)
	}
	return SocketBudget{Requests: requests, ClientConns: clients, KeepAliveConns: max(int(keepAliveShare*float64(held)), 1), UpstreamConns: all - clients}
}
