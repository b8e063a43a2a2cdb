package upstream

import (
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/netretry"
)

// defaultReuseDelay is the minimum time between a response and the next request on the same connection. A faulty server
// may send a second response some milliseconds after the first. Without the delay, it would be parsed as the response
// to the next request.
const defaultReuseDelay = 20 * time.Millisecond

// pool manages the connections to the servers. A connection is either idle in the pool or acquired by one attempt,
// which must release it.
type pool struct {
	dial       discovery.DialFunc // nil: over TCP
	reuseDelay time.Duration      // minimum idle time of a connection before its next request
	streams    *streamSet         // responses being streamed; a silent one may end at the connection limit
	peekBuffer *peekBuffer        // for looks at unread bytes

	connectTimeoutNanos atomic.Int64 // timeout for opening a connection
	idleTimeoutNanos    atomic.Int64 // maximum idle time of a connection
	maxBufferedBody     atomic.Int64 // size in bytes up to which the body of a response is buffered

	mu          sync.Mutex
	maxConns    int         // maximum number of open connections to all servers, idle and acquired
	openConns   int         // number of open connections, including those being dialled
	idleConns   *list.List  // *serverConn of all servers, the longest idle first
	expiryTimer *time.Timer // runs closeExpired; nil: not scheduled
}

func newPool(maxConns int) *pool {
	p := &pool{
		maxConns:   maxConns,
		idleConns:  list.New(),
		reuseDelay: defaultReuseDelay,
		streams:    newStreamSet(),
		peekBuffer: &peekBuffer{},
	}
	p.maxBufferedBody.Store(MaxBufferedBody)
	return p
}

// idleTimeout returns the maximum idle time of a connection.
func (p *pool) idleTimeout() time.Duration { return time.Duration(p.idleTimeoutNanos.Load()) }

// acquire returns a connection to a server: a usable idle connection if there is one, otherwise a new one. It fails
// with errConnLimit if the connection limit is reached and no connection is idle. A stream whose server is silent is
// then ended, so that later requests find a connection.
func (p *pool) acquire(ctx context.Context, target *server) (*serverConn, error) {
	conn, err := p.popIdleOrReserve(target)
	if errors.Is(err, errConnLimit) {
		p.streams.endLongestUnresponsive()
	}
	if conn != nil || err != nil {
		return conn, err
	}
	conn, err = p.dialServer(ctx, target)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
	}
	return conn, err
}

// popIdleOrReserve returns an idle connection to a server. If there is none, it counts a new connection in openConns
// and returns nil. At the connection limit it closes the longest idle connection of any server first.
func (p *pool) popIdleOrReserve(target *server) (*serverConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.popIdle(target); conn != nil {
		return conn, nil
	}
	if longestIdle := p.longestIdle(); p.openConns >= p.maxConns && longestIdle != nil {
		p.closeIdleConn(longestIdle)
	}
	if p.openConns >= p.maxConns {
		return nil, errConnLimit
	}
	p.openConns++
	return nil, nil
}

// popIdle returns the longest idle usable connection to a server, or nil. On this connection, late bytes of the
// previous response have had the most time to arrive. popIdle closes the unusable connections that it finds. The caller
// must hold p.mu.
func (p *pool) popIdle(target *server) *serverConn {
	for len(target.idle) > 0 && time.Since(target.idle[0].idleSince) >= p.reuseDelay {
		conn := target.idle[0]
		p.removeIdle(conn)
		if time.Since(conn.idleSince) < p.idleTimeout() && conn.isReusable() {
			return conn
		}
		p.closeLocked(conn)
	}
	return nil
}

