package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/stats"
	"milletramp.example/milletramp/internal/wire"
)

// TestConnectionRestsBeforeReuse sends two requests one right after the other: within the reuse delay of a connection the second one
// goes out on a connection of its own. A pair that a busy machine held up for longer shows nothing, and is followed by another.
func TestConnectionRestsBeforeReuse(t *testing.T) {
	for end := time.Now().Add(testserver.Timeout); time.Now().Before(end); {
		b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
		u := NewUpstream(wire.Limits{ConnectTimeout: testserver.Timeout, IdleClose: testserver.Timeout}, 1000, &atomic.Int64{})
		u.Update(parsed(t, testserver.ServingList(1, b)))
		t.Cleanup(func() { u.Update(List{Complete: true}) })
		began := time.Now()
		for range 2 {
			r := u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: get(), StartStreaming: whole})
			if r.Outcome != balance.Served {
				t.Fatalf("outcome %d", r.Outcome)
			}
		}
		if time.Since(began) >= 20*time.Millisecond {
			continue
		}
		if u.pool.openConns != 2 {
			t.Errorf("%d connections for two requests within 20 ms, want 2", u.pool.openConns)
		}
		return
	}
	t.Fatal("no two requests within 20 ms")
}

// TestConnectionWithNextRequestIsNotIdle has a client send two requests at once. Behind the first response the reader has the second
// request already: the connection counts as busy, and is not retired.
func TestConnectionWithNextRequestIsNotIdle(t *testing.T) {
	l := newClientConns(testserver.Listen(t), 2, 2, &stats.Unserved{})
	out, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := accepted.(*clientConn)
	requests := "GET /api HTTP/1.1\r\n\r\nGET /api HTTP/1.1\r\n\r\n"
	fmt.Fprint(out, requests)
	for got, buffer := 0, make([]byte, 1000); got < len(requests); {
		n, err := c.Read(buffer)
		if err != nil {
			t.Fatal(err)
		}
		got += n
	}
	l.state(c, http.StateActive)
	l.state(c, http.StateIdle)
	l.retireIdle(0)
	l.retireAll()
	if c.idle != nil || c.retired || c.last || !l.hasRequest(c) {
		t.Errorf("idle %v, retired %v, last %v, has a request %v", c.idle != nil, c.retired, c.last, l.hasRequest(c))
	}
	l.state(c, http.StateActive)
	l.state(c, http.StateIdle)
	if c.idle == nil || l.hasRequest(c) {
		t.Errorf("behind its last response: idle %v, has a request %v", c.idle != nil, l.hasRequest(c))
	}
}
