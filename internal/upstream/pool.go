package upstream

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/netretry"
)

// pastDeadline is a deadline that is over by any clock. The zero time would be none.
var pastDeadline = time.Time{}.Add(time.Nanosecond)

// errConnLimit says that the descriptors do not allow one more connection.
var errConnLimit = errors.New("no descriptor left for a connection")

// errNotSendable says that an attempt was not made as something came before it, while its connection came up. The other errors say what.
var errNotSendable = errors.New("not sent")

var (
	errServerRemoved    = fmt.Errorf("%w: the server was taken out, removed or restarted", errNotSendable)
	errServerDraining   = fmt.Errorf("%w: the server drains", errNotSendable)
	errSendDeadline     = fmt.Errorf("%w: the time for it is over", errNotSendable)
	errRequestCancelled = fmt.Errorf("%w: nobody waits for it", errNotSendable)
)

// pool holds the connections to the servers, one request at a time on each. http.Transport is not used: it may put a
// connection back with bytes behind the answer, and take them for the answer to the next request.
type pool struct {
	dial       discovery.DialFunc // nil: over TCP
	reuseDelay time.Duration      // that a connection rests after an answer, before it has another request

	connectTimeoutNanos atomic.Int64 // nanoseconds that a connection may take to come up
	idleTimeoutNanos    atomic.Int64 // and that an idle one is kept

	mu          sync.Mutex
	maxConns    int // connections open at once, over all servers
	openConns   int
	idleConns   *list.List // of *serverConn, over all servers, the longest idle first
	expiryTimer *time.Timer
}

// server is a server as last listed.
type server struct {
	address      string
	startedAt    time.Time
	lastResponse atomic.Pointer[time.Time] // when a response was last read whole; nil: never
	draining     atomic.Bool               // it finishes what it has
	removed      bool                      // removed, moved or restarted: the pool's lock guards it and idle
	idle         []*serverConn             // the longest idle first
}

// serverConn is a connection to a server.
type serverConn struct {
	net.Conn
	rawConn       syscall.RawConn
	server        *server
	reader        *bufio.Reader
	textReader    *textproto.Reader // of in
	limitedReader *io.LimitedReader // under in
	pool          *pool
	allowedPause  time.Duration // that the server may make before its next bytes; 0: any. Of the one who reads.
	idleSince     time.Time     // idle since

	mu             sync.Mutex
	aborted        bool          // nothing is waited for any more
	pauseShortened bool          // the server may pause for lastPause at most
	idleElement    *list.Element // in the pool's list; nil: it has a request
}

// defaultReuseDelay is how long a connection rests after an answer. A server that is at fault may send a second answer some milliseconds after
// the first, and that would be taken for the answer to the next request.
const defaultReuseDelay = 20 * time.Millisecond

func newPool(most int) *pool {
	return &pool{maxConns: most, idleConns: list.New(), reuseDelay: defaultReuseDelay}
}

// idleTimeout is how long an idle connection is kept.
func (p *pool) idleTimeout() time.Duration { return time.Duration(p.idleTimeoutNanos.Load()) }

// acquire returns a connection to a server, an idle one if there is a good one. Of these it takes the longest idle: what
// a server still has to say on it has had the most time to come.
func (p *pool) acquire(ctx context.Context, to *server) (*serverConn, error) {
	p.mu.Lock()
	for len(to.idle) > 0 && time.Since(to.idle[0].idleSince) >= p.reuseDelay {
		c := to.idle[0]
		p.removeIdle(c)
		if time.Since(c.idleSince) < p.idleTimeout() && c.isReusable() {
			p.mu.Unlock()
			return c, nil
		}
		p.closeLocked(c)
	}
	if front := p.idleConns.Front(); p.openConns >= p.maxConns && front != nil {
		c := front.Value.(*serverConn)
		p.removeIdle(c)
		p.closeLocked(c)
	}
	if p.openConns >= p.maxConns {
		p.mu.Unlock()
		return nil, errConnLimit
	}
	p.openConns++
	p.mu.Unlock()
	c, err := p.dialServer(ctx, to)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
	}
	return c, err
}

// dialServer opens a connection to a server.
func (p *pool) dialServer(ctx context.Context, to *server) (*serverConn, error) {
	dial := p.dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: time.Duration(p.connectTimeoutNanos.Load()), KeepAlive: -1}).DialContext
	}
	inner, err := netretry.Dial(ctx, func() (net.Conn, error) { return dial(ctx, "tcp", to.address) })
	if err != nil {
		return nil, err
	}
	raw, err := inner.(syscall.Conn).SyscallConn()
	if err != nil {
		_ = inner.Close()
		return nil, fmt.Errorf("connection: %w", err)
	}
	c := &serverConn{Conn: inner, rawConn: raw, server: to, pool: p}
	c.limitedReader = &io.LimitedReader{R: c}
	c.reader = bufio.NewReader(c.limitedReader)
	c.textReader = textproto.NewReader(c.reader)
	return c, nil
}

