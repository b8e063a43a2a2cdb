package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Origins are plain servers, each at an address of its own, that give every request the same response. They count
// connections and requests.
type Origins struct {
	server      *http.Server
	connections atomic.Int64
	requests    atomic.Int64
}

// NewOrigins returns servers that respond after some time.
func NewOrigins(responseTime time.Duration) *Origins {
	o := &Origins{}
	o.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			o.requests.Add(1)
			time.Sleep(responseTime)
			_, _ = w.Write([]byte("answer"))
		}),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				o.connections.Add(1)
			}
		},
	}
	return o
}

// Listen starts one more server, at a loopback address. It ends when its listener is closed.
func (o *Origins) Listen(address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("origin: %w", err)
	}
	go func() { _ = o.server.Serve(listener) }() // it ends with the listener
	return listener, nil
}

// Connections returns how many connections the servers have accepted.
func (o *Origins) Connections() int { return int(o.connections.Load()) }

// Requests returns how many requests have reached the servers.
func (o *Origins) Requests() int { return int(o.requests.Load()) }

// Close ends all servers and their connections.
func (o *Origins) Close() { _ = o.server.Close() }
