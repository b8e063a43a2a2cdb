package downstream

import (
	"container/list"
	"errors"
	"log/slog"
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

// Times that a client may take.
const (
	// HeadTimeout is how long a client may take to send a head: 2 s are its right. One that never ends would hold
	// its connection for good.
	HeadTimeout = 2300 * time.Millisecond
	// IdleTimeout is how long a client's connection may idle; clients expect it to stay open for 2 s. Clients that
	// ask once and keep the connection take, all together, those that others need.
	IdleTimeout = 2 * time.Second
)

// minIdleTime is how long a connection is idle before another may take its place. Otherwise a burst of connections would
// close those that came just before it, with their first requests on the way.
const minIdleTime = 20 * time.Millisecond

// lingerTimeout bounds how long a connection is read to its end behind its last answer, and lingerStep how soon it is closed after all where
// its descriptor is wanted.
const (
	lingerTimeout      = 200 * time.Millisecond
	lingerPollInterval = 20 * time.Millisecond
	// finalLingerTimeout bounds it once the process ends, so that it is over before the kill.
	finalLingerTimeout = 50 * time.Millisecond
)

// Listener is a listener that bounds the connections from clients, and ends those that have no request: the longest
// idle ones when they are too many, and all of them when the process stops.
//
// A connection that idles is not closed from outside, it is retired: its reader is told to read no more. Whoever
// closes a connection cannot know whether its reader has just got a request, which then has no answer. The reader knows.
type Listener struct {
	net.Listener
	unserved *stats.Unserved // counts those that ended with no request

	mu             sync.Mutex
	maxConns       int
	keepAliveLimit int // connections that clients hold, from which on each answer ends its connection
	openConns      int
	usedConns      int           // of these, that have brought a request
	retiringConns  int           // of these, that are retired
	idleConns      *list.List    // of *clientConn without a request, the longest idle first
	capacity       chan struct{} // has one if a connection was closed or became idle
	shutdownAt     time.Time     // when all had to be answered, as the process ends; zero: not yet
}

// Conn is a connection from a client. Its clientConns' lock guards idle and what follows it.
type Conn struct {
	net.Conn
	listener   *Listener
	acceptedAt time.Time
	framing    requestFraming // of what its reader has got
	malformed  error          // what it sent behind that

	idleElement        *list.Element // nil: it has a request, or is closed
	readError          error         // that ended its reading
	idleSince          time.Time     // idle since
	used               bool          // it has brought a request
	closed             bool
	requestsRead       int         // read whole
	responsesSent      int         // given, and the connection kept
	partialHead        bool        // and a part of another one
	readDeadline       time.Time   // as net/http set it last
	retired            bool        // its reader reads no more, if nothing is left to read
	closeAfterResponse bool        // its next answer ends it
	handling           bool        // it has a request, or has just had an answer and is kept no longer
	closeCalled        bool        // its Close was called
	lingering          bool        // it has had its last answer, but lingers
	retireCause        stats.Cause // that it was retired for
}

func NewListener(l net.Listener, most, usual int, unserved *stats.Unserved) *Listener {
	return &Listener{Listener: l, unserved: unserved, maxConns: most, keepAliveLimit: usual, idleConns: list.New(), capacity: make(chan struct{}, 1)}
}

// SetLimits changes how many connections there may be, and from how many on answers end theirs.
func (l *Listener) SetLimits(most, usual int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns, l.keepAliveLimit = most, usual
	l.signalCapacity()
}

// ConnCounts are numbers of connections at one moment.
type ConnCounts struct {
	Open int
	Used int // that have brought a request
	Idle int // without a request
}

// Counts returns the numbers of connections.
func (l *Listener) Counts() ConnCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ConnCounts{Open: l.openConns, Used: l.usedConns, Idle: l.idleConns.Len()}
}

// HTTPServer returns a server for the connections of the listener, which it is to be given by Serve.
func (l *Listener) HTTPServer(handler http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: HeadTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    maxRequestHeader,
		ConnState:         l.onHTTPState,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// OpenConns is how many connections are open.
func (l *Listener) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openConns
}

// Accept implements net.Listener.
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
	l.markIdle(c)
	return c, nil
}

