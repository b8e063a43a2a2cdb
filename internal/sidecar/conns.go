package sidecar

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"milletramp.example/milletramp/internal/netretry"
	"milletramp.example/milletramp/internal/stats"
)

// leastIdle is how long a connection is idle before another may take its place. Otherwise a burst of connections would
// close those that came just before it, with their first requests on the way.
const leastIdle = 20 * time.Millisecond

// lingerTime bounds how long a connection is read to its end behind its last answer, and lingerStep how soon it is closed after all where
// its descriptor is wanted.
const (
	lingerTime = 200 * time.Millisecond
	lingerStep = 20 * time.Millisecond
	// lastLinger bounds it once the process ends, so that it is over before the kill.
	lastLinger = killMargin / 4
)

// clientConns is a listener that bounds the connections from clients, and ends those that have no request: the longest
// idle ones when they are too many, and all of them when the process stops.
//
// A connection that idles is not closed from outside, it is retired: its reader is told to read no more. Whoever
// closes a connection cannot know whether its reader has just got a request, which then has no answer. The reader knows.
type clientConns struct {
	net.Listener
	unserved *stats.Unserved // counts those that ended with no request

	mu      sync.Mutex
	most    int
	usual   int // connections that clients hold, from which on each answer ends its connection
	open    int
	used    int           // of these, that have brought a request
	leaving int           // of these, that are retired
	idle    *list.List    // of *clientConn without a request, the longest idle first
	freed   chan struct{} // has one if a connection was closed or became idle
	ended   time.Time     // when all had to be answered, as the process ends; zero: not yet
}

// clientConn is a connection from a client. Its clientConns' lock guards idle and what follows it.
type clientConn struct {
	net.Conn
	owner  *clientConns
	came   time.Time
	frames framing // of what its reader has got
	bad    error   // what it sent behind that

	idle    *list.Element // nil: it has a request, or is closed
	err     error         // that ended its reading
	since   time.Time     // idle since
	used    bool          // it has brought a request
	closed  bool
	heads   int         // read whole
	answers int         // given, and the connection kept
	partial bool        // and a part of another one
	readBy  time.Time   // as net/http set it last
	retired bool        // its reader reads no more, if nothing is left to read
	last    bool        // its next answer ends it
	active  bool        // it has a request, or has just had an answer and is kept no longer
	closing bool        // its Close was called
	over    bool        // it has had its last answer, but lingers
	why     stats.Cause // that it was retired for
}

func newClientConns(l net.Listener, most, usual int, unserved *stats.Unserved) *clientConns {
	return &clientConns{Listener: l, unserved: unserved, most: most, usual: usual, idle: list.New(), freed: make(chan struct{}, 1)}
}

// setMost changes how many connections there may be, and from how many on answers end theirs.
func (l *clientConns) setMost(most, usual int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most, l.usual = most, usual
	l.free()
}

// held is how many connections are open.
func (l *clientConns) held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Accept implements net.Listener.
func (l *clientConns) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.makeRoom()
	c := &clientConn{Conn: inner, owner: l, came: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	l.setIdle(c)
	return c, nil
}

// Read implements net.Conn. What net/http would mend it turns down. The one goroutine that reads at a time owns frames.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.bad != nil {
		return 0, c.readBehindBad()
	}
	n, err := netretry.Read(c.Conn, p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.owner.readOn(c) {
		n, err = netretry.Read(c.Conn, p)
	}
	heads, partial := c.frames.heads, c.frames.partial()
	if good, bad := c.frames.feed(p[:n]); bad != nil {
		c.bad = bad
		if n, err = good, nil; good == 0 {
			err = c.readBehindBad()
		}
	}
	if heads != c.frames.heads || partial != c.frames.partial() || err != nil {
		c.owner.hasRead(c, err)
	}
	return n, err
}

// Write implements net.Conn. net/http ends the connection at the first error, and the answer would be lost.
func (c *clientConn) Write(p []byte) (int, error) { return netretry.Write(c.Conn, p) }

// readBehindBad returns the error of what cannot be read, once no request before it is in hand. net/http reads ahead
// while it serves one, and takes any error of that for the client's leaving: the request would have no answer.
func (c *clientConn) readBehindBad() error {
	unread := make([]byte, 4<<10)
	for !c.frames.inBody && c.owner.hasRequest(c) {
		_, err := netretry.Read(c.Conn, unread)
		if err != nil && !(errors.Is(err, os.ErrDeadlineExceeded) && c.owner.readOn(c)) {
			return err
		}
	}
	return c.bad
}

