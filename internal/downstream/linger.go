package downstream

import (
	"errors"
	"os"
	"time"

	"milletramp.example/milletramp/internal/netretry"
)

const (
	// lingerTimeout is the maximum time for which a connection is read after its final response.
	lingerTimeout = 200 * time.Millisecond
	// shutdownLingerTimeout replaces lingerTimeout while the process shuts down, so that lingering ends before the
	// process is killed.
	shutdownLingerTimeout = 50 * time.Millisecond
	// lingerPollInterval is the interval at which a lingering connection checks whether the connection limit is reached
	// and its descriptor is needed.
	lingerPollInterval = 20 * time.Millisecond
)

// Close implements net.Conn. After a response it closes the sending side and continues to read for a limited time.
// Closing a connection with unread bytes would reset it, and response bytes still in transit would be lost. An idle
// connection is closed immediately. If a request arrives at that moment, the connection is reset, which indicates to
// the client that the request was not read. After ResetIfUndelivered, Close may reset the connection at once.
func (c *Conn) Close() error {
	if c.shouldLinger() {
		c.linger()
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side. net/http calls it after its response to a malformed request.
func (c *Conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// shouldLinger reports whether Close has to linger: it is the first call of Close, the connection has just sent a
// response or received a malformed message, it is not to be reset, and the connection limit is not reached.
func (c *Conn) shouldLinger() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	isFirst := !c.closeCalled
	c.closeCalled = true
	hasResponse := c.httpActive || c.state == stateLingering || c.malformed != nil
	return isFirst && hasResponse && !c.resetsOnClose && l.openConns < l.maxConns
}

// linger closes the sending side, and reads and discards input until the client closes the connection, the linger
// deadline passes or the connection limit is reached.
func (c *Conn) linger() {
	if c.CloseWrite() != nil {
		return // the connection is already closed
	}
	startedAt := time.Now()
	for time.Now().Before(c.listener.lingerDeadline(startedAt)) && !c.listener.atLimit() {
		if c.Conn.SetReadDeadline(time.Now().Add(lingerPollInterval)) != nil {
			return
		}
		if err := c.discard(startedAt); !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// discard reads and discards input until an error, or until the linger deadline for startedAt passes.
func (c *Conn) discard(startedAt time.Time) error {
	discarded := make([]byte, discardBufferSize)
	for {
		_, err := netretry.Read(c.Conn, discarded)
		if err != nil || !time.Now().Before(c.listener.lingerDeadline(startedAt)) {
			return err
		}
	}
}

// lingerDeadline returns the time at which a connection that began to linger at startedAt is closed at the latest.
func (l *Listener) lingerDeadline(startedAt time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	deadline := startedAt.Add(lingerTimeout)
	if l.shutdownAt.IsZero() {
		return deadline
	}
	shutdownDeadline := l.shutdownAt.Add(shutdownLingerTimeout)
	if startedAt.After(l.shutdownAt) {
		shutdownDeadline = startedAt.Add(shutdownLingerTimeout)
	}
	if shutdownDeadline.Before(deadline) {
		return shutdownDeadline
	}
	return deadline
}
