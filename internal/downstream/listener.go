package downstream

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"milletramp.example/milletramp/internal/metrics"
)

// minIdleTime is the minimum time without a request before a connection may be evicted for a new one. Without it, a
// burst of new connections would evict connections accepted just before, whose first requests are in transit.
const minIdleTime = 20 * time.Millisecond

// Listener accepts and tracks the connections from clients. At the connection limit it retires connections without a
// request, the longest idle first, and else ends request bodies that make no progress. When the process shuts down it
// retires all connections without a request.
type Listener struct {
	net.Listener
	unserved *metrics.UnservedConns // counts the connections closed without a request, by reason
	// endUnresponsiveResponse is called at the connection limit if no connection can give way. It may end a response,
	// and returns how long to wait before the next call. Nil: there is none.
	endUnresponsiveResponse func() (wait time.Duration)

	mu             sync.Mutex
	maxConns       int
	keepAliveLimit int // at this number of used connections or more, each response closes its connection
	openConns      int
	usedConns      int           // open connections on which a request or a part of one was read
	retiringConns  int           // connections in stateRetiring
	idleConns      *list.List    // *Conn without a request, the longest idle first
	bodies         *list.List    // *Conn in the middle of a request body, the longest without input first
	capacity       chan struct{} // receives a value when a connection closes or becomes idle, or the limits change
	shutdownAt     time.Time     // time of the first call of RetireAll; zero: not shutting down
}

// NewListener returns a Listener that accepts connections from l and keeps at most maxConns open. While keepAliveLimit
// or more connections are used, each connection closes after its response.
func NewListener(l net.Listener, maxConns, keepAliveLimit int, unserved *metrics.UnservedConns) *Listener {
	return &Listener{
		Listener:       l,
		unserved:       unserved,
		maxConns:       maxConns,
		keepAliveLimit: keepAliveLimit,
		idleConns:      list.New(),
		bodies:         list.New(),
		capacity:       make(chan struct{}, 1),
	}
}

// SetEndUnresponsiveResponse sets a function that is called while a new connection waits at the connection limit and no
// connection without a request and no stalled request body can give way. It may end a response whose server is silent,
// and returns how long to wait before the next call. It is set before the first call of Accept.
func (l *Listener) SetEndUnresponsiveResponse(end func() (wait time.Duration)) {
	l.endUnresponsiveResponse = end
}

// SetLimits changes both limits.
func (l *Listener) SetLimits(maxConns, keepAliveLimit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns = maxConns
	l.keepAliveLimit = keepAliveLimit
	l.signalCapacity()
}

// ConnCounts holds the numbers of connections at one moment.
type ConnCounts struct {
	Open int
	Used int // a request or a part of one was read
	Idle int // currently without a request
}

// Counts returns the current numbers of connections.
func (l *Listener) Counts() ConnCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ConnCounts{Open: l.openConns, Used: l.usedConns, Idle: l.idleConns.Len()}
}

// Accept implements net.Listener. It returns a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.waitForCapacity()
	c := &Conn{Conn: inner, listener: l, acceptedAt: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openConns++
	l.addIdle(c)
	return c, nil
}

// waitForCapacity waits until one more connection may be opened.
func (l *Listener) waitForCapacity() {
	for {
		available, wait := l.makeCapacity()
		if available {
			return
		}
		select {
		case <-l.capacity:
		case <-time.After(wait):
		}
	}
}

// signalWait is how long Accept waits for an event that Listener.capacity signals.
const signalWait = time.Hour

// makeCapacity reports whether one more connection may be opened. If not, and if no connection is being retired
// already, it retires the longest idle connection without unread input, or ends a stalled request body if there is
// none. It returns how long to wait before the next call.
func (l *Listener) makeCapacity() (available bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait = signalWait
	if l.openConns < l.maxConns {
		return true, wait
	}
	isBusy := l.retiringConns > 0
	for e := l.idleConns.Front(); e != nil && l.retiringConns == 0; e = e.Next() {
		c := e.Value.(*Conn)
		wait = minIdleTime - time.Since(c.idleSince)
		if wait > 0 {
			break // the remaining connections have been idle for less time
		}
		wait = minIdleTime
		if !c.hasUnreadInput() {
			l.beginRetire(c, metrics.Evicted)
			isBusy = true
			break
		}
	}
	if isBusy {
		return l.openConns < l.maxConns, wait
	}
	wait = min(wait, l.endStalledBody())
	if l.endUnresponsiveResponse != nil {
		wait = min(wait, l.endUnresponsiveResponse())
	}
	return l.openConns < l.maxConns, wait
}