// Read implements net.Conn. What net/http would mend it turns down. The one goroutine that reads at a time owns frames.
func (c *Conn) Read(p []byte) (int, error) {
	if c.malformed != nil {
		return 0, c.readBehindMalformed()
	}
	n, err := netretry.Read(c.Conn, p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.listener.extendReadDeadline(c) {
		n, err = netretry.Read(c.Conn, p)
	}
	heads, partial := c.framing.requests, c.framing.partial()
	if good, bad := c.framing.feed(p[:n]); bad != nil {
		c.malformed = bad
		if n, err = good, nil; good == 0 {
			err = c.readBehindMalformed()
		}
	}
	if heads != c.framing.requests || partial != c.framing.partial() || err != nil {
		c.listener.recordRead(c, err)
	}
	return n, err
}

// Write implements net.Conn. net/http ends the connection at the first error, and the answer would be lost.
func (c *Conn) Write(p []byte) (int, error) { return netretry.Write(c.Conn, p) }

// readBehindMalformed returns the error of what cannot be read, once no request before it is in hand. net/http reads ahead
// while it serves one, and takes any error of that for the client's leaving: the request would have no answer.
func (c *Conn) readBehindMalformed() error {
	unread := make([]byte, 4<<10)
	for !c.framing.inBody && c.listener.hasRequest(c) {
		_, err := netretry.Read(c.Conn, unread)
		if err != nil && !(errors.Is(err, os.ErrDeadlineExceeded) && c.listener.extendReadDeadline(c)) {
			return err
		}
	}
	return c.malformed
}

// Close implements net.Conn. Behind an answer it first ends the sending and reads on for a time: closing over bytes that nobody has read
// resets the connection, and what of the answer is still on its way is lost with it. A connection that idles is closed at once: a
// request that comes just then finds it reset, so that its client knows that it was not read.
func (c *Conn) Close() error {
	if c.listener.shouldLinger(c) {
		c.linger()
	}
	return c.Conn.Close()
}

// CloseWrite ends the sending. net/http does so behind the answer to what it cannot read.
func (c *Conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// linger ends the sending and reads what comes until the client's end, for lingerTime at most.
func (c *Conn) linger() {
	if c.CloseWrite() != nil {
		return // it is closed already
	}
	unread := make([]byte, 4<<10)
	for began := time.Now(); time.Now().Before(c.listener.lingerDeadline(began)) && !c.listener.atLimit(); {
		if c.Conn.SetReadDeadline(time.Now().Add(lingerPollInterval)) != nil {
			return
		}
		_, err := netretry.Read(c.Conn, unread)
		for err == nil && time.Now().Before(c.listener.lingerDeadline(began)) {
			_, err = netretry.Read(c.Conn, unread)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// lingerDeadline is when a connection is closed at the latest that has lingered since began.
func (l *Listener) lingerDeadline(began time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	until := began.Add(lingerTimeout)
	if l.shutdownAt.IsZero() {
		return until
	}
	last := l.shutdownAt.Add(finalLingerTimeout)
	if began.After(l.shutdownAt) {
		last = began.Add(finalLingerTimeout)
	}
	if last.Before(until) {
		return last
	}
	return until
}

// shouldLinger tells, the first time, whether c has had an answer just now, or sent what cannot be read, and its descriptor is
// not wanted.
func (l *Listener) shouldLinger(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := !c.closeCalled
	c.closeCalled = true
	return first && (c.handling || c.lingering || c.malformed != nil) && l.openConns < l.maxConns
}

// atLimit tells whether there is no room for one more connection.
func (l *Listener) atLimit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openConns >= l.maxConns
}

// SetReadDeadline implements net.Conn. A retired connection keeps the one it has.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.readDeadline = t; c.retired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// recordRead takes in what c's reader has got, or why it got nothing. The time for its head may have run out, or c may have been retired,
// while it was got.
func (l *Listener) recordRead(c *Conn, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.readError = err
	if c.requestsRead < c.framing.requests {
		l.markActive(c)
	}
	c.requestsRead, c.partialHead = c.framing.requests, c.framing.partial()
	if err != nil {
		return
	}
	if c.retired {
		l.resume(c)
	}
	if c.requestsRead > 0 && c.partialHead { // the first head's time runs from the connection's start
		_ = c.Conn.SetReadDeadline(time.Now().Add(HeadTimeout))
	}
}

// hasRequest reports whether c has a request that was read and not answered.
func (l *Listener) hasRequest(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.idleElement == nil && !c.closed && c.requestsRead > c.responsesSent
}

// extendReadDeadline tells whether c is to be read on though the time for it is over: a request waits there, or one that came whole is
// in hand. The time for its body must not end it; net/http's own end of reading ahead does.
func (l *Listener) extendReadDeadline(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.idleElement == nil && c.requestsRead > c.responsesSent && !c.framing.inBody && !isPastDeadline(c.readDeadline) {
		return c.Conn.SetReadDeadline(time.Time{}) == nil
	}
	if c.idleElement == nil || c.partialHead || !c.retired && !c.used || !c.hasUnreadInput() {
		return false
	}
	if c.retired {
		l.resume(c)
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(HeadTimeout))
	return true
}

// hasUnreadInput tells whether something waits to be read. It reads nothing.
func (c *Conn) hasUnreadInput() bool {
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

// AcceptedAt is when the connection was accepted.
func (c *Conn) AcceptedAt() time.Time { return c.acceptedAt }

// ClosesAfterResponse reports whether the next response is to end the connection.
func (c *Conn) ClosesAfterResponse() bool { return c.listener.closesAfterResponse(c) }

// MarkFinalResponse says that nothing more is served on the connection, though it may linger.
func (c *Conn) MarkFinalResponse() { c.listener.markFinalResponse(c) }

// SetWriteBuffer sets the bytes of responses that may wait in the system.
func (c *Conn) SetWriteBuffer(bytes int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetWriteBuffer(bytes)
	}
	return nil
}

// PeerClosed tells whether the client has ended its sending, also where bytes that came before that are not read yet.
func (c *Conn) PeerClosed() bool {
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

// beginRetire has c's reader end it, if it has nothing to read. The lock is held.
func (l *Listener) beginRetire(c *Conn, why stats.Cause) {
	if c.closed || c.retired {
		return
	}
	if c.closeAfterResponse = true; c.idleElement == nil {
		return // its answer ends it
	}
	c.retireCause = why
	if c.lingering {
		l.markClosed(c)
		_ = c.Conn.Close()
		return
	}
	c.retired = true
	l.retiringConns++
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// resume has c answer what it has got after all. The lock is held.
func (l *Listener) resume(c *Conn) {
	c.retired = false
	l.retiringConns--
	l.signalCapacity()
	_ = c.Conn.SetReadDeadline(time.Now().Add(HeadTimeout))
}

// RetireIdle has connections end that have no request. One that never had any is given unused to bring it: its client
// has opened it for one.
func (l *Listener) RetireIdle(unused time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for e, next := l.idleConns.Front(), (*list.Element)(nil); e != nil; e = next {
		next = e.Next() // retiring may take e out
		if c := e.Value.(*Conn); !c.partialHead && (c.used || time.Since(c.idleSince) >= unused) {
			l.beginRetire(c, stats.Stopping)
		}
	}
}

// RetireAll has all connections end on which no request was read whole, also those that have a part of one: the process
// may be killed before its answer. One that lingers behind its last answer is left to do so.
func (l *Listener) RetireAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shutdownAt.IsZero() {
		l.shutdownAt = time.Now()
	}
	for e, next := l.idleConns.Front(), (*list.Element)(nil); e != nil; e = next {
		next = e.Next() // retiring may take e out
		if c := e.Value.(*Conn); !c.lingering {
			l.beginRetire(c, stats.Stopping)
		}
	}
}

// waitForCapacity waits until there is room for one more connection.
func (l *Listener) waitForCapacity() {
	for {
		wait := time.Hour // for a connection to be closed, or to lose its request
		l.mu.Lock()
		for e := l.idleConns.Front(); e != nil && l.retiringConns == 0 && l.openConns >= l.maxConns; e = e.Next() {
			c := e.Value.(*Conn)
			if wait = minIdleTime - time.Since(c.idleSince); wait > 0 {
				break // the others have idled for less
			}
			if wait = minIdleTime; !c.hasUnreadInput() {
				l.beginRetire(c, stats.Room)
				break
			}
		}
		room := l.openConns < l.maxConns
		l.mu.Unlock()
		if room {
			return
		}
		select {
		case <-l.capacity:
		case <-time.After(wait):
		}
	}
}

// onHTTPState follows a connection's life for http.Server.
func (l *Listener) onHTTPState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.handling = state == http.StateActive
	switch state {
	case http.StateActive:
		if !c.used && !c.closed {
			c.used = true
			l.usedConns++
		}
		l.markActive(c)
	case http.StateIdle:
		if c.responsesSent++; c.requestsRead > c.responsesSent {
			return // its reader has got the next request too
		}
		if l.markIdle(c); c.closeAfterResponse {
			l.beginRetire(c, c.retireCause)
		}
	case http.StateClosed, http.StateHijacked:
		l.markClosed(c)
	}
}

// markFinalResponse says that nothing more is served on a connection, though it may linger.
func (l *Listener) markFinalResponse(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.lingering = true
	l.markIdle(c)
}

// closesAfterResponse tells whether c's next answer is to end it: it is retired, or clients hold so many connections that none should
// stay open behind its answer. Clients may hold no more than a share of the descriptors. Those that ask once and
// stay take all of it within seconds, sooner than their connections have idled for long, and then no request comes any
// more. A connection that an answer ends crosses no request, as one may that is closed for having idled. It costs a
// connection for each request, so it is not done without need.
func (l *Listener) closesAfterResponse(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usedConns >= l.keepAliveLimit || c != nil && c.closeAfterResponse
}

// markIdle counts c as idle from now on. The lock is held.
func (l *Listener) markIdle(c *Conn) {
	if c.closed || c.idleElement != nil {
		return
	}
	c.idleSince = time.Now()
	c.idleElement = l.idleConns.PushBack(c)
	l.signalCapacity()
}

// markActive counts c as idle no longer. The lock is held.
func (l *Listener) markActive(c *Conn) {
	if c.idleElement != nil {
		l.idleConns.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// markClosed counts c as closed. The lock is held.
func (l *Listener) markClosed(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	l.openConns--
	if c.used {
		l.usedConns--
	}
	if c.retired {
		l.retiringConns--
	}
	switch {
	case c.requestsRead > 0 || c.readError == nil || c.malformed != nil: // it has had an answer
	case c.retired:
		l.unserved.Count(c.retireCause)
	case errors.Is(c.readError, os.ErrDeadlineExceeded):
		l.unserved.Count(stats.Late)
	default:
		l.unserved.Count(stats.Gone)
	}
	l.markActive(c)
	l.signalCapacity()
}

func (l *Listener) signalCapacity() {
	select {
	case l.capacity <- struct{}{}:
	default:
	}
}
