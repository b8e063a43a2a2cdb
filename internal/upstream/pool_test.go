package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestResetOnReusedConnectionIsNotRetried has a server respond once and then reset the connection on the next
// request. http.Transport would retry GETs and requests with an idempotency key by itself.
func TestResetOnReusedConnectionIsNotRetried(t *testing.T) {
	for _, message := range []*Message{newGetRequest(), newPostRequest(""), newPostRequest("k")} {
		first := true
		backend := testserver.StartBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
			if first {
				first = false
				return testserver.Respond(200, "", "ok")(conn, r, body)
			}
			return testserver.ResetConnection(conn, r, body)
		})
		client := newTestClient(t, backend)
		if response := sendStreaming(client, "s-0", message); response.Outcome != balance.Served {
			t.Fatalf("first outcome %d", response.Outcome)
		}
		if response := sendStreaming(client, "s-0", message); response.Outcome != balance.Reset {
			t.Errorf("%s with key %q: outcome %d, want a reset",
				message.Method, message.IdempotencyKey, response.Outcome)
		}
		if n := backend.RequestCount(); n != 2 {
			t.Errorf("%s with key %q: %d requests for two attempts", message.Method, message.IdempotencyKey, n)
		}
	}
}

// pendingRequest is a request at a backend that waits to be told how to respond.
type pendingRequest struct {
	conn    net.Conn
	respond chan testserver.Handler
}

// TestFailureClosesIdleConnections has one attempt fail while another connection is idle: that one must not get a
// request. Each request has a channel of its own: one that timed out may read its instruction after the next one came.
func TestFailureClosesIdleConnections(t *testing.T) {
	ok := testserver.Respond(200, "", "")
	for _, timeout := range []bool{true, false} {
		pendingRequests := make(chan pendingRequest, 10)
		backend := testserver.StartBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
			e := pendingRequest{conn, make(chan testserver.Handler, 1)}
			pendingRequests <- e
			respond := <-e.respond
			return respond(conn, r, body)
		})
		client := newTestClient(t, backend)
		ended := make(chan Response, 2)
		for range 2 {
			go func() { ended <- sendRequest(client, "s-0", newGetRequest()) }()
		}
		first := testserver.Receive(t, pendingRequests, "request")
		second := testserver.Receive(t, pendingRequests, "request")
		for _, e := range []pendingRequest{first, second} {
			e.respond <- ok
			testserver.Receive(t, ended, "end")
		}
		isOld := func(conn net.Conn) bool { return conn == first.conn || conn == second.conn }
		ctx := newManualDeadline()
		want := balance.Reset
		go func() { ended <- sendRequestWithin(ctx, client, "s-0", newGetRequest()) }()
		failing := testserver.Receive(t, pendingRequests, "request")
		if !isOld(failing.conn) {
			t.Fatal("the request did not reuse a connection")
		}
		if timeout {
			want = balance.TimedOut
			failing.respond <- testserver.NeverRespond
			ctx.expire()
		} else {
			failing.respond <- testserver.ResetConnection
		}
		if response := testserver.Receive(t, ended, "end"); response.Outcome != want {
			t.Errorf("outcome %d, want %d", response.Outcome, want)
		}
		go func() { ended <- sendRequest(client, "s-0", newGetRequest()) }()
		next := testserver.Receive(t, pendingRequests, "request")
		if isOld(next.conn) {
			t.Error("a request went to an idle connection of a server that failed")
		}
		next.respond <- ok
		testserver.Receive(t, ended, "end")
	}
}

// TestSecondResponseIsNotTakenForNextRequest has a server send its response again as soon as a second request comes
// on the connection. A connection that rests after its response gets no request, so the second response is never
// read.
func TestSecondResponseIsNotTakenForNextRequest(t *testing.T) {
	backend := testserver.StartBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("X-Request-Id")
		testserver.Respond(200, "", id)(conn, r, body)
		_, _ = conn.Read(make([]byte, 1)) // until more comes
		testserver.Respond(200, "", id)(conn, r, body)
		return false
	})
	client := newTestClient(t, backend)
	client.pool.reuseDelay = time.Hour
	for i := range 3 {
		message := newGetRequest()
		message.ID = fmt.Sprint("id-", i)
		response := sendRequest(client, "s-0", message)
		if response.Outcome != balance.Served || string(response.Body) != message.ID {
			t.Errorf("outcome %d, body %q to %s", response.Outcome, response.Body, message.ID)
		}
	}
	if client.pool.openConns != 3 {
		t.Errorf("%d connections, want one for each request", client.pool.openConns)
	}
}