// Read implements net.Conn. Each read has the pause for itself: an answer may take its time as long as it comes.
func (c *serverConn) Read(p []byte) (int, error) {
	if c.allowedPause > 0 {
		if err := c.extendReadDeadline(); err != nil {
			return 0, err
		}
	}
	return netretry.Read(c.Conn, p)
}

// Write implements net.Conn.
func (c *serverConn) Write(p []byte) (int, error) { return netretry.Write(c.Conn, p) }

func (c *serverConn) extendReadDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted { // The deadline that ends the read would be overwritten.
		return nil
	}
	pause := c.allowedPause
	if c.pauseShortened {
		pause = min(pause, finalPause)
	}
	return c.SetReadDeadline(time.Now().Add(pause))
}

// shortenPause has the server pause for lastPause at most from now on.
func (c *serverConn) shortenPause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pauseShortened = true; !c.aborted {
		_ = c.SetReadDeadline(time.Now().Add(finalPause)) // it fails where the connection is closed
	}
}

// setWriteDeadline bounds what is written, unless it is given up already: the deadline that ends it would be
// overwritten.
func (c *serverConn) setWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return nil
	}
	return c.SetWriteDeadline(t)
}

// abort ends what is read and written, now and later.
func (c *serverConn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	_ = c.SetDeadline(pastDeadline) // it fails where the connection is closed
}

// setMaxConns changes how many connections may be open. Idle ones beyond that are closed at once, others as they end.
func (p *pool) setMaxConns(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = most
	for front := p.idleConns.Front(); p.openConns > p.maxConns && front != nil; front = p.idleConns.Front() {
		c := front.Value.(*serverConn)
		p.removeIdle(c)
		p.closeLocked(c)
	}
}

// connCounts returns how many connections are open, and how many of these are idle.
func (p *pool) connCounts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns, p.idleConns.Len()
}

// release takes a connection back once its request is over. clean says that the whole answer was read, and nothing else.
func (p *pool) release(c *serverConn, clean bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A connection to a former process or address swallows the next request.
	if !clean || c.server.removed || p.openConns > p.maxConns {
		p.closeLocked(c)
		return
	}
	c.idleSince = time.Now()
	c.server.idle = append(c.server.idle, c)
	c.idleElement = p.idleConns.PushBack(c)
	if p.expiryTimer == nil {
		p.expiryTimer = time.AfterFunc(p.idleTimeout(), p.closeExpired)
	}
}

// closeExpired closes what has idled for too long. A server closes a connection that has idled too long, and what
// crosses that close is a reset that may have run.
func (p *pool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for front := p.idleConns.Front(); front != nil; front = p.idleConns.Front() {
		c := front.Value.(*serverConn)
		if left := p.idleTimeout() - time.Since(c.idleSince); left > 0 {
			p.expiryTimer = time.AfterFunc(left, p.closeExpired)
			return
		}
		p.removeIdle(c)
		p.closeLocked(c)
	}
	p.expiryTimer = nil
}

// closeIdle closes a server's idle connections. gone says that none may be put back either.
func (p *pool) closeIdle(t *server, gone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.removed = t.removed || gone
	for len(t.idle) > 0 {
		c := t.idle[0]
		p.removeIdle(c)
		p.closeLocked(c)
	}
}

// isRemoved tells whether a server was removed, moved, restarted or taken out since it was asked for.
func (p *pool) isRemoved(t *server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return t.removed
}

// removeIdle takes a connection from the idle ones. The lock is held.
func (p *pool) removeIdle(c *serverConn) {
	p.idleConns.Remove(c.idleElement)
	c.idleElement = nil
	for i, other := range c.server.idle {
		if other == c {
			c.server.idle = append(c.server.idle[:i], c.server.idle[i+1:]...)
			return
		}
	}
}

// closeLocked closes a connection that is not listed as idle. The lock is held.
func (p *pool) closeLocked(c *serverConn) {
	p.openConns--
	_ = c.Conn.Close() // nothing is owed on it
}

// isReusable tells whether the connection is open and has nothing to read. What a server said unasked would be
// taken for the answer to the next request.
func (c *serverConn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	silent := false
	err := c.rawConn.Read(func(fd uintptr) bool {
		_, err := netretry.Peek(int(fd))
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}
