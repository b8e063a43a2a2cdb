package downstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/metrics"
)

// acceptConn returns a listener for maxConns connections, one that it has accepted, and its client's end, which the end
// of the test closes.
func acceptConn(t *testing.T, maxConns int) (l *Listener, c *Conn, client net.Conn) {
	t.Helper()
	l = NewListener(testserver.Listen(t), maxConns, maxConns, &metrics.UnservedConns{})
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return l, accepted.(*Conn), client
}

// TestConnectionWithRequestKeepsItsPlace follows the bound itself: a connection with a request is never closed for
// another.
func TestConnectionWithRequestKeepsItsPlace(t *testing.T) {
	l := NewListener(testserver.Listen(t), 2, 2, &metrics.UnservedConns{})
	var conns []*Conn
	accept := func() *Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		got, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn := got.(*Conn)
		conns = append(conns, conn)
		go func() { // as the server does
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				l.onHTTPState(conn, http.StateClosed)
			}
		}()
		return conn
	}
	busy, idle := accept(), accept()
	l.onHTTPState(busy, http.StateActive)
	third := accept()
	closed := func(c *Conn) bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return c.state == stateClosed
	}
	if closed(busy) || !closed(idle) || closed(third) {
		t.Fatalf("closed: busy %v, idle %v, third %v", closed(busy), closed(idle), closed(third))
	}
	l.onHTTPState(third, http.StateActive)
	l.onHTTPState(idle, http.StateClosed) // the server hears of it late
	busy.MarkFinalResponse()
	accept()
	if !closed(busy) || closed(third) {
		t.Errorf("closed: ending %v, busy %v", closed(busy), closed(third))
	}
	for _, c := range conns {
		l.onHTTPState(c, http.StateClosed)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.unserved[metrics.Evicted].Load(); n != 1 {
		t.Errorf("%d connections ended unserved for room, want 1", n)
	}
	if l.openConns != 0 || l.usedConns != 0 || l.idleConns.Len() != 0 {
		t.Errorf("%d open and %d idle after the end of all", l.openConns, l.idleConns.Len())
	}
}

// readHookConn is a connection that calls got when its Read has got something, before that returns.
type readHookConn struct {
	net.Conn
	afterRead func()
}

// Read implements net.Conn.
func (c *readHookConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.afterRead != nil {
		c.afterRead()
	}
	return n, err
}

// TestRetiredConnectionServesRequestReadMeanwhile retires a connection between the moment that its reader has got a
// request and the moment that anybody can know: the request is served, and its answer ends the connection.
func TestRetiredConnectionServesRequestReadMeanwhile(t *testing.T) {
	for _, tt := range []struct {
		name   string
		before string // sent and answered first
		retire func(*Listener, *Conn)
	}{
		{"new, for room", "", func(l *Listener, c *Conn) { l.beginRetire(c, metrics.Evicted) }},
		{"used, for room", "GET / HTTP/1.1\r\n\r\n", func(l *Listener, c *Conn) { l.beginRetire(c, metrics.Evicted) }},
		{"used, stopping", "GET / HTTP/1.1\r\n\r\n", func(l *Listener, c *Conn) {
			l.mu.Unlock()
			l.RetireIdle(0)
			l.mu.Lock()
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, c, client := acceptConn(t, 2)
			inner := &readHookConn{Conn: c.Conn}
			c.Conn = inner
			buffer := make([]byte, 1000)
			if tt.before != "" {
				fmt.Fprint(client, tt.before)
				if _, err := c.Read(buffer); err != nil {
					t.Fatal(err)
				}
				l.onHTTPState(c, http.StateActive)
				l.onHTTPState(c, http.StateIdle)
			}
			inner.afterRead = func() {
				l.mu.Lock()
				defer l.mu.Unlock()
				tt.retire(l, c)
				if c.state != stateRetiring {
					t.Error("it is not retired")
				}
			}
			request := "GET /api HTTP/1.1\r\n\r\n"
			fmt.Fprint(client, request)
			if n, err := c.Read(buffer); n != len(request) || err != nil {
				t.Fatalf("%d bytes, error %v", n, err)
			}
			inner.afterRead = nil
			if c.state != stateActive || !c.closeAfterResponse || c.idleElement != nil || l.retiringConns != 0 ||
				!c.ClosesAfterResponse() {
				t.Errorf("state %d, closes after its response %v, in the list %v, %d retiring",
					c.state, c.closeAfterResponse, c.idleElement != nil, l.retiringConns)
			}
			fmt.Fprint(client, "x")
			if _, err := c.Read(buffer); err != nil { // its deadline is not over
				t.Errorf("error %v behind the request", err)
			}
		})
	}
}

