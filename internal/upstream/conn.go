package upstream

import (
	"bufio"
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"milletramp.example/milletramp/internal/netretry"
)

// pastDeadline is a deadline that is always in the past. The zero time would mean no deadline.
var pastDeadline = time.Time{}.Add(time.Nanosecond)

// serverConn is a connection to a server. One attempt uses it at a time. Other goroutines may call only the methods
// that lock mu.
type serverConn struct {
	net.Conn
	rawConn       syscall.RawConn
	server        *server
	limitedReader *io.LimitedReader // reads from the connection; its limit is set for each part of a response
	reader        *bufio.Reader     // reads from limitedReader
	textReader    *textproto.Reader // reads from reader
	// maxBufferedBody is the size in bytes up to which the body of a response is buffered.
	maxBufferedBody int
	peekBuffer      *peekBuffer   // shared by the connections of a pool
	readTimeout     time.Duration // maximum wait for the next bytes; 0: unlimited
	readBy          time.Time     // end of all reads that have a readTimeout; zero: none
	stallTimeout    time.Duration // wait for the next bytes after which onStall is called
	onStall         func()        // called once if a read waits for stallTimeout; nil: not called

	// The lock of the pool guards these fields.
	idleSince   time.Time
	idleElement *list.Element // element of pool.idleConns; nil: not idle

	mu             sync.Mutex
	aborted        bool          // every read and write fails
	yielded        bool          // aborted because it was silent and connections were needed
	waitingSince   time.Time     // start of the read with a read timeout that is in progress; zero: none
	maxReadTimeout time.Duration // upper bound of readTimeout; 0: none
}

// newServerConn returns a connection to target over conn. It closes conn if it fails.
func newServerConn(conn net.Conn, target *server) (*serverConn, error) {
	rawConn, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("get raw connection: %w", err)
	}
	c := &serverConn{Conn: conn, rawConn: rawConn, server: target, maxBufferedBody: MaxBufferedBody}
	c.limitedReader = &io.LimitedReader{R: c}
	c.reader = bufio.NewReader(c.limitedReader)
	c.textReader = textproto.NewReader(c.reader)
	return c, nil
}

// Read implements net.Conn. The read timeout applies to each read, so a response may be slow as long as it makes
// progress.
func (c *serverConn) Read(p []byte) (int, error) {
	if c.readTimeout == 0 {
		return netretry.Read(c.Conn, p)
	}
	if c.onStall == nil || c.stallTimeout >= c.readTimeout {
		return c.readWithin(p, c.readTimeout)
	}
	n, err := c.readWithin(p, c.stallTimeout)
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.isAborted() {
		return n, err
	}
	c.onStall()
	c.onStall = nil
	return c.readWithin(p, c.readTimeout-c.stallTimeout)
}

// readWithin reads available bytes. It waits for them for no longer than the timeout.
func (c *serverConn) readWithin(p []byte, timeout time.Duration) (int, error) {
	if err := c.beginWait(timeout); err != nil {
		return 0, err
	}
	defer c.endWait()
	return netretry.Read(c.Conn, p)
}

// watchStall makes the next read that waits for the timeout call onStall; nil: none does. Only the goroutine that reads
// may call it.
func (c *serverConn) watchStall(timeout time.Duration, onStall func()) {
	c.stallTimeout = timeout
	c.onStall = onStall
}

// Write implements net.Conn.
func (c *serverConn) Write(p []byte) (int, error) { return netretry.Write(c.Conn, p) }

// beginWait starts a read, and sets the read deadline to its end. It keeps the deadline of an aborted
// connection, which makes the read fail.
func (c *serverConn) beginWait(timeout time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingSince = time.Now()
	if c.aborted {
		return nil
	}
	return c.SetReadDeadline(c.waitDeadline(timeout))
}

// waitDeadline returns the end of the read in progress with the given timeout. The caller must hold c.mu.
func (c *serverConn) waitDeadline(timeout time.Duration) time.Time {
	if c.maxReadTimeout > 0 {
		timeout = min(timeout, c.maxReadTimeout)
	}
	deadline := c.waitingSince.Add(timeout)
	if !c.readBy.IsZero() && c.readBy.Before(deadline) {
		return c.readBy
	}
	return deadline
}

// endWait ends a read that beginWait has started.
func (c *serverConn) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingSince = time.Time{}
}

// liftReadTimeoutLimit removes the limit that limitReadTimeout has set for the previous stream.
func (c *serverConn) liftReadTimeoutLimit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxReadTimeout = 0
}

// limitReadTimeout limits the read timeout. The limit applies to the read in progress as well, from its start.
func (c *serverConn) limitReadTimeout(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.maxReadTimeout > 0 {
		limit = min(limit, c.maxReadTimeout)
	}
	c.maxReadTimeout = limit
	if !c.aborted && !c.waitingSince.IsZero() {
		_ = c.SetReadDeadline(c.waitDeadline(limit)) // fails only on a closed connection
	}
}

// silence returns how long the read in progress has waited, or 0 if there is none or the connection is aborted.
func (c *serverConn) silence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted || c.waitingSince.IsZero() {
		return 0
	}
	return time.Since(c.waitingSince)
}

// isAborted reports whether the connection is aborted.
func (c *serverConn) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// yield aborts the connection because it is needed for other requests.
func (c *serverConn) yield() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.yielded = true
	c.abortLocked()
}

// hasYielded reports whether yield was called.
func (c *serverConn) hasYielded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.yielded
}

// setWriteDeadline sets the write deadline. It keeps the deadline of an aborted connection.
func (c *serverConn) setWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return nil
	}
	return c.SetWriteDeadline(t)
}

// abort makes the current and all later reads and writes fail.
func (c *serverConn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortLocked()
}

// abortLocked is abort for a caller that holds c.mu.
func (c *serverConn) abortLocked() {
	c.aborted = true
	_ = c.SetDeadline(pastDeadline) // fails only on a closed connection
}

// Close closes the connection and discards the bytes that have not reached the server. Otherwise the system would go on
// sending them, and a server that pauses would process a request long after its attempt was given up.
func (c *serverConn) Close() error {
	if c.undeliveredBytes() > 0 {
		_ = c.rawConn.Control(func(fd uintptr) { // fails only on a closed connection
			_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		})
	}
	return c.Conn.Close()
}
