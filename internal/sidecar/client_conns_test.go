package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/proxy"
)

// TestConnectionStaysOpenBetweenRequests: valid requests are served one after another on one connection.
func TestConnectionStaysOpenBetweenRequests(t *testing.T) {
	p := startWithBackends(t, startBackend(t, "ok"))
	c := p.DialConn()
	in := bufio.NewReader(c)
	for i := range 3 {
		sendHead(c, fmt.Sprint("k", i))
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 || resp.Close {
			t.Fatalf("request %d: response %+v, error %v", i, resp, err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			t.Fatal(err)
		}
	}
}

// TestIdleConnectionsAreClosedAtLimit: with hundreds of idle client connections, a request in flight and a new request
// are still served, and the connections that have been idle for the longest are closed.
func TestIdleConnectionsAreClosedAtLimit(t *testing.T) {
	release := make(chan struct{})
	b := startBlockingBackend(t, release, hasIdempotencyKey, "ok")
	p := start(t, strings.Replace(configFor(t, b), `"sockets":1024`, `"sockets":64`, 1))
	inFlight := p.sendAsync(context.Background(), "book")
	testserver.Receive(t, b.Requests, "attempt")
	most := newSocketBudget(&config.Config{Sockets: 64}).ClientConns
	first := p.DialConn()
	for range 4 * most {
		p.DialConn()
	}
	if _, err := first.Read(make([]byte, 1)); err == nil {
		t.Error("the connection that was idle for the longest is still open")
	}
	if got := p.Send("pay"); got.Status != 200 {
		t.Errorf("response %+v to a new request", got)
	}
	close(release)
	if got := testserver.Receive(t, inFlight, "response"); got.Status != 200 {
		t.Errorf("response %+v to the request in flight", got)
	}
}

// TestStalledBodiesGiveWayToNewRequests: clients that stop in the middle of a request body and take all connections do
// not keep requests on new connections from being answered in time. They get an error.
func TestStalledBodiesGiveWayToNewRequests(t *testing.T) {
	p := start(t, strings.Replace(configFor(t, startBackend(t, "ok")), `"sockets":1024`, `"sockets":64`, 1))
	most := newSocketBudget(&config.Config{Sockets: 64}).ClientConns
	var stalled []net.Conn
	for i := range most {
		c := p.DialConn()
		fmt.Fprint(c, testserver.RequestHead("POST", fmt.Sprint("stalled-", i), "pay"), "Content-Length: 1000\r\n\r\nhalf")
		stalled = append(stalled, c)
	}
	p.waitForUsedConns(most)
	began := time.Now()
	for range 4 {
		p.HTTP.CloseIdleConnections() // each request comes on a new connection
		if got := p.Send("read"); got.Status != http.StatusOK {
			t.Errorf("response %+v", got)
		}
	}
	if took := time.Since(began); took > proxy.BodyStartTimeout/2 {
		t.Errorf("four requests were answered after %v, stalled bodies end by themselves after %v", took,
			proxy.BodyStartTimeout)
	}
	testserver.ExpectFinalResponse(t, stalled[0], http.StatusRequestTimeout)
}

// TestResponsesCloseConnectionsNearLimit: clients that send one request and keep their connections do not exhaust the
// limit. The first connections are kept alive. When their number nears the limit, each response closes its connection,
// so that new requests are still accepted.
func TestResponsesCloseConnectionsNearLimit(t *testing.T) {
	p := start(t, strings.Replace(configFor(t, startBackend(t, "ok")), `"sockets":1024`, `"sockets":64`, 1))
	budget := newSocketBudget(&config.Config{Sockets: 64})
	kept, ended := 0, 0
	for i := range 3 * budget.ClientConns {
		c := p.DialConn() // stays open until the test ends
		in := bufio.NewReader(c)
		sendHead(c, fmt.Sprint("once-", i))
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("connection %d: response %+v, error %v", i, resp, err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			t.Fatal(err)
		}
		if !resp.Close {
			kept++
			continue
		}
		ended++
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("connection %d: %v after the final response, want EOF", i, err)
		}
	}
	if kept == 0 || ended == 0 || kept >= budget.Requests {
		t.Errorf("%d connections kept alive and %d closed, limit %d", kept, ended, budget.Requests)
	}
}

// TestUnreadBytesDoNotCostFinalResponse: bytes that the sidecar leaves unread on a connection do not prevent the client
// from receiving the final response, and are not handled as a request.
func TestUnreadBytesDoNotCostFinalResponse(t *testing.T) {
	t.Run("request body too large", func(t *testing.T) {
		b := startBackend(t, "ok")
		p := startWithBackends(t, b)
		c := p.DialConn()
		head := testserver.RequestHead("POST", "large", "pay")
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, 2*proxy.MaxRequestBody, strings.Repeat("x", 300<<10))
		testserver.ExpectFinalResponse(t, c, http.StatusRequestEntityTooLarge)
		if n := b.RequestCount(); n != 0 {
			t.Errorf("%d requests were forwarded", n)
		}
	})
	t.Run("requests after the final one of a drain", func(t *testing.T) {
		release := make(chan struct{})
		b := startBlockingBackend(t, release, anyRequest, "ok")
		p := startWithBackends(t, b)
		c := p.DialConn()
		pipelineRequests(t, c, 200) // more than net/http buffers
		testserver.Receive(t, b.Requests, "first request")
		p.stop()
		p.waitUntilNotListening()
		close(release)
		testserver.ExpectFinalResponse(t, c, http.StatusOK)
		if n := b.RequestCount(); n != 0 {
			t.Errorf("%d requests were forwarded after the final one", n)
		}
		p.expectCleanExit()
	})
}
