package admin

import (
	"container/list"
	"net"
	"sync"
)

// listener limits the number of open connections. At the limit, Accept closes the oldest connection without a complete
// call, so that clients that send nothing cannot lock operators out. If all open connections have a complete call,
// Accept waits until one of them is closed.
type listener struct {
	net.Listener
	maxOpen int

	mu         sync.Mutex
	open       int           // number of connections that were accepted and not closed
	incomplete *list.List    // contains the *conn without a complete call, the oldest first
	released   chan struct{} // has capacity 1; contains a value if a connection was closed
	closed     chan struct{}
	closeOnce  sync.Once
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *listener     // listener.mu guards the fields below
	element  *list.Element // element of listener.incomplete; nil: the call is complete or the connection is closed
	isClosed bool
}

func newListener(l net.Listener, maxOpen int) *listener {
	return &listener{
		Listener:   l,
		maxOpen:    maxOpen,
		incomplete: list.New(),
		released:   make(chan struct{}, 1),
		closed:     make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.ensureCapacity() {
		select {
		case <-l.released:
		case <-l.closed:
			_ = accepted.Close()
			return nil, net.ErrClosed
		}
	}
	c := &conn{Conn: accepted, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	c.element = l.incomplete.PushBack(c)
	return c, nil
}

// ensureCapacity reports whether another connection may be opened. At the limit it closes the oldest connection without
// a complete call, and returns false if there is none.
func (l *listener) ensureCapacity() bool {
	l.mu.Lock()
	if l.open < l.maxOpen {
		l.mu.Unlock()
		return true
	}
	oldest := l.incomplete.Front()
	l.mu.Unlock()
	if oldest == nil {
		return false
	}
	_ = oldest.Value.(*conn).Close()
	return true
}

// Close implements net.Listener.
func (l *listener) Close() error {
	var err error
	l.closeOnce.Do(func() {
		close(l.closed)
		err = l.Listener.Close()
	})
	return err
}

// markComplete records that a complete call was received on c.
func (l *listener) markComplete(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIncomplete(c)
}

// completeCalls returns the number of open connections with a complete call.
func (l *listener) completeCalls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open - l.incomplete.Len()
}

// removeIncomplete removes c from the connections without a complete call. The caller must hold mu.
func (l *listener) removeIncomplete(c *conn) {
	if c.element != nil {
		l.incomplete.Remove(c.element)
		c.element = nil
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.release(c)
	return c.Conn.Close()
}

// release removes c from the open connections. Further calls do nothing.
func (l *listener) release(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.isClosed {
		return
	}
	c.isClosed = true
	l.open--
	l.removeIncomplete(c)
	select {
	case l.released <- struct{}{}:
	default:
	}
}