// dialServer opens a connection to a server.
func (p *pool) dialServer(ctx context.Context, target *server) (*serverConn, error) {
	dial := p.dial
	if dial == nil {
		timeout := time.Duration(p.connectTimeoutNanos.Load())
		dial = (&net.Dialer{Timeout: timeout, KeepAlive: -1}).DialContext
	}
	conn, err := netretry.Dial(ctx, func() (net.Conn, error) { return dial(ctx, "tcp", target.address) })
	if err != nil {
		return nil, err
	}
	opened, err := newServerConn(conn, target)
	if err == nil {
		opened.maxBufferedBody = int(p.maxBufferedBody.Load())
		opened.peekBuffer = p.peekBuffer
	}
	return opened, err
}

// release returns a connection to the pool, or closes it if it is not reusable. A connection is reusable if the
// complete response was read and no further bytes have arrived.
func (p *pool) release(conn *serverConn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The next request would be lost on a connection to a previous process or address.
	if !reusable || conn.server.removed || p.openConns > p.maxConns {
		p.closeLocked(conn)
		return
	}
	conn.idleSince = time.Now()
	conn.server.idle = append(conn.server.idle, conn)
	conn.idleElement = p.idleConns.PushBack(conn)
	if p.expiryTimer == nil {
		p.expiryTimer = time.AfterFunc(p.idleTimeout(), p.closeExpired)
	}
}

// setMaxConns changes the connection limit. Idle connections beyond the limit are closed at once, acquired ones when
// they are released.
func (p *pool) setMaxConns(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = maxConns
	for conn := p.longestIdle(); p.openConns > p.maxConns && conn != nil; conn = p.longestIdle() {
		p.closeIdleConn(conn)
	}
}

// connCounts returns the number of open connections, and how many of these are idle.
func (p *pool) connCounts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns, p.idleConns.Len()
}

// closeExpired closes the connections whose idle timeout has expired. Servers close such connections soon afterwards. A
// request sent while the server closes the connection would fail with a reset, and the server may have processed it.
func (p *pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := p.longestIdle(); conn != nil; conn = p.longestIdle() {
		remaining := p.idleTimeout() - time.Since(conn.idleSince)
		if remaining > 0 {
			p.expiryTimer = time.AfterFunc(remaining, p.closeExpired)
			return
		}
		p.closeIdleConn(conn)
	}
	p.expiryTimer = nil
}

// closeIdle closes a server's idle connections. Acquired connections may still return to the pool.
func (p *pool) closeIdle(target *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked(target)
}

// removeServer marks a server as removed and closes its idle connections. Its acquired connections are closed when they
// are released.
func (p *pool) removeServer(target *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target.removed = true
	p.closeIdleLocked(target)
}

// isRemoved reports whether a server was removed from the pool.
func (p *pool) isRemoved(target *server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return target.removed
}

// longestIdle returns the connection that has been idle for the longest time, or nil. The caller must hold p.mu.
func (p *pool) longestIdle() *serverConn {
	front := p.idleConns.Front()
	if front == nil {
		return nil
	}
	return front.Value.(*serverConn)
}

// closeIdleLocked closes a server's idle connections. The caller must hold p.mu.
func (p *pool) closeIdleLocked(target *server) {
	for len(target.idle) > 0 {
		p.closeIdleConn(target.idle[0])
	}
}

// closeIdleConn closes an idle connection. The caller must hold p.mu.
func (p *pool) closeIdleConn(conn *serverConn) {
	p.removeIdle(conn)
	p.closeLocked(conn)
}

// removeIdle removes a connection from the lists of idle connections. The caller must hold p.mu.
func (p *pool) removeIdle(conn *serverConn) {
	p.idleConns.Remove(conn.idleElement)
	conn.idleElement = nil
	idle := conn.server.idle
	for i, other := range idle {
		if other == conn {
			conn.server.idle = append(idle[:i], idle[i+1:]...)
			return
		}
	}
}

// closeLocked closes a connection that is in no list of idle connections. The caller must hold p.mu.
func (p *pool) closeLocked(conn *serverConn) {
	p.openConns--
	_ = conn.Close() // bytes that have not reached the server are discarded on purpose
}