// Close implements net.Conn. Behind an answer it first ends the sending and reads on for a time: closing over bytes that nobody has read
// resets the connection, and what of the answer is still on its way is lost with it. A connection that idles is closed at once: a
// request that comes just then finds it reset, so that its client knows that it was not read.
func (c *clientConn) Close() error {
	if c.owner.lingers(c) {
		c.linger()
	}
	return c.Conn.Close()
}

// CloseWrite ends the sending. net/http does so behind the answer to what it cannot read.
func (c *clientConn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// linger ends the sending and reads what comes until the client's end, for lingerTime at most.
func (c *clientConn) linger() {
	if c.CloseWrite() != nil {
		return // it is closed already
	}
	unread := make([]byte, 4<<10)
	for began := time.Now(); time.Now().Before(c.owner.lingerUntil(began)) && !c.owner.full(); {
		if c.Conn.SetReadDeadline(time.Now().Add(lingerStep)) != nil {
			return
		}
		_, err := netretry.Read(c.Conn, unread)
		for err == nil && time.Now().Before(c.owner.lingerUntil(began)) {
			_, err = netretry.Read(c.Conn, unread)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// lingerUntil is when a connection is closed at the latest that has lingered since began.
func (l *clientConns) lingerUntil(began time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	until := began.Add(lingerTime)
	if l.ended.IsZero() {
		return until
	}
	last := l.ended.Add(lastLinger)
	if began.After(l.ended) {
		last = began.Add(lastLinger)
	}
	if last.Before(until) {
		return last
	}
	return until
}

// lingers tells, the first time, whether c has had an answer just now, or sent what cannot be read, and its descriptor is
// not wanted.
func (l *clientConns) lingers(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := !c.closing
	c.closing = true
	return first && (c.active || c.over || c.bad != nil) && l.open < l.most
}

// full tells whether there is no room for one more connection.
func (l *clientConns) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open >= l.most
}

// SetReadDeadline implements net.Conn. A retired connection keeps the one it has.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.readBy = t; c.retired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// hasRead takes in what c's reader has got, or why it got nothing. The time for its head may have run out, or c may have been retired,
// while it was got.
func (l *clientConns) hasRead(c *clientConn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.err = err
	if c.heads < c.frames.heads {
		l.busy(c)
	}
	c.heads, c.partial = c.frames.heads, c.frames.partial()
	if err != nil {
		return
	}
	if c.retired {
		l.recall(c)
	}
	if c.heads > 0 && c.partial { // the first head's time runs from the connection's start
		_ = c.Conn.SetReadDeadline(time.Now().Add(headWithin))
	}
}

// hasRequest reports whether c has a request that was read and not answered.
func (l *clientConns) hasRequest(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.idle == nil && !c.closed && c.heads > c.answers
}

// readOn tells whether c is to be read on though the time for it is over: a request waits there, or one that came whole is
// in hand. The time for its body must not end it; net/http's own end of reading ahead does.
func (l *clientConns) readOn(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.idle == nil && c.heads > c.answers && !c.frames.inBody && !isPast(c.readBy) {
		return c.Conn.SetReadDeadline(time.Time{}) == nil
	}
	if c.idle == nil || c.partial || !c.retired && !c.used || !c.waiting() {
		return false
	}
	if c.retired {
		l.recall(c)
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(headWithin))
	return true
}

// waiting tells whether something waits to be read. It reads nothing.
func (c *clientConn) waiting() bool {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	failed := raw.Control(func(fd uintptr) { n, err = netretry.Peek(int(fd)) })
	return failed == nil && err == nil && n > 0
}

// hungUp tells whether the client has ended its sending, also where bytes that came before that are not read yet.
func (c *clientConn) hungUp() bool {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	var state int16
	failed := raw.Control(func(fd uintptr) { state, err = netretry.Poll(int(fd), unix.POLLRDHUP) })
	return failed == nil && err == nil && state&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// retire has c's reader end it, if it has nothing to read. The lock is held.
func (l *clientConns) retire(c *clientConn, why stats.Cause) {
	if c.closed || c.retired {
		return
	}
	if c.last = true; c.idle == nil {
		return // its answer ends it
	}
	c.why = why
	if c.over {
		l.drop(c)
		_ = c.Conn.Close()
		return
	}
	c.retired = true
	l.leaving++
	_ = c.Conn.SetReadDeadline(past)
}

// recall has c answer what it has got after all. The lock is held.
func (l *clientConns) recall(c *clientConn) {
	c.retired = false
	l.leaving--
	l.free()
	_ = c.Conn.SetReadDeadline(time.Now().Add(headWithin))
}

// retireIdle has connections end that have no request. One that never had any is given unused to bring it: its client
// has opened it for one.
func (l *clientConns) retireIdle(unused time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e, next := l.idle.Front(), (*list.Element)(nil); e != nil; e = next {
		next = e.Next() // retiring may take e out
		if c := e.Value.(*clientConn); !c.partial && (c.used || time.Since(c.since) >= unused) {
			l.retire(c, stats.Stopping)
		}
	}
}

// retireAll has all connections end on which no request was read whole, also those that have a part of one: the process
// may be killed before its answer. One that lingers behind its last answer is left to do so.
func (l *clientConns) retireAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended.IsZero() {
		l.ended = time.Now()
	}
	for e, next := l.idle.Front(), (*list.Element)(nil); e != nil; e = next {
		next = e.Next() // retiring may take e out
		if c := e.Value.(*clientConn); !c.over {
			l.retire(c, stats.Stopping)
		}
	}
}

// makeRoom waits until there is room for one more connection.
func (l *clientConns) makeRoom() {
	for {
		wait := time.Hour // for a connection to be closed, or to lose its request
		l.mu.Lock()
		for e := l.idle.Front(); e != nil && l.leaving == 0 && l.open >= l.most; e = e.Next() {
			c := e.Value.(*clientConn)
			if wait = leastIdle - time.Since(c.since); wait > 0 {
				break // the others have idled for less
			}
			if wait = leastIdle; !c.waiting() {
				l.retire(c, stats.Room)
				break
			}
		}
		room := l.open < l.most
		l.mu.Unlock()
		if room {
			return
		}
		select {
		case <-l.freed:
		case <-time.After(wait):
		}
	}
}

// state follows a connection's life for http.Server.
func (l *clientConns) state(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.active = state == http.StateActive
	switch state {
	case http.StateActive:
		if !c.used && !c.closed {
			c.used = true
			l.used++
		}
		l.busy(c)
	case http.StateIdle:
		if c.answers++; c.heads > c.answers {
			return // its reader has got the next request too
		}
		if l.setIdle(c); c.last {
			l.retire(c, c.why)
		}
	case http.StateClosed, http.StateHijacked:
		l.drop(c)
	}
}

// ending says that nothing more is served on a connection, though it may linger.
func (l *clientConns) ending(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.over = true
	l.setIdle(c)
}

// ends tells whether c's next answer is to end it: it is retired, or clients hold so many connections that none should
// stay open behind its answer. Clients may hold no more than a share of the descriptors. Those that ask once and
// stay take all of it within seconds, sooner than their connections have idled for long, and then no request comes any
// more. A connection that an answer ends crosses no request, as one may that is closed for having idled. It costs a
// connection for each request, so it is not done without need.
func (l *clientConns) ends(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used >= l.usual || c != nil && c.last
}

// setIdle counts c as idle from now on. The lock is held.
func (l *clientConns) setIdle(c *clientConn) {
	if c.closed || c.idle != nil {
		return
	}
	c.since = time.Now()
	c.idle = l.idle.PushBack(c)
	l.free()
}

// busy counts c as idle no longer. The lock is held.
func (l *clientConns) busy(c *clientConn) {
	if c.idle != nil {
		l.idle.Remove(c.idle)
		c.idle = nil
	}
}

// drop counts c as closed. The lock is held.
func (l *clientConns) drop(c *clientConn) {
	if c.closed {
		return
	}
	c.closed = true
	l.open--
	if c.used {
		l.used--
	}
	if c.retired {
		l.leaving--
	}
	switch {
	case c.heads > 0 || c.err == nil || c.bad != nil: // it has had an answer
	case c.retired:
		l.unserved.Count(c.why)
	case errors.Is(c.err, os.ErrDeadlineExceeded):
		l.unserved.Count(stats.Late)
	default:
		l.unserved.Count(stats.Gone)
	}
	l.busy(c)
	l.free()
}

func (l *clientConns) free() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}
