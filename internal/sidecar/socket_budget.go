package sidecar

import (
	"milletramp.example/milletramp/internal/admin"
	"milletramp.example/milletramp/internal/config"
)

// socketBudget shares out the descriptors that the process may hold. Without any left, accepting fails for all.
type socketBudget struct {
	Requests       int // held at once; each has a connection of its client
	ClientConns    int // connections from clients
	KeepAliveConns int // of these, that clients hold before they are asked to close them
	UpstreamConns  int // connections to servers, with a request or idle
}

// adminDescriptors are set aside for the console: its listener, its callers, and one that is being taken.
const adminDescriptors = admin.MaxConnections + 2

// reservedDescriptors are for the listener, discovery's watches, a connection that is about to be closed, and the runtime.
const reservedDescriptors = 20

// keepAliveShare of the connections that clients can hold with a request leaves the rest for bursts.
const keepAliveShare = 0.75

func newSocketBudget(c *config.Config) socketBudget {
	all := c.Sockets - reservedDescriptors
	if c.Console != "" {
		all -= adminDescriptors
	}
	clients := all / 2
	held := min(c.Sockets/3, clients-clients/8) // clients hold a third of the descriptors at most for requests
	requests := held
	if c.Limits.MostHeld > 0 {
		requests = min(held, c.Limits.MostHeld)
	}
	return socketBudget{Requests: requests, ClientConns: clients, KeepAliveConns: max(int(keepAliveShare*float64(held)), 1), UpstreamConns: all - clients}
}
