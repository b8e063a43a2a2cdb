package downstream

import (
	"container/list"
	"errors"
	"net"
	"os"
	"time"

	"milletramp.example/milletramp/internal/metrics"
	"milletramp.example/milletramp/internal/netretry"
)

// discardBufferSize is the size in bytes of the buffer for input that is discarded.
const discardBufferSize = 4 << 10

// Conn is a connection from a client. The lock of its Listener guards state and all fields after it. Only the reader
// uses framing, malformed and inBody.
type Conn struct {
	net.Conn
	listener   *Listener
	acceptedAt time.Time
	framing    requestFraming // checks the bytes that are read
	malformed  error          // error of the malformed message that follows; nil: none
	inBody     bool           // the last bytes read were followed by more of a body

	state              connState
	idleElement        *list.Element       // element of Listener.idleConns; nil: active or closed
	idleSince          time.Time           // when idleElement was added
	bodyElement        *list.Element       // element of Listener.bodies; nil: not in the middle of a body
	lastBodyInput      time.Time           // when bytes of the body, or of the head before it, were last read
	used               bool                // http.Server has read a request or a part of one
	httpActive         bool                // http.Server last reported http.StateActive
	closeCalled        bool                // Close was called
	resetsOnClose      bool                // Close resets it
	closeAfterResponse bool                // its next response is the last one
	requestsRead       int                 // number of complete heads that were read
	responsesSent      int                 // number of responses after which the connection was kept open
	partialHead        bool                // a part of a further head was read
	readError          error               // result of the last recorded read
	readDeadline       time.Time           // last deadline set by http.Server
	retireCause        metrics.CloseReason // reason for retiring it
}

// AcceptedAt returns the time when the connection was accepted.
func (c *Conn) AcceptedAt() time.Time { return c.acceptedAt }

// ClosesAfterResponse reports whether the connection must be closed after its next response. This is the case if it is
// being retired, or if the number of used connections has reached keepAliveLimit. Without this limit, clients that send
// one request and keep the connection open would exhaust the descriptors within seconds. Below the limit, connections
// are kept open, because otherwise each request would need a new connection.
func (c *Conn) ClosesAfterResponse() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.listener.usedConns >= c.listener.keepAliveLimit || c.closeAfterResponse
}

// MarkFinalResponse records that no further request is served on the connection, which may still linger.
func (c *Conn) MarkFinalResponse() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.apply(c, eventFinalResponse)
}

// Read implements net.Conn. It rejects ambiguous messages that net/http would accept and normalize.
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
	if n > 0 && (c.inBody || c.framing.inBody) {
		c.recordBodyInput()
	}
	return n, err
}

// readAfterMalformed returns the error of a malformed message. While net/http serves a request, it reads ahead and
// treats any read error as a disconnect of the client. readAfterMalformed therefore discards input until all preceding
// requests have their responses. A malformed body belongs to the request being served, so its error is returned
// immediately.
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

// recordRead updates the connection after a read by its reader. During the read the deadline for a head may have
// passed, or the connection may have been retired.
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
	if c.requestsRead > 0 && c.partialHead { // the deadline of the first head counts from accept
		_ = c.Conn.SetReadDeadline(time.Now().Add(HeadTimeout))
	}
}

// hasPendingRequest reports whether a request was read and its response was not sent.
func (c *Conn) hasPendingRequest() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.hasPendingRequestLocked()
}

// hasPendingRequestLocked is hasPendingRequest for callers that hold the lock of the listener.
func (c *Conn) hasPendingRequestLocked() bool {
	return c.state == stateActive && c.requestsRead > c.responsesSent
}

// extendReadDeadline is called after the read deadline has passed. It moves or removes the deadline and returns true if
// reading has to continue: because unread bytes have arrived, or because a complete request is being served. In the
// second case, a deadline for the body of that request must not end the read, but the deadline with which net/http
// stops its read-ahead must end it.
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

// SetReadDeadline implements net.Conn. A connection that is being retired keeps its past deadline.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.readDeadline = t
	if c.state == stateRetiring {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. It retries resource shortages, because net/http closes the connection at the first write
// error.
func (c *Conn) Write(p []byte) (int, error) { return netretry.Write(c.Conn, p) }