// TestConnectionRestsBeforeReuse sends two requests one right after the other: within the reuse delay of the first
// one's connection the second has one of its own. A pair that a busy machine delayed for longer shows nothing and is
// repeated.
func TestConnectionRestsBeforeReuse(t *testing.T) {
	end := time.Now().Add(testserver.Timeout)
	for time.Now().Before(end) {
		backend := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
		client := newDefaultClient(t, backend)
		startedAt := time.Now()
		for range 2 {
			response := sendRequest(client, "s-0", newGetRequest())
			if response.Outcome != balance.Served {
				t.Fatalf("outcome %d", response.Outcome)
			}
		}
		if time.Since(startedAt) >= 20*time.Millisecond {
			continue
		}
		if client.pool.openConns != 2 {
			t.Errorf("%d connections for two requests within 20 ms, want 2", client.pool.openConns)
		}
		return
	}
	t.Fatal("no two requests within 20 ms")
}

// TestConnLimitReplacesLongestIdleConnection: at the limit a new connection replaces the longest idle one, and where
// none is idle nothing is sent.
func TestConnLimitReplacesLongestIdleConnection(t *testing.T) {
	mayRespond := make(chan bool)
	quick := testserver.StartBackend(t, testserver.Respond(200, "", ""))
	slow := testserver.StartBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		<-mayRespond
		return testserver.Respond(200, "", "")(conn, r, body)
	})
	client := newTestClient(t, quick, slow)
	client.pool.maxConns = 1
	if response := sendRequest(client, "s-0", newGetRequest()); response.Outcome != balance.Served {
		t.Fatalf("outcome %d", response.Outcome)
	}
	ended := make(chan Response, 1)
	go func() { ended <- sendRequest(client, "s-1", newGetRequest()) }()
	testserver.Receive(t, slow.Requests, "request in the idle connection's place")
	if response := sendRequest(client, "s-0", newGetRequest()); response.Outcome != balance.NotSent {
		t.Errorf("outcome %d with no descriptor left", response.Outcome)
	}
	close(mayRespond)
	testserver.Receive(t, ended, "end")
	if client.pool.openConns != 1 || client.pool.idleConns.Len() != 1 {
		t.Errorf("%d open, %d idle", client.pool.openConns, client.pool.idleConns.Len())
	}
}

// TestIdleConnectionsExpire: the pool closes a connection that was idle for the idle timeout.
func TestIdleConnectionsExpire(t *testing.T) {
	closed := make(chan bool, 1)
	backend := testserver.StartBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		testserver.Respond(200, "", "")(conn, r, body)
		testserver.NeverRespond(conn, r, body)
		closed <- true
		return false
	})
	client := newTestClient(t, backend)
	client.pool.idleTimeoutNanos.Store(int64(20 * time.Millisecond))
	sendRequest(client, "s-0", newGetRequest())
	testserver.Receive(t, closed, "end of the idle connection")
}

// acquireConns acquires n connections to s-0.
func acquireConns(t *testing.T, client *Client, n int) (conns []*serverConn) {
	t.Helper()
	for range n {
		conn, err := client.pool.acquire(context.Background(), client.servers["s-0"])
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	return conns
}

// isClosed reports whether this side has closed a connection.
func isClosed(conn *serverConn) bool {
	return errors.Is(conn.Conn.SetReadDeadline(time.Time{}), net.ErrClosed)
}

// expectOneIdleConn fails the test unless one connection is open, and idle.
func expectOneIdleConn(t *testing.T, client *Client) {
	t.Helper()
	if open, idle := client.pool.openConns, client.pool.idleConns.Len(); open != 1 || idle != 1 {
		t.Errorf("%d open, %d idle, want one", open, idle)
	}
}

// TestLowerConnLimitClosesLongestIdle: a limit below the number of idle connections closes the longest idle ones at
// once.
func TestLowerConnLimitClosesLongestIdle(t *testing.T) {
	client := newTestClient(t, testserver.StartBackend(t, testserver.NeverRespond))
	conns := acquireConns(t, client, 3)
	for _, i := range []int{1, 0, 2} {
		client.pool.release(conns[i], true)
	}
	for _, tt := range []struct {
		maxConns int
		closed   []bool
	}{
		{2, []bool{false, true, false}},
		{1, []bool{true, true, false}},
	} {
		client.pool.setMaxConns(tt.maxConns)
		for i, want := range tt.closed {
			if got := isClosed(conns[i]); got != want {
				t.Errorf("limit %d: connection %d is closed: %v, want %v", tt.maxConns, i, got, want)
			}
		}
	}
	expectOneIdleConn(t, client)
}

// TestLowerConnLimitClosesAcquiredConnsOnRelease: an acquired connection outlives a lower limit until it is released.
func TestLowerConnLimitClosesAcquiredConnsOnRelease(t *testing.T) {
	client := newTestClient(t, testserver.StartBackend(t, testserver.NeverRespond))
	conns := acquireConns(t, client, 2)
	client.pool.setMaxConns(1)
	if isClosed(conns[0]) || isClosed(conns[1]) {
		t.Fatal("an acquired connection is closed")
	}
	client.pool.release(conns[0], true)
	client.pool.release(conns[1], true)
	if beyond, within := isClosed(conns[0]), isClosed(conns[1]); !beyond || within {
		t.Errorf("released beyond the limit: closed %v; released within it: closed %v", beyond, within)
	}
	expectOneIdleConn(t, client)
}
