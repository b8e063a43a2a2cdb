package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Origins are many plain servers, each on an address of its own, that answer every request alike. They count what reaches them.
type Origins struct {
	server      *http.Server
	connections atomic.Int64
	requests    atomic.Int64
}

// NewOrigins returns servers that answer after some time.
func NewOrigins(answer time.Duration) *Origins {
	o := &Origins{}
	o.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			o.requests.Add(1)
			time.Sleep(answer)
			_, _ = w.Write([]byte("answer"))
		}),
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				o.connections.Add(1)
			}
		},
	}
	return o
}

// Listen starts one more server, at an address of loopback. It ends when its listener is closed.
func (o *Origins) Listen(address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("origin: %w", err)
	}
	go func() { _ = o.server.Serve(l) }() // it ends with the listener
	return l, nil
}

// Connections is how many connections have been made to the servers.
func (o *Origins) Connections() int { return int(o.connections.Load()) }

// Requests is how many requests have reached the servers.
func (o *Origins) Requests() int { return int(o.requests.Load()) }

// Close ends all servers and their connections.
func (o *Origins) Close() { _ = o.server.Close() }
