package console

import (
	"container/list"
	"net"
	"sync"
)

// callers is a listener that bounds the connections held. When all are taken, the one that has been held for the
// longest without a whole call is closed. Callers that send nothing would keep the staff out.
type callers struct {
	net.Listener
	most int

	mu      sync.Mutex
	open    int
	waiting *list.List    // of *caller without a whole call, the longest held first
	freed   chan struct{} // has one if a connection was closed
	closed  chan struct{}
	once    sync.Once
}

// caller is a connection. Its callers' lock guards its fields.
type caller struct {
	net.Conn
	of    *callers
	place *list.Element // nil: its call is whole, or it is closed
	gone  bool
}

func newCallers(l net.Listener, most int) *callers {
	return &callers{Listener: l, most: most, waiting: list.New(), freed: make(chan struct{}, 1),
		closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *callers) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.room() {
		select {
		case <-l.freed:
		case <-l.closed:
			_ = inner.Close()
			return nil, net.ErrClosed
		}
	}
	c := &caller{Conn: inner, of: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	c.place = l.waiting.PushBack(c)
	return c, nil
}

// room tells whether there is room for one more, and makes it if it can.
func (l *callers) room() bool {
	l.mu.Lock()
	if l.open < l.most {
		l.mu.Unlock()
		return true
	}
	front := l.waiting.Front()
	l.mu.Unlock()
	if front == nil {
		return false // all have whole calls, which end within a bounded time
	}
	_ = front.Value.(*caller).Close()
	return true
}

// Close implements net.Listener.
func (l *callers) Close() error {
	var err error
	l.once.Do(func() {
		close(l.closed)
		err = l.Listener.Close()
	})
	return err
}

// whole takes c from those that give way.
func (l *callers) whole(c *caller) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(c)
}

// answering counts the connections with a whole call.
func (l *callers) answering() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open - l.waiting.Len()
}

// settle takes c from the list. The lock is held.
func (l *callers) settle(c *caller) {
	if c.place != nil {
		l.waiting.Remove(c.place)
		c.place = nil
	}
}

// Close implements net.Conn.
func (c *caller) Close() error {
	c.of.mu.Lock()
	if !c.gone {
		c.gone = true
		c.of.open--
		c.of.settle(c)
		select {
		case c.of.freed <- struct{}{}:
		default:
		}
	}
	c.of.mu.Unlock()
	return c.Conn.Close()
}
