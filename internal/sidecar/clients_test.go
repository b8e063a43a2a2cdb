package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/downstream"
	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/proxy"
)

// TestMalformedRequestsGetOneErrorOrClose sends what net/http's client would not. Each gets one error or a close, and
// what stands behind it is never taken for a request.
func TestMalformedRequestsGetOneErrorOrClose(t *testing.T) {
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
	hidden := testserver.RequestHead("GET", "hidden", "read") + "\r\n"
	pay := testserver.RequestHead("POST", "i", "pay")
	for _, tt := range []struct {
		name, text string
		status     int // 0: a close will do
	}{
		{"both lengths", pay + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", len(hidden)+5) + hidden, 400},
		{"both, the other way round", pay + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + hidden, 400},
		{"both at another path", "POST /healthz HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + hidden, 400},
		{"a bad chunk", pay + "Transfer-Encoding: chunked\r\n\r\n4x\r\nskip\r\n0\r\n\r\n" + hidden, 400},
		{"a folded line", pay + "X-A: 1\r\n 2\r\nContent-Length: 4\r\n\r\nskip" + hidden, 400},
		{"the same length twice", pay + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nskip" + hidden, 400},
		{"unknown coding", pay + "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n\r\nskip" + hidden, 400},
		{"both in HTTP/1.0", strings.Replace(pay, "1.1", "1.0", 1) + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n" + hidden, 400},
		{"health in HTTP/1.0", "GET /healthz HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden, 200},
		{"two lengths", pay + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nskip" + hidden, 400},
		{"negative length", pay + "Content-Length: -1\r\n\r\n" + hidden, 400},
		{"no number", pay + "Content-Length: four\r\n\r\nskip" + hidden, 400},
		{"huge length", pay + "Content-Length: 60000000\r\n\r\n" + hidden, 413},
		{"length beyond numbers", pay + "Content-Length: 99999999999999999999\r\n\r\n" + hidden, 400},
		{"body on GET", testserver.RequestHead("GET", "i", "read") + "Content-Length: 4\r\n\r\nskip" + hidden, 400},
		{"no HTTP", "hello\r\n\r\n" + hidden, 400},
		{"no end of the head", pay, 0},
		{"head too long", pay + "X: " + strings.Repeat("x", 2*(16<<10)), 431},
		{"half a body", pay + "Content-Length: 400\r\n\r\nhalf", 408},
		{"nothing", "", 0},
		{"faults in a row", strings.Repeat(testserver.RequestHead("GET", "i", "sing")+"\r\n", 20) + hidden, 400},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := p.DialConn()
			if _, err := io.WriteString(c, tt.text); err != nil {
				t.Fatal(err)
			}
			responses, err := io.ReadAll(c)
			status := regexp.MustCompile(`HTTP/1\.\d \d+`).FindAllString(string(responses), -1)
			if len(status) > 1 || tt.status != 0 && (len(status) != 1 || !strings.HasSuffix(status[0], fmt.Sprint(" ", tt.status))) {
				t.Errorf("responses %q, error %v, want one of status %d", responses, err, tt.status)
			}
		})
	}
	if most := max(downstream.HeadTimeout, proxy.BodyStartTimeout, downstream.HeadTimeout+proxy.BodyGrace); most > 2800*time.Millisecond || downstream.HeadTimeout < 2200*time.Millisecond {
		t.Errorf("a head may take %v, a peer without a request is held for %v; 2 s are a client's right, 3 s owed", downstream.HeadTimeout, most)
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d requests were passed on, the first %+v", n, <-b.Requests)
	}
	if got := p.Send("pay"); got.Status != 200 {
		t.Errorf("response %+v to a good request", got)
	}
}

// TestDuplicateRequestIDIsRejected has a client come with the id of a request that is out, and again once that has its
// response.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	gate := make(chan bool)
	b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		<-gate
		return testserver.Respond(200, "", "mine")(c, r, body)
	})
	p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
	ask := func() *http.Request {
		r := p.NewRequest(context.Background(), "pay", "50000")
		r.Header.Set("X-Request-ID", "same")
		return r
	}
	first := make(chan testserver.Result, 1)
	go func() { first <- p.Do(ask()) }()
	testserver.Receive(t, b.Requests, "attempt")
	if got := p.Do(ask()); got.Status != 409 || !got.Close {
		t.Errorf("response %+v to an id in flight", got)
	}
	close(gate)
	if got := testserver.Receive(t, first, "response"); got.Status != 200 || got.Body != "mine" {
		t.Errorf("the first one got %+v", got)
	}
	if got := p.Do(ask()); got.Status != 409 {
		t.Errorf("response %+v to an id just used", got)
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d more attempts", n)
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
