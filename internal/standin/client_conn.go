package standin

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// resetWait is how long a client waits, after the end of a connection, for the reset that follows if its request was
// not read. On loopback the reset comes as soon as the request arrives.
const resetWait = 20 * time.Millisecond

// clientConn is a connection from a client to its sidecar, which carries one request at a time. It tells how a
// connection ended that has carried a request without a response: a sidecar that has not read the request resets the
// connection, immediately or after it has closed it; one that has read the request only closes it.
type clientConn struct {
	net.Conn
	raw              syscall.RawConn
	awaitsResponse   atomic.Bool // a request was written and no byte of its response was read
	closedUnanswered atomic.Bool // closed by a sidecar that had read the request and sent no response
}

// dialClient opens a clientConn.
func dialClient(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: clientConnectTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &clientConn{Conn: conn, raw: raw}, nil
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	c.awaitsResponse.Store(true)
	return c.Conn.Write(p)
}

// Read implements net.Conn. If the connection ends while a request awaits its response, Read returns
// syscall.ECONNRESET if the request was not read, and io.EOF otherwise.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.awaitsResponse.Store(false)
	}
	if !errors.Is(err, io.EOF) || !c.awaitsResponse.Load() {
		return n, err
	}
	if c.isReset() {
		return n, syscall.ECONNRESET
	}
	c.closedUnanswered.Store(true)
	return n, err
}

// isReset reports whether the connection is reset within resetWait.
func (c *clientConn) isReset() bool {
	for deadline := time.Now().Add(resetWait); ; time.Sleep(time.Millisecond) {
		errno := 0
		err := c.raw.Control(func(fd uintptr) {
			errno, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		})
		if err != nil {
			return false // the client has closed it
		}
		if errno != 0 {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}