// RetireIdle retires connections without a complete or partial request. A connection that has not had a request yet is
// retired only after it has been open for the time unused, because its client has opened it to send a request.
func (l *Listener) RetireIdle(unused time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forEachIdle(func(c *Conn) {
		isDue := c.state != stateNew || time.Since(c.idleSince) >= unused
		if isDue && !c.partialHead {
			l.beginRetire(c, metrics.ShuttingDown)
		}
	})
}

// RetireAll retires all connections without a complete request, since the process may be killed before it could send a
// response. Connections that linger after their final response are not retired.
func (l *Listener) RetireAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shutdownAt.IsZero() {
		l.shutdownAt = time.Now()
	}
	l.forEachIdle(func(c *Conn) {
		if c.state != stateLingering {
			l.beginRetire(c, metrics.ShuttingDown)
		}
	})
}

// forEachIdle calls f for each connection without a request. f may remove the connection from the list. The caller must
// hold l.mu.
func (l *Listener) forEachIdle(f func(c *Conn)) {
	for e := l.idleConns.Front(); e != nil; {
		next := e.Next()
		f(e.Value.(*Conn))
		e = next
	}
}

// beginRetire starts to close a connection. A lingering connection is closed immediately. A connection without a
// request is closed by its reader, and an active one after its next response. The caller must hold l.mu.
func (l *Listener) beginRetire(c *Conn, cause metrics.CloseReason) {
	next, ok := nextState(c.state, eventRetire, c.used)
	if !ok {
		return
	}
	c.closeAfterResponse = true
	if next == stateActive {
		return
	}
	c.retireCause = cause
	l.setState(c, next)
	if next == stateClosed {
		_ = c.Conn.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// apply applies an event to the state of a connection, and reports whether the event has an effect. The caller must
// hold l.mu.
func (l *Listener) apply(c *Conn, event connEvent) bool {
	next, ok := nextState(c.state, event, c.used)
	if !ok {
		return false
	}
	resumes := c.state == stateRetiring && next != stateRetiring && next != stateClosed
	l.setState(c, next)
	if resumes {
		l.signalCapacity()
		_ = c.Conn.SetReadDeadline(time.Now().Add(HeadTimeout))
	}
	return true
}

// setState changes the state of a connection and updates the counts and the idle list of the listener. The caller must
// hold l.mu.
func (l *Listener) setState(c *Conn, next connState) {
	previous := c.state
	c.state = next
	if previous == next {
		return
	}
	if next != stateActive {
		l.removeBody(c)
	}
	if previous == stateRetiring {
		l.retiringConns--
	}
	if next == stateRetiring {
		l.retiringConns++
	}
	switch {
	case previous.hasNoRequest() && !next.hasNoRequest():
		l.idleConns.Remove(c.idleElement)
		c.idleElement = nil
	case !previous.hasNoRequest() && next.hasNoRequest():
		l.addIdle(c)
	}
	if next == stateClosed {
		l.countClosed(c, previous)
	}
}

// addIdle appends a connection to the list of connections without a request. The caller must hold l.mu.
func (l *Listener) addIdle(c *Conn) {
	c.idleSince = time.Now()
	c.idleElement = l.idleConns.PushBack(c)
	l.signalCapacity()
}

// countClosed updates the counts for a closed connection. previous is its state before it was closed. The caller must
// hold l.mu.
func (l *Listener) countClosed(c *Conn, previous connState) {
	l.openConns--
	if c.used {
		l.usedConns--
	}
	switch {
	case c.requestsRead > 0 || c.readError == nil || c.malformed != nil: // the client got a response
	case previous == stateRetiring:
		l.unserved.Count(c.retireCause)
	case errors.Is(c.readError, os.ErrDeadlineExceeded):
		l.unserved.Count(metrics.HeadTimeout)
	default:
		l.unserved.Count(metrics.ClientClosed)
	}
	l.signalCapacity()
}

// signalCapacity wakes a call of Accept that waits for capacity.
func (l *Listener) signalCapacity() {
	select {
	case l.capacity <- struct{}{}:
	default:
	}
}

// atLimit reports whether the connection limit is reached.
func (l *Listener) atLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openConns >= l.maxConns
}
