package sidecar

import (
	"milletramp.example/milletramp/internal/admin"
	"milletramp.example/milletramp/internal/config"
)

const (
	// adminDescriptors are for the admin server: its listener, its connections, and one that is being accepted.
	adminDescriptors = admin.MaxConnections + 2
	// reservedDescriptors are for the listener, discovery's watches, a connection that is being closed, and the
	// runtime.
	reservedDescriptors = 20
	// requestShare is the part of all descriptors, as its divisor, that clients may hold for requests.
	requestShare = 3
	// keepAliveShare is the part of the connections with requests that clients may keep open. The rest is for bursts.
	keepAliveShare = 0.75
)

// socketBudget shares out the descriptors that a process may hold.
type socketBudget struct {
	Requests       int // in flight; each has a client connection
	ClientConns    int // open
	KeepAliveConns int // that have had a request, from which on responses end their connections
	UpstreamConns  int // open to servers
}

// newSocketBudget returns the budget of a process that is alone.
func newSocketBudget(c *config.Config) socketBudget {
	available := c.Sockets - reservedDescriptors
	if c.Console != "" {
		available -= adminDescriptors
	}
	clientConns := available / 2
	requests := min(c.Sockets/requestShare, clientConns-clientConns/8)
	budget := socketBudget{
		Requests:       requests,
		ClientConns:    clientConns,
		KeepAliveConns: max(int(keepAliveShare*float64(requests)), 1),
		UpstreamConns:  available - clientConns,
	}
	if c.Limits.MaxInFlight > 0 {
		budget.Requests = min(requests, c.Limits.MaxInFlight)
	}
	return budget
}