// TestRetiredConnectionServesUnreadRequest retires a connection, and lets its idle time run out, where a request waits
// unread.
func TestRetiredConnectionServesUnreadRequest(t *testing.T) {
	for _, retired := range []bool{true, false} {
		l, c, client := acceptConn(t, 2)
		l.onHTTPState(c, http.StateActive)
		l.onHTTPState(c, http.StateIdle)
		fmt.Fprint(client, "GET /api HTTP/1.1\r\n\r\n")
		for end := time.Now().Add(testserver.Timeout); !c.hasUnreadInput(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("nothing came")
			}
		}
		if retired {
			l.RetireIdle(0)
		} else if err := c.SetReadDeadline(pastDeadline); err != nil {
			t.Fatal(err)
		}
		n, err := c.Read(make([]byte, 1000))
		if n == 0 || err != nil || c.closeAfterResponse != retired || c.state == stateRetiring {
			t.Errorf("retired %v: %d bytes, error %v, last %v", retired, n, err, c.closeAfterResponse)
		}
		l.onHTTPState(c, http.StateActive)
		l.onHTTPState(c, http.StateIdle)
		if (c.state == stateRetiring) != retired {
			t.Errorf("behind its answer retired is %v, want %v", (c.state == stateRetiring), retired)
		}
	}
}

// TestLingeringEndsWhereDescriptorIsWanted: a connection is read on behind its last answer until its client ends it,
// but not where its descriptor is wanted.
func TestLingeringEndsWhereDescriptorIsWanted(t *testing.T) {
	for _, tt := range []struct {
		name     string
		maxConns int
		reset    bool // its client finds it reset
	}{{"room is left", 2, false}, {"none is left", 1, true}} {
		t.Run(tt.name, func(t *testing.T) {
			l, c, client := acceptConn(t, tt.maxConns)
			l.onHTTPState(c, http.StateActive)
			if _, err := client.Write(make([]byte, 1000)); err != nil {
				t.Fatal(err)
			}
			for !c.hasUnreadInput() {
				time.Sleep(time.Millisecond) // for the bytes to come
			}
			closed := make(chan error, 1)
			go func() { closed <- c.Close() }()
			if _, err := io.ReadAll(client); (err != nil) != tt.reset {
				t.Errorf("error %v, want a reset: %v", err, tt.reset)
			}
			client.Close()
			if err := testserver.Receive(t, closed, "close"); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestConnectionWithNextRequestIsNotIdle has a client send two requests at once. Behind the first response the reader
// has the second request already: the connection counts as busy, and is not retired.
func TestConnectionWithNextRequestIsNotIdle(t *testing.T) {
	l, c, client := acceptConn(t, 2)
	requests := "GET /api HTTP/1.1\r\n\r\nGET /api HTTP/1.1\r\n\r\n"
	fmt.Fprint(client, requests)
	for got, buffer := 0, make([]byte, 1000); got < len(requests); {
		n, err := c.Read(buffer)
		if err != nil {
			t.Fatal(err)
		}
		got += n
	}
	l.onHTTPState(c, http.StateActive)
	l.onHTTPState(c, http.StateIdle)
	l.RetireIdle(0)
	l.RetireAll()
	if c.idleElement != nil || c.state == stateRetiring || c.closeAfterResponse || !c.hasPendingRequest() {
		t.Errorf("state %d, in the list %v, closes after its response %v, has a request %v",
			c.state, c.idleElement != nil, c.closeAfterResponse, c.hasPendingRequest())
	}
	l.onHTTPState(c, http.StateActive)
	l.onHTTPState(c, http.StateIdle)
	if c.idleElement == nil || c.hasPendingRequest() {
		t.Errorf("behind its last response: idle %v, has a request %v", c.idleElement != nil, c.hasPendingRequest())
	}
}

// TestBodyDeadlineDoesNotEndReadingAhead lets the time for a body run out once the body has come whole: the request is
// in hand, and what net/http reads ahead must not fail, but for net/http's own end of it.
func TestBodyDeadlineDoesNotEndReadingAhead(t *testing.T) {
	l, c, client := acceptConn(t, 2)
	read := func() (int, error) { return c.Read(make([]byte, 1000)) }
	fmt.Fprint(client, "POST /api HTTP/1.1\r\nContent-Length: 4\r\n\r\nsk")
	if _, err := read(); err != nil {
		t.Fatal(err)
	}
	l.onHTTPState(c, http.StateActive)
	over := time.Now().Add(-time.Second)
	if err := c.SetReadDeadline(over); err != nil {
		t.Fatal(err)
	}
	if _, err := read(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v in a body whose time is over", err)
	}
	fmt.Fprint(client, "ip")
	_ = c.SetReadDeadline(time.Now().Add(testserver.Timeout))
	if _, err := read(); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(over)
	fmt.Fprint(client, "G")
	if n, err := read(); n != 1 || err != nil {
		t.Errorf("%d bytes, error %v behind a whole body", n, err)
	}
	_ = c.SetReadDeadline(pastDeadline)
	if _, err := read(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v where reading ahead is ended", err)
	}
}

// TestRetireAllLeavesLingeringConnections: a connection that lingers is not closed by the end, which would reset it
// where bytes are unread, but lingers for less.
func TestRetireAllLeavesLingeringConnections(t *testing.T) {
	l, c, _ := acceptConn(t, 2)
	defer c.Conn.Close()
	startedAt := time.Now()
	l.onHTTPState(c, http.StateActive)
	c.MarkFinalResponse()
	l.RetireAll()
	if c.state == stateClosed || c.state == stateRetiring {
		t.Error("it is closed behind its last answer")
	}
	if until := l.lingerDeadline(startedAt); !until.Equal(l.shutdownAt.Add(shutdownLingerTimeout)) {
		t.Errorf("it lingers for %v, want %v behind the end", until.Sub(startedAt), shutdownLingerTimeout)
	}
}
