package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/stats"
)

// TestConnectionWithNextRequestIsNotIdle has a client send two requests at once. Behind the first response the reader has the second
// request already: the connection counts as busy, and is not retired.
func TestConnectionWithNextRequestIsNotIdle(t *testing.T) {
	l := NewListener(testserver.Listen(t), 2, 2, &stats.Unserved{})
	out, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := accepted.(*Conn)
	requests := "GET /api HTTP/1.1\r\n\r\nGET /api HTTP/1.1\r\n\r\n"
	fmt.Fprint(out, requests)
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
	if c.idleElement != nil || c.retired || c.closeAfterResponse || !l.hasRequest(c) {
		t.Errorf("idle %v, retired %v, last %v, has a request %v", c.idleElement != nil, c.retired, c.closeAfterResponse, l.hasRequest(c))
	}
	l.onHTTPState(c, http.StateActive)
	l.onHTTPState(c, http.StateIdle)
	if c.idleElement == nil || l.hasRequest(c) {
		t.Errorf("behind its last response: idle %v, has a request %v", c.idleElement != nil, l.hasRequest(c))
	}
}
