package sidecar

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

	"golang.org/x/sys/unix"

	"milletramp.example/milletramp/internal/netretry"
)

// errNoSocket says that the descriptors do not allow one more connection.
var errNoSocket = errors.New("no descriptor left for a connection")

// errNotDue says that an attempt was not made as something came before it, while its connection came up. The other errors say what.
var errNotDue = errors.New("not sent")

var (
	errGone      = fmt.Errorf("%w: the server was taken out, removed or restarted", errNotDue)
	errDraining  = fmt.Errorf("%w: the server drains", errNotDue)
	errTooLate   = fmt.Errorf("%w: the time for it is over", errNotDue)
	errWithdrawn = fmt.Errorf("%w: nobody waits for it", errNotDue)
)

// pool holds the connections to the servers, one request at a time on each. http.Transport is not used: it may put a
// connection back with bytes behind the answer, and take them for the answer to the next request.
type pool struct {
	dial    dialFunc      // nil: over TCP
	settles time.Duration // that a connection rests after an answer, before it has another request

	connectWithin atomic.Int64 // nanoseconds that a connection may take to come up
	rest          atomic.Int64 // and that an idle one is kept

	mu    sync.Mutex
	most  int // connections open at once, over all servers
	open  int
	idle  *list.List // of *serverConn, over all servers, the longest idle first
	sweep *time.Timer
}

// target is a server as last listed.
type target struct {
	address string
	boot    time.Time
	// answered is when it last did, an uptime.
	answered atomic.Int64
	draining atomic.Bool   // it finishes what it has
	gone     bool          // removed, moved or restarted: the pool's lock guards it and idle
	idle     []*serverConn // the longest idle first
}

// serverConn is a connection to a server.
type serverConn struct {
	net.Conn
	raw   syscall.RawConn
	of    *target
	in    *bufio.Reader
	text  *textproto.Reader // of in
	limit *io.LimitedReader // under in
	pool  *pool
	pause time.Duration // that the server may make before its next bytes; 0: any. Of the one who reads.
	since time.Time     // idle since

	mu      sync.Mutex
	givenUp bool          // nothing is waited for any more
	hurried bool          // the server may pause for lastPause at most
	place   *list.Element // in the pool's list; nil: it has a request
}

// settleTime is how long a connection rests after an answer. A server that is at fault may send a second answer some milliseconds after
// the first, and that would be taken for the answer to the next request.
const settleTime = 20 * time.Millisecond

func newPool(most int) *pool { return &pool{most: most, idle: list.New(), settles: settleTime} }

// kept is how long an idle connection is kept.
func (p *pool) kept() time.Duration { return time.Duration(p.rest.Load()) }

// take returns a connection to a server, an idle one if there is a good one. Of these it takes the longest idle: what
// a server still has to say on it has had the most time to come.
func (p *pool) take(ctx context.Context, to *target) (*serverConn, error) {
	p.mu.Lock()
	for len(to.idle) > 0 && time.Since(to.idle[0].since) >= p.settles {
		c := to.idle[0]
		p.unlist(c)
		if time.Since(c.since) < p.kept() && c.quiet() {
			p.mu.Unlock()
			return c, nil
		}
		p.end(c)
	}
	if front := p.idle.Front(); p.open >= p.most && front != nil {
		c := front.Value.(*serverConn)
		p.unlist(c)
		p.end(c)
	}
	if p.open >= p.most {
		p.mu.Unlock()
		return nil, errNoSocket
	}
	p.open++
	p.mu.Unlock()
	c, err := p.connect(ctx, to)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
	}
	return c, err
}

// connect opens a connection to a server.
func (p *pool) connect(ctx context.Context, to *target) (*serverConn, error) {
	dial := p.dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: time.Duration(p.connectWithin.Load()), KeepAlive: -1}).DialContext
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
	c := &serverConn{Conn: inner, raw: raw, of: to, pool: p}
	c.limit = &io.LimitedReader{R: c}
	c.in = bufio.NewReader(c.limit)
	c.text = textproto.NewReader(c.in)
	return c, nil
}

