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

	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/proxy"
)

// TestConnectionStaysOpenBetweenRequests sends good requests one after another on one connection.
func TestConnectionStaysOpenBetweenRequests(t *testing.T) {
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
	c := p.DialConn()
	in := bufio.NewReader(c)
	for i := range 3 {
		fmt.Fprintf(c, "%s\r\n", testserver.RequestHead("GET", fmt.Sprint("k", i), "read"))
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
	gate := make(chan bool)
	b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if r.Header.Get("Idempotency-Key") != "" {
			<-gate
		}
		return testserver.Respond(200, "", "ok")(c, r, body)
	})
	configText := strings.Replace(testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings), `"sockets":1024`, `"sockets":64`, 1)
	p := start(t, configText)
	held := make(chan testserver.Result, 1)
	go func() { held <- p.Do(p.NewRequest(context.Background(), "book", "50000")) }()
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
	close(gate)
	if got := testserver.Receive(t, held, "response"); got.Status != 200 {
		t.Errorf("response %+v to the request in flight", got)
	}
}

// TestResponsesCloseConnectionsNearLimit has clients ask once and keep their connections: before these are all that
// clients may hold, responses end them, so that requests go on being taken. A connection in use before that is kept
// alive.
func TestResponsesCloseConnectionsNearLimit(t *testing.T) {
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	configText := strings.Replace(testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings), `"sockets":1024`, `"sockets":64`, 1)
	p := start(t, configText)
	budget := newSocketBudget(&config.Config{Sockets: 64})
	kept, ended := 0, 0
	for i := range 3 * budget.ClientConns {
		c := p.DialConn() // stays open to the end
		in := bufio.NewReader(c)
		fmt.Fprintf(c, "%s\r\n", testserver.RequestHead("GET", fmt.Sprint("once-", i), "read"))
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
		b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
		p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
		c := p.DialConn()
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", testserver.RequestHead("POST", "large", "pay"), 2*proxy.MaxRequestBody, strings.Repeat("x", 300<<10))
		testserver.ExpectFinalResponse(t, c, http.StatusRequestEntityTooLarge)
		if n := b.RequestCount(); n != 0 {
			t.Errorf("%d requests were forwarded", n)
		}
	})
	t.Run("requests behind the last one of a stop", func(t *testing.T) {
		gate := make(chan struct{})
		b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
			<-gate
			return testserver.Respond(200, "", "ok")(c, r, body)
		})
		p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
		c := p.DialConn()
		var queue strings.Builder
		for i := range 200 { // more than net/http reads ahead
			fmt.Fprintf(&queue, "%s\r\n", testserver.RequestHead("GET", fmt.Sprint("queued-", i), "read"))
		}
		if _, err := c.Write([]byte(queue.String())); err != nil {
			t.Fatal(err)
		}
		testserver.Receive(t, b.Requests, "first request")
		p.stop()
		p.waitUntilNotListening()
		close(gate)
		testserver.ExpectFinalResponse(t, c, http.StatusOK)
		if n := b.RequestCount(); n != 0 {
			t.Errorf("%d requests were forwarded behind the last one", n)
		}
		if err := testserver.Receive(t, p.ended, "end"); err != nil {
			t.Errorf("it ended with %v", err)
		}
		p.ended <- nil // for the cleanup
	})
}
