package testserver

import (
	"context"
	"net"
)

// DelayedDialer opens connections at once and hands each out only when the test says so, as a connection that comes up
// late.
type DelayedDialer struct {
	Connected chan struct{} // gets one value for each connection that was opened
	Release   chan struct{} // each value sent hands one out
}

// NewDelayedDialer returns a DelayedDialer.
func NewDelayedDialer() *DelayedDialer {
	return &DelayedDialer{Connected: make(chan struct{}, 100), Release: make(chan struct{}, 100)}
}

// Dial opens a connection over TCP. It returns once the connection is handed out, or ctx is done.
func (d *DelayedDialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := net.Dial(network, address)
	if err != nil {
		return nil, err
	}
	d.Connected <- struct{}{}
	select {
	case <-d.Release:
		return c, nil
	case <-ctx.Done():
		c.Close()
		return nil, ctx.Err()
	}
}
