package downstream

import (
	"errors"
	"os"
	"time"

	"milletramp.example/milletramp/internal/netretry"
)

const (
	// lingerTimeout bounds how long a connection is read to its end behind its final response.
	lingerTimeout = 200 * time.Millisecond
	// shutdownLingerTimeout bounds it once the process ends, so that it is over before the process is killed.
	shutdownLingerTimeout = 50 * time.Millisecond
	// lingerPollInterval is how soon a lingering connection is closed after all when its descriptor is wanted.
	lingerPollInterval = 20 * time.Millisecond
)

// Close implements net.Conn. Behind a response it ends the sending and reads on for a time: closing over unread bytes
// resets the connection, and what is on its way of the response is lost with it. An idle connection is closed at once:
// a request that comes just then finds it reset, so that its client knows that it was not read.
func (c *Conn) Close() error {
	if c.shouldLinger() {
		c.linger()
	}
	return c.Conn.Close()
}

// CloseWrite ends the sending. net/http does so behind its response to a malformed request.
func (c *Conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// shouldLinger reports, at its first call, whether the connection has just had a response, or sent a malformed message,
// and its descriptor is not wanted.
func (c *Conn) shouldLinger() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	isFirst := !c.closeCalled
	c.closeCalled = true
	hasResponse := c.httpActive || c.state == stateLingering || c.malformed != nil
	return isFirst && hasResponse && l.openConns < l.maxConns
}

// linger ends the sending, and reads and drops what comes until the client closes or the time for it is over.
func (c *Conn) linger() {
	if c.CloseWrite() != nil {
		return // it is closed already
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

// discard reads and drops bytes until an error, or until the linger deadline of a linger that started then.
func (c *Conn) discard(startedAt time.Time) error {
	discarded := make([]byte, discardBufferSize)
	for {
		_, err := netretry.Read(c.Conn, discarded)
		if err != nil || !time.Now().Before(c.listener.lingerDeadline(startedAt)) {
			return err
		}
	}
}

// lingerDeadline is when a connection that has lingered since startedAt is closed at the latest.
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