// Read implements net.Conn. Each read has the pause for itself: an answer may take its time as long as it comes.
func (c *serverConn) Read(p []byte) (int, error) {
	if c.pause > 0 {
		if err := c.setPause(); err != nil {
			return 0, err
		}
	}
	return netretry.Read(c.Conn, p)
}

// Write implements net.Conn.
func (c *serverConn) Write(p []byte) (int, error) { return netretry.Write(c.Conn, p) }

func (c *serverConn) setPause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.givenUp { // The deadline that ends the read would be overwritten.
		return nil
	}
	pause := c.pause
	if c.hurried {
		pause = min(pause, lastPause)
	}
	return c.SetReadDeadline(time.Now().Add(pause))
}

// hurry has the server pause for lastPause at most from now on.
func (c *serverConn) hurry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hurried = true; !c.givenUp {
		_ = c.SetReadDeadline(time.Now().Add(lastPause)) // it fails where the connection is closed
	}
}

// setWriteDeadline bounds what is written, unless it is given up already: the deadline that ends it would be
// overwritten.
func (c *serverConn) setWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.givenUp {
		return nil
	}
	return c.SetWriteDeadline(t)
}

// giveUp ends what is read and written, now and later.
func (c *serverConn) giveUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.givenUp = true
	_ = c.SetDeadline(past) // it fails where the connection is closed
}

// setMost changes how many connections may be open. Idle ones beyond that are closed at once, others as they end.
func (p *pool) setMost(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = most
	for front := p.idle.Front(); p.open > p.most && front != nil; front = p.idle.Front() {
		c := front.Value.(*serverConn)
		p.unlist(c)
		p.end(c)
	}
}

// put takes a connection back once its request is over. clean says that the whole answer was read, and nothing else.
func (p *pool) put(c *serverConn, clean bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A connection to a former process or address swallows the next request.
	if !clean || c.of.gone || p.open > p.most {
		p.end(c)
		return
	}
	c.since = time.Now()
	c.of.idle = append(c.of.idle, c)
	c.place = p.idle.PushBack(c)
	if p.sweep == nil {
		p.sweep = time.AfterFunc(p.kept(), p.expire)
	}
}

// expire closes what has idled for too long. A server closes a connection that has idled too long, and what
// crosses that close is a reset that may have run.
func (p *pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for front := p.idle.Front(); front != nil; front = p.idle.Front() {
		c := front.Value.(*serverConn)
		if left := p.kept() - time.Since(c.since); left > 0 {
			p.sweep = time.AfterFunc(left, p.expire)
			return
		}
		p.unlist(c)
		p.end(c)
	}
	p.sweep = nil
}

// empty closes a server's idle connections. gone says that none may be put back either.
func (p *pool) empty(t *target, gone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.gone = t.gone || gone
	for len(t.idle) > 0 {
		c := t.idle[0]
		p.unlist(c)
		p.end(c)
	}
}

// left tells whether a server was removed, moved, restarted or taken out since it was asked for.
func (p *pool) left(t *target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return t.gone
}

// unlist takes a connection from the idle ones. The lock is held.
func (p *pool) unlist(c *serverConn) {
	p.idle.Remove(c.place)
	c.place = nil
	for i, other := range c.of.idle {
		if other == c {
			c.of.idle = append(c.of.idle[:i], c.of.idle[i+1:]...)
			return
		}
	}
}

// end closes a connection that is not listed as idle. The lock is held.
func (p *pool) end(c *serverConn) {
	p.open--
	_ = c.Conn.Close() // nothing is owed on it
}

// quiet tells whether the connection is open and has nothing to read. What a server said unasked would be
// taken for the answer to the next request.
func (c *serverConn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	silent := false
	err := c.raw.Read(func(fd uintptr) bool {
		_, err := peek(int(fd), unix.Recvfrom)
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}
