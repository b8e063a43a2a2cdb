package sidecar

import (
	"milletramp.example/milletramp/internal/admin"
	"milletramp.example/milletramp/internal/config"
)

const (
	// adminDescriptors is the number of descriptors of the admin server: its listener, its connections, and one
	// connection being accepted.
	adminDescriptors = admin.MaxConnections + 2
	// reservedDescriptors is the number of descriptors for the client listener, the discovery watches, a connection
	// being closed, and the runtime.
	reservedDescriptors = 20
	// requestDivisor is the number of descriptors per request in flight.
	requestDivisor = 3
	// memoryPerRequest is the number of bytes of the process's memory per request in flight. About half of the memory
	// is for the requests, which hold up to 64 KiB each: buffers, two connections and their goroutines.
	memoryPerRequest = 128 << 10
	// keepAliveFraction is KeepAliveConns as a fraction of the maximum number of requests in flight. The rest is for
	// bursts.
	keepAliveFraction = 0.75
)

// socketBudget is the division of the descriptors that a process may hold.
type socketBudget struct {
	Requests       int // maximum number of requests in flight; each uses a client connection
	ClientConns    int // maximum number of open client connections
	KeepAliveConns int // at this number of used client connections, responses begin to close their connections
	UpstreamConns  int // maximum number of open connections to servers
}

// newSocketBudget returns the budget of a process that is alone in its group.
func newSocketBudget(c *config.Config) socketBudget {
	available := c.Sockets - reservedDescriptors
	if c.AdminAddress != "" {
		available -= adminDescriptors
	}
	clientConns := available / 2
	requests := min(c.Sockets/requestDivisor, clientConns-clientConns/8)
	if c.MemoryMB > 0 {
		requests = max(min(requests, c.MemoryMB<<20/memoryPerRequest), 1)
	}
	budget := socketBudget{
		Requests:       requests,
		ClientConns:    clientConns,
		KeepAliveConns: max(int(keepAliveFraction*float64(requests)), 1),
		UpstreamConns:  available - clientConns,
	}
	if c.Limits.MaxInFlight > 0 {
		budget.Requests = min(requests, c.Limits.MaxInFlight)
	}
	return budget
}
