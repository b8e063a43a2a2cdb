package sidecar

import (
	"sync"

	"beechmill.example/beechmill/internal/console"
)

// budget shares out the descriptors that the process may hold. Danger: without any left, accepting fails for all.
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

// room bounds what is held at once, in bytes.
type room struct {
	mu   sync.Mutex
	left int
}

// take takes n bytes, or nothing and returns false.
func (r *room) take(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left < n {
		return false
	}
	r.left -= n
	return true
}

func (r *room) give(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left += n
}

// spareSockets are for the listener, discovery's watches, a connection that is about to be closed, and the runtime.
const spareSockets = 20

// usualShare of the connections that clients can hold with a request leaves the rest for bursts.
const usualShare = 0.75

func newBudget(c *Config) budget {
	all := c.Sockets - spareSockets
	if c.Console != "" {
		all -= consoleSockets
	}
	clients := all / 2
	held := min(c.Sockets/3, clients-clients/8) // clients hold a third of the descriptors at most for requests
	return budget{requests: held, clients: clients, usual: max(int(usualShare*float64(held)), 1), upstream: all - clients}
}
