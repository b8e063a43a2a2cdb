package downstream

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/metrics"
)

// bodyReader reads a connection as http.Server and a handler do, and closes it at the first error.
type bodyReader struct {
	client net.Conn
	ended  chan error
}

// startBody opens a connection to l, sends a request without the end of its body, and reads what comes on it.
func startBody(t *testing.T, l *Listener) *bodyReader {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(client, "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nhalf")
	r := &bodyReader{client, make(chan error, 1)}
	begun := make(chan struct{}, 1000)
	go func() { // ends with the connection
		for buffer := make([]byte, 100); ; begun <- struct{}{} {
			if _, err := accepted.Read(buffer); err != nil {
				_ = accepted.(*Conn).Conn.Close()
				l.onHTTPState(accepted, http.StateClosed)
				r.ended <- err
				return
			}
		}
	}()
	testserver.Receive(t, begun, "request")
	return r
}

// sendSlowly sends a byte of the body several times each bodyStallTime, until the end of the test.
func (r *bodyReader) sendSlowly(t *testing.T) {
	t.Helper()
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(bodyStallTime / 8):
				_, _ = r.client.Write([]byte("x")) // fails only after the end of the connection, which tests report
			}
		}
	}()
}

// acceptNext opens a connection to l, and returns a channel that receives it when it is accepted.
func acceptNext(t *testing.T, l *Listener) <-chan net.Conn {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	accepted := make(chan net.Conn, 1)
	go func() { // ends with the listener
		if conn, err := l.Accept(); err == nil {
			accepted <- conn
		}
	}()
	return accepted
}

// TestBodyWithProgressIsKept checks that a body which makes progress is not ended at the limit.
func TestBodyWithProgressIsKept(t *testing.T) {
	l := NewListener(testserver.Listen(t), 1, 1, &metrics.UnservedConns{})
	body := startBody(t, l)
	body.sendSlowly(t)
	accepted := acceptNext(t, l)
	select {
	case <-accepted:
		t.Error("a connection was accepted beyond the limit")
	case err := <-body.ended:
		t.Errorf("the body ended with %v", err)
	case <-time.After(3 * bodyStallTime):
	}
}

// TestStalledBodyGivesWayToNewConnection guards against clients that stop in the middle of a request body and keep all
// connections: a connection that waits is accepted soon, and the body without input for the longest time ends. A body
// that makes progress goes on.
func TestStalledBodyGivesWayToNewConnection(t *testing.T) {
	l := NewListener(testserver.Listen(t), 2, 2, &metrics.UnservedConns{})
	slow := startBody(t, l)
	stalled := startBody(t, l)
	slow.sendSlowly(t)
	testserver.Receive(t, acceptNext(t, l), "new connection")
	if err := testserver.Receive(t, stalled.ended, "end of the stalled body"); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the stalled body ended with %v, want a timeout", err)
	}
	select {
	case err := <-slow.ended:
		t.Errorf("the body that makes progress ended with %v", err)
	default:
	}
}

// TestStalledBodiesGiveWayToLowerLimit checks that as many stalled bodies end as is needed for a new connection after
// the limit was lowered, as while two processes share the descriptors of a sidecar.
func TestStalledBodiesGiveWayToLowerLimit(t *testing.T) {
	l := NewListener(testserver.Listen(t), 4, 4, &metrics.UnservedConns{})
	var bodies []*bodyReader
	for range 4 {
		bodies = append(bodies, startBody(t, l))
	}
	l.SetLimits(2, 2)
	testserver.Receive(t, acceptNext(t, l), "new connection")
	ended := 0
	for _, body := range bodies {
		if len(body.ended) > 0 {
			ended++
		}
	}
	if counts := l.Counts(); ended < 3 || counts.Open > 2 {
		t.Errorf("%d bodies have ended and %d connections are open, want 3 at least and 2 at most", ended, counts.Open)
	}
}

// TestSilentResponseGivesWayToNewConnection guards against silent servers whose responses keep all connections: a
// connection that waits at the limit calls for the end of a response, again and again until one ends.
func TestSilentResponseGivesWayToNewConnection(t *testing.T) {
	l, c, client := acceptConn(t, 1)
	fmt.Fprint(client, "GET /api HTTP/1.1\r\nHost: x\r\n\r\n")
	if _, err := c.Read(make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	calls := 0
	l.SetEndUnresponsiveResponse(func() time.Duration {
		if calls++; calls == 2 {
			go func() { _ = c.Close() }() // as the handler of the response does
			go l.onHTTPState(c, http.StateClosed)
		}
		return time.Millisecond
	})
	testserver.Receive(t, acceptNext(t, l), "new connection")
	if calls < 2 {
		t.Errorf("%d calls for the end of a response, want 2 at least", calls)
	}
}

// TestUnreadBodyIsNotStalled checks that a body is not ended while its handler leaves bytes of it unread.
func TestUnreadBodyIsNotStalled(t *testing.T) {
	l, c, client := acceptConn(t, 1)
	buffer := make([]byte, 1000)
	fmt.Fprint(client, "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n")
	if _, err := c.Read(buffer); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(client, "half")
	testserver.Eventually(t, func() string {
		if !c.hasUnreadInput() {
			return "no unread bytes"
		}
		return ""
	})
	time.Sleep(2 * bodyStallTime)
	if available, _ := l.makeCapacity(); available {
		t.Error("a connection may be opened beyond the limit")
	}
	if n, err := c.Read(buffer); n != len("half") || err != nil {
		t.Errorf("%d bytes, error %v, want the unread ones", n, err)
	}
}

// TestStalledBodyIsKeptBelowLimit checks that no body is ended for want of input while connections are available.
func TestStalledBodyIsKeptBelowLimit(t *testing.T) {
	l := NewListener(testserver.Listen(t), 3, 3, &metrics.UnservedConns{})
	stalled := startBody(t, l)
	time.Sleep(2 * bodyStallTime)
	startBody(t, l)
	select {
	case err := <-stalled.ended:
		t.Errorf("the body ended with %v", err)
	case <-time.After(2 * bodyStallTime):
	}
}
