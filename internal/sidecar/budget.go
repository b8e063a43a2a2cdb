package sidecar

import (
	"sync"

	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/console"
	"milletramp.example/milletramp/internal/upstream"
)

// budget shares out the descriptors that the process may hold. Without any left, accepting fails for all.
type budget struct {
	requests int // held at once; each has a connection of its client
	clients  int // connections from clients
	usual    int // of these, that clients hold before they are asked to close them
	upstream int // connections to servers, with a request or idle
}

// consoleSockets are set aside for the console: its listener, its callers, and one that is being taken.
const consoleSockets = console.Connections + 2

// bodyShare is the part of the memory that bodies of clients may take beyond what each may.
const bodyShare = 4

// room bounds what is held of long bodies at once, in pieces of mostBody bytes. Pieces are used again: what waits for the
// garbage collector counts as memory too.
type room struct {
	mu   sync.Mutex
	most int // pieces
	held int
	free [][]byte
}

// take sets n pieces aside, or none and returns false.
func (r *room) take(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held+n > r.most {
		return false
	}
	r.held += n
	return true
}

// piece returns one that was set aside.
func (r *room) piece() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last := len(r.free) - 1; last >= 0 {
		piece := r.free[last]
		r.free = r.free[:last]
		return piece[:0]
	}
	return make([]byte, 0, upstream.MaxBufferedBody)
}

// give gives back n pieces, and those of them that were used. Nobody may use them any more.
func (r *room) give(n int, used [][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held -= n; r.held == 0 {
		r.free = nil // a quiet time: the memory is not kept
		return
	}
	r.free = append(r.free, used...)
}

// spareSockets are for the listener, discovery's watches, a connection that is about to be closed, and the runtime.
const spareSockets = 20

// usualShare of the connections that clients can hold with a request leaves the rest for bursts.
const usualShare = 0.75

func newBudget(c *config.Config) budget {
	all := c.Sockets - spareSockets
	if c.Console != "" {
		all -= consoleSockets
	}
	clients := all / 2
	held := min(c.Sockets/3, clients-clients/8) // clients hold a third of the descriptors at most for requests
	requests := held
	if c.Limits.MostHeld > 0 {
		requests = min(held, c.Limits.MostHeld)
	}
	return budget{requests: requests, clients: clients, usual: max(int(usualShare*float64(held)), 1), upstream: all - clients}
}
