package upstream

import (
	"container/list"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/netretry"
)

// defaultReuseDelay is how long a connection rests after a response. A faulty server may send a second response some
// milliseconds after the first, and that would be taken for the response to the next request.
const defaultReuseDelay = 20 * time.Millisecond

// pool holds the connections to the servers. A connection is either idle in the pool or acquired by one attempt, which
// has to release it.
type pool struct {
	dial       discovery.DialFunc // nil: over TCP
	reuseDelay time.Duration      // how long a connection rests before it may have another request

	connectTimeoutNanos atomic.Int64 // nanoseconds
	idleTimeoutNanos    atomic.Int64 // nanoseconds that an idle connection stays open

	mu          sync.Mutex
	maxConns    int         // over all servers, idle and acquired
	openConns   int         // those, and the ones being dialled
	idleConns   *list.List  // of *serverConn, over all servers, the longest idle first
	expiryTimer *time.Timer // runs closeExpired; nil: not scheduled
}

func newPool(maxConns int) *pool {
	return &pool{maxConns: maxConns, idleConns: list.New(), reuseDelay: defaultReuseDelay}
}

// idleTimeout is how long an idle connection stays open.
func (p *pool) idleTimeout() time.Duration { return time.Duration(p.idleTimeoutNanos.Load()) }

// acquire returns a connection to a server: a usable idle one, or else a new one. It fails with errConnLimit where all
// connections that may be open are acquired.
func (p *pool) acquire(ctx context.Context, target *server) (*serverConn, error) {
	conn, err := p.popIdleOrReserve(target)
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

// popIdleOrReserve returns an idle connection to a server, or nil once it has reserved the place of a new one.
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

// popIdle returns the longest idle usable connection to a server, or nil: whatever the server still had to send on
// that one has had the most time to arrive. It closes unusable ones on the way. The lock is held.
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
	return newServerConn(conn, target)
}

// release takes a connection back from its attempt, and closes it unless it is reusable: the whole response was read
// and nothing else has come.
func (p *pool) release(conn *serverConn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A connection to a former process or address would swallow the next request.
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

// setMaxConns changes how many connections may be open. Idle ones beyond that are closed at once, others when they are
// released.
func (p *pool) setMaxConns(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = maxConns
	for conn := p.longestIdle(); p.openConns > p.maxConns && conn != nil; conn = p.longestIdle() {
		p.closeIdleConn(conn)
	}
}

// connCounts returns how many connections are open, and how many of these are idle.
func (p *pool) connCounts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns, p.idleConns.Len()
}

// closeExpired closes the connections that were idle for the idle timeout. A server closes them soon after, and a
// request that crosses its close is reset and may have run.
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

// closeIdle closes a server's idle connections. Acquired ones may still be released to the pool.
func (p *pool) closeIdle(target *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked(target)
}

// removeServer closes a server's idle connections, and its acquired ones once they are released.
func (p *pool) removeServer(target *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target.removed = true
	p.closeIdleLocked(target)
}

// isRemoved reports whether a server was removed since it was looked up.
func (p *pool) isRemoved(target *server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return target.removed
}

// longestIdle returns the connection that has been idle for the longest time, or nil. The lock is held.
func (p *pool) longestIdle() *serverConn {
	front := p.idleConns.Front()
	if front == nil {
		return nil
	}
	return front.Value.(*serverConn)
}

// closeIdleLocked closes a server's idle connections. The lock is held.
func (p *pool) closeIdleLocked(target *server) {
	for len(target.idle) > 0 {
		p.closeIdleConn(target.idle[0])
	}
}

// closeIdleConn closes an idle connection. The lock is held.
func (p *pool) closeIdleConn(conn *serverConn) {
	p.removeIdle(conn)
	p.closeLocked(conn)
}

// removeIdle takes a connection off the lists of idle ones. The lock is held.
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

// closeLocked closes a connection that is on no list of idle ones. The lock is held.
func (p *pool) closeLocked(conn *serverConn) {
	p.openConns--
	_ = conn.Conn.Close() // nothing is left to be written on it
}
