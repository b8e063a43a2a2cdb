package downstream

import (
	"container/list"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"milletramp.example/milletramp/internal/metrics"
	"milletramp.example/milletramp/internal/netretry"
)

// discardBufferSize is the bytes read at once of input that nobody is to get.
const discardBufferSize = 4 << 10

// Conn is a connection from a client. Its Listener's lock guards state and what follows it; framing and malformed
// belong to the one goroutine that reads at a time.
type Conn struct {
	net.Conn
	listener   *Listener
	acceptedAt time.Time
	framing    requestFraming // of the bytes that were read
	malformed  error          // of the message behind these; nil: none is malformed

	state              connState
	idleElement        *list.Element       // in the listener's list; nil: the state is one with a request, or closed
	idleSince          time.Time           // when it was put into that list
	used               bool                // http.Server has read a request, or a part of one
	httpActive         bool                // http.Server holds it for active
	closeCalled        bool                // Close was called
	closeAfterResponse bool                // its next response ends it
	requestsRead       int                 // heads that were read whole
	responsesSent      int                 // behind which the connection was kept
	partialHead        bool                // a part of another head was read
	readError          error               // that ended the reading
	readDeadline       time.Time           // as http.Server set it last
	retireCause        metrics.CloseReason // why it was retired
}

// AcceptedAt is when the connection was accepted.
func (c *Conn) AcceptedAt() time.Time { return c.acceptedAt }

// ClosesAfterResponse reports whether the next response is to end the connection: it is being retired, or clients hold
// so many connections that none should stay open behind its response. Clients that send one request and stay would else
// take all descriptors within seconds. Each request then costs a connection, so it is not done without need.
func (c *Conn) ClosesAfterResponse() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.listener.usedConns >= c.listener.keepAliveLimit || c.closeAfterResponse
}

// MarkFinalResponse says that nothing more is served on the connection, though it may linger.
func (c *Conn) MarkFinalResponse() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.apply(c, eventFinalResponse)
}

// SetWriteBuffer sets the bytes of responses that may wait in the system.
func (c *Conn) SetWriteBuffer(bytes int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetWriteBuffer(bytes)
	}
	return nil
}

// Read implements net.Conn. It refuses messages that net/http would mend.
func (c *Conn) Read(p []byte) (int, error) {
	if c.malformed != nil {
		return 0, c.readAfterMalformed()
	}
	n, err := netretry.Read(c.Conn, p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendReadDeadline() {
		n, err = netretry.Read(c.Conn, p)
	}
	requests, partial := c.framing.requests, c.framing.partial()
	wellFormed, malformed := c.framing.feed(p[:n])
	if malformed != nil {
		c.malformed = malformed
		n, err = wellFormed, nil
		if wellFormed == 0 {
			err = c.readAfterMalformed()
		}
	}
	if requests != c.framing.requests || partial != c.framing.partial() || err != nil {
		c.recordRead(err)
	}
	return n, err
}

// readAfterMalformed returns the error of a malformed message once no request before it is to be answered. net/http
// reads ahead while it serves a request, and takes any error of that for the client's leaving.
func (c *Conn) readAfterMalformed() error {
	discarded := make([]byte, discardBufferSize)
	for !c.framing.inBody && c.hasPendingRequest() {
		_, err := netretry.Read(c.Conn, discarded)
		isExtended := errors.Is(err, os.ErrDeadlineExceeded) && c.extendReadDeadline()
		if err != nil && !isExtended {
			return err
		}
	}
	return c.malformed
}

// recordRead takes in what the reader has read, or the error that it got. The time for a head may have run out, or the
// connection may have been retired, while it was read.
func (c *Conn) recordRead(err error) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	c.readError = err
	isNewRequest := c.requestsRead < c.framing.requests
	c.requestsRead = c.framing.requests
	c.partialHead = c.framing.partial()
	if isNewRequest {
		l.apply(c, eventRequestRead)
	}
	if err != nil {
		return
	}
	l.apply(c, eventInput)
	if c.requestsRead > 0 && c.partialHead { // the time of the first head runs from the connection's start
		_ = c.Conn.SetReadDeadline(time.Now().Add(HeadTimeout))
	}
}

// hasPendingRequest reports whether a request was read and is not answered.
func (c *Conn) hasPendingRequest() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.hasPendingRequestLocked()
}

// hasPendingRequestLocked is hasPendingRequest with the listener's lock held.
func (c *Conn) hasPendingRequestLocked() bool {
	return c.state == stateActive && c.requestsRead > c.responsesSent
}

// extendReadDeadline reports whether the connection is to be read on though its read deadline is over: because bytes
// wait there, or because a complete request is being served. The time for the body of that request must not end it;
// the deadline by which net/http ends its reading ahead does.
func (c *Conn) extendReadDeadline() bool {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.hasPendingRequestLocked() && !c.framing.inBody && !isPastDeadline(c.readDeadline) {
		return c.Conn.SetReadDeadline(time.Time{}) == nil
	}
	mayReceiveRequest := c.state.hasNoRequest() && c.state != stateNew && !c.partialHead
	if !mayReceiveRequest || !c.hasUnreadInput() {
		return false
	}
	l.apply(c, eventInput)
	_ = c.Conn.SetReadDeadline(time.Now().Add(HeadTimeout))
	return true
}

// SetReadDeadline implements net.Conn. A connection that is being retired keeps the deadline that ends its reading.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.readDeadline = t
	if c.state == stateRetiring {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. net/http ends the connection at the first error of a write, so shortages are retried.
func (c *Conn) Write(p []byte) (int, error) { return netretry.Write(c.Conn, p) }

// hasUnreadInput reports whether bytes wait to be read. It reads none.
func (c *Conn) hasUnreadInput() bool {
	unread := 0
	err := c.withDescriptor(func(fd int) (err error) {
		unread, err = netretry.Peek(fd)
		return err
	})
	return err == nil && unread > 0
}

// PeerClosed reports whether the client has ended its sending, also where bytes that came before are not read yet.
func (c *Conn) PeerClosed() bool {
	var events int16
	err := c.withDescriptor(func(fd int) (err error) {
		events, err = netretry.Poll(fd, unix.POLLRDHUP)
		return err
	})
	return err == nil && events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// withDescriptor calls call with the connection's descriptor.
func (c *Conn) withDescriptor(call func(fd int) error) error {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	if err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) }); err != nil {
		return err
	}
	return callErr
}
