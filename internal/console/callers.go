package console

import (
	"container/list"
	"net"
	"sync"
)

// listener is a listener that bounds the connections held. When all are taken, the one that has been held for the
// longest without a whole call is closed. Callers that send nothing would keep the staff out.
type listener struct {
	net.Listener
	maxOpen int

	mu         sync.Mutex
	open       int
	incomplete *list.List    // of *caller without a whole call, the longest held first
	released   chan struct{} // has one if a connection was closed
	closed     chan struct{}
	closeOnce  sync.Once
}

// conn is a connection. Its callers' lock guards its fields.
type conn struct {
	net.Conn
	listener *listener
	element  *list.Element // nil: its call is whole, or it is closed
	isClosed bool
}

func newListener(l net.Listener, most int) *listener {
	return &listener{Listener: l, maxOpen: most, incomplete: list.New(), released: make(chan struct{}, 1),
		closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.ensureCapacity() {
		select {
		case <-l.released:
		case <-l.closed:
			_ = inner.Close()
			return nil, net.ErrClosed
		}
	}
	c := &conn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	c.element = l.incomplete.PushBack(c)
	return c, nil
}

// ensureCapacity tells whether there is room for one more, and makes it if it can.
func (l *listener) ensureCapacity() bool {
	l.mu.Lock()
	if l.open < l.maxOpen {
		l.mu.Unlock()
		return true
	}
	front := l.incomplete.Front()
	l.mu.Unlock()
	if front == nil {
		return false // all have whole calls, which end within a bounded time
	}
	_ = front.Value.(*conn).Close()
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

// markComplete takes c from those that give way.
func (l *listener) markComplete(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIncomplete(c)
}

// completeCalls counts the connections with a whole call.
func (l *listener) completeCalls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open - l.incomplete.Len()
}

// removeIncomplete takes c from the list. The lock is held.
func (l *listener) removeIncomplete(c *conn) {
	if c.element != nil {
		l.incomplete.Remove(c.element)
		c.element = nil
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	if !c.isClosed {
		c.isClosed = true
		c.listener.open--
		c.listener.removeIncomplete(c)
		select {
		case c.listener.released <- struct{}{}:
		default:
		}
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
