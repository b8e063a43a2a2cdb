package upstream

import (
	"bufio"
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"sync"
	"syscall"
	"time"

	"milletramp.example/milletramp/internal/netretry"
)

// pastDeadline is a deadline that has passed by any clock. The zero time would be no deadline.
var pastDeadline = time.Time{}.Add(time.Nanosecond)

// serverConn is a connection to a server. One attempt at a time uses it; only abort and shortenReadTimeout may be called
// from other goroutines.
type serverConn struct {
	net.Conn
	rawConn       syscall.RawConn
	server        *server
	limitedReader *io.LimitedReader // reads from the connection; its bound is set anew for each part of a response
	reader        *bufio.Reader     // reads from limitedReader
	textReader    *textproto.Reader // reads from reader
	readTimeout   time.Duration     // how long the server may pause before its next bytes; 0: without a bound

	// The pool's lock guards these.
	idleSince   time.Time
	idleElement *list.Element // in the pool's list of idle connections; nil: in use

	mu                   sync.Mutex
	aborted              bool // every read and write fails from now on
	readTimeoutShortened bool // readTimeout counts as shutdownReadTimeout at most
}

// newServerConn returns a connection to target over conn. It closes conn where it fails.
func newServerConn(conn net.Conn, target *server) (*serverConn, error) {
	rawConn, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("connection: %w", err)
	}
	c := &serverConn{Conn: conn, rawConn: rawConn, server: target}
	c.limitedReader = &io.LimitedReader{R: c}
	c.reader = bufio.NewReader(c.limitedReader)
	c.textReader = textproto.NewReader(c.reader)
	return c, nil
}

// Read implements net.Conn. The allowed pause starts anew with each read, so a response may be slow as long as it makes
// progress.
func (c *serverConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.extendReadDeadline(); err != nil {
			return 0, err
		}
	}
	return netretry.Read(c.Conn, p)
}

// Write implements net.Conn.
func (c *serverConn) Write(p []byte) (int, error) { return netretry.Write(c.Conn, p) }

// extendReadDeadline moves the read deadline to the end of the allowed pause, except on an aborted connection: its
// deadline ends the read and must stay.
func (c *serverConn) extendReadDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return nil
	}
	timeout := c.readTimeout
	if c.readTimeoutShortened {
		timeout = min(timeout, shutdownReadTimeout)
	}
	return c.SetReadDeadline(time.Now().Add(timeout))
}

// shortenReadTimeout limits the server's pauses to shutdownReadTimeout from now on, the current one included.
func (c *serverConn) shortenReadTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readTimeoutShortened = true
	if !c.aborted {
		_ = c.SetReadDeadline(time.Now().Add(shutdownReadTimeout)) // fails only on a closed connection
	}
}

// setWriteDeadline sets the write deadline, except on an aborted connection, whose deadline must stay.
func (c *serverConn) setWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return nil
	}
	return c.SetWriteDeadline(t)
}

// abort fails the current and all later reads and writes.
func (c *serverConn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	_ = c.SetDeadline(pastDeadline) // fails only on a closed connection
}

// isReusable reports whether the connection is open and has nothing to read. Bytes that the server sent unasked would
// be taken for the response to the next request.
func (c *serverConn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	nothingToRead := false
	err := c.rawConn.Read(func(fd uintptr) bool {
		_, err := netretry.Peek(int(fd))
		nothingToRead = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && nothingToRead
}
