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

// minIdleTime is how long a connection is without a request before another one may take its place. A burst of
// connections would otherwise close those accepted just before, with their first requests on the way.
const minIdleTime = 20 * time.Millisecond

// Listener accepts and tracks the connections from clients. When there are too many it ends those without a request,
// the longest idle first; when the process stops it ends all of them.
type Listener struct {
	net.Listener
	unserved *metrics.UnservedConns // counts connections that ended without a request

	mu             sync.Mutex
	maxConns       int
	keepAliveLimit int // used connections from which on each response ends its connection
	openConns      int
	usedConns      int           // open ones that have had a request
	retiringConns  int           // in stateRetiring
	idleConns      *list.List    // *Conn whose state has no request, the longest without one first
	capacity       chan struct{} // gets a value when a connection was closed or has no request any more
	shutdownAt     time.Time     // when all requests had to be answered, as the process ends; zero: it goes on
}

// NewListener returns a Listener that accepts from l at most maxConns connections, and from keepAliveLimit used ones on
// ends each with its response.
func NewListener(l net.Listener, maxConns, keepAliveLimit int, unserved *metrics.UnservedConns) *Listener {
	return &Listener{
		Listener:       l,
		unserved:       unserved,
		maxConns:       maxConns,
		keepAliveLimit: keepAliveLimit,
		idleConns:      list.New(),
		capacity:       make(chan struct{}, 1),
	}
}

// SetLimits changes both limits.
func (l *Listener) SetLimits(maxConns, keepAliveLimit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns = maxConns
	l.keepAliveLimit = keepAliveLimit
	l.signalCapacity()
}

// ConnCounts are numbers of connections at one moment.
type ConnCounts struct {
	Open int
	Used int // that have had a request
	Idle int // that have no request now
}

// Counts returns the numbers of connections.
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

// waitForCapacity waits until one more connection may be open.
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

// makeCapacity reports whether one more connection may be open. If not, it retires the connection that has been without
// a request for the longest, and returns how long to wait before the next call.
func (l *Listener) makeCapacity() (available bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait = time.Hour // until a connection is closed or has no request any more
	if l.openConns < l.maxConns {
		return true, wait
	}
	for e := l.idleConns.Front(); e != nil && l.retiringConns == 0; e = e.Next() {
		c := e.Value.(*Conn)
		wait = minIdleTime - time.Since(c.idleSince)
		if wait > 0 {
			break // the connections behind it have been idle for less
		}
		wait = minIdleTime
		if !c.hasUnreadInput() {
			l.beginRetire(c, metrics.Evicted)
			break
		}
	}
	return l.openConns < l.maxConns, wait
}

// RetireIdle ends connections that have no request and no part of one. One that never had a request is left to bring it
// for the time unused: its client has opened it for one.
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

// RetireAll ends all connections without a complete request, as the process may be killed before a response. One that
// lingers behind its final response is left to do so.
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

// forEachIdle calls f for each connection without a request. f may remove the connection from the list. The lock is
// held.
func (l *Listener) forEachIdle(f func(c *Conn)) {
	for e := l.idleConns.Front(); e != nil; {
		next := e.Next()
		f(e.Value.(*Conn))
		e = next
	}
}

// beginRetire ends a connection: at once behind its final response, by its reader where it has no request, and else
// with its next response. The lock is held.
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

// apply changes the state of a connection by an event, and reports whether the event has an effect. The lock is held.
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

// setState changes the state of a connection and keeps the numbers and the list of the listener. The lock is held.
func (l *Listener) setState(c *Conn, next connState) {
	previous := c.state
	c.state = next
	if previous == next {
		return
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

// addIdle puts a connection at the end of the list of those without a request. The lock is held.
func (l *Listener) addIdle(c *Conn) {
	c.idleSince = time.Now()
	c.idleElement = l.idleConns.PushBack(c)
	l.signalCapacity()
}

// countClosed keeps the numbers of a connection that was closed in a state. The lock is held.
func (l *Listener) countClosed(c *Conn, previous connState) {
	l.openConns--
	if c.used {
		l.usedConns--
	}
	switch {
	case c.requestsRead > 0 || c.readError == nil || c.malformed != nil: // it has had a response
	case previous == stateRetiring:
		l.unserved.Count(c.retireCause)
	case errors.Is(c.readError, os.ErrDeadlineExceeded):
		l.unserved.Count(metrics.HeadTimeout)
	default:
		l.unserved.Count(metrics.ClientClosed)
	}
	l.signalCapacity()
}

// signalCapacity wakes an Accept that waits for capacity.
func (l *Listener) signalCapacity() {
	select {
	case l.capacity <- struct{}{}:
	default:
	}
}

// atLimit reports whether no more connections may be open.
func (l *Listener) atLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openConns >= l.maxConns
}
