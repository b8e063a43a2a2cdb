package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/proxy"
)

// TestConnectionStaysOpenBetweenRequests sends good requests one after another on one connection.
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

// TestIdleConnectionsAreClosedAtLimit has clients hold hundreds of silent connections: those of a request in flight and
// of new requests are served, and the longest idle are closed.
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
		t.Error("the longest idle connection got a response")
	}
	if got := p.Send("pay"); got.Status != 200 {
		t.Errorf("response %+v to a new request", got)
	}
	close(release)
	if got := testserver.Receive(t, inFlight, "response"); got.Status != 200 {
		t.Errorf("response %+v to the request in flight", got)
	}
}

// TestResponsesCloseConnectionsNearLimit has clients send one request and keep their connections: before these are all
// that clients may hold, responses end them, so that requests go on being taken. A connection in use before that is
// kept alive.
func TestResponsesCloseConnectionsNearLimit(t *testing.T) {
	p := start(t, strings.Replace(configFor(t, startBackend(t, "ok")), `"sockets":1024`, `"sockets":64`, 1))
	budget := newSocketBudget(&config.Config{Sockets: 64})
	kept, ended := 0, 0
	for i := range 3 * budget.ClientConns {
		c := p.DialConn() // stays open to the end
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
			t.Errorf("connection %d: %v behind the last response, want its end", i, err)
		}
	}
	if kept == 0 || ended == 0 || kept >= budget.Requests {
		t.Errorf("%d connections are kept and %d ended, of %d that clients may hold", kept, ended, budget.Requests)
	}
}

// TestUnreadBytesDoNotCostFinalResponse: bytes that nobody reads do not cost the response that goes before them, and
// are no request.
func TestUnreadBytesDoNotCostFinalResponse(t *testing.T) {
	t.Run("too large a body", func(t *testing.T) {
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
	t.Run("requests behind the last one of a stop", func(t *testing.T) {
		release := make(chan struct{})
		b := startBlockingBackend(t, release, anyRequest, "ok")
		p := startWithBackends(t, b)
		c := p.DialConn()
		pipelineRequests(t, c, 200) // more than net/http reads ahead
		testserver.Receive(t, b.Requests, "first request")
		p.stop()
		p.waitUntilNotListening()
		close(release)
		testserver.ExpectFinalResponse(t, c, http.StatusOK)
		if n := b.RequestCount(); n != 0 {
			t.Errorf("%d requests were forwarded behind the last one", n)
		}
		p.expectCleanExit()
	})
}
