package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/config"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/downstream"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// serveHandler serves a handler of the loop on client connections, as the process does, until the caller closes the
// server.
func serveHandler(t *testing.T, c *config.Config, loop *EventLoop) (*Handler, *downstream.Listener, *http.Server) {
	t.Helper()
	handler := NewHandler(c, loop, 1000)
	conns := downstream.NewListener(testserver.Listen(t), 1000, 1000, &loop.metrics.UnservedConns)
	web := conns.HTTPServer(handler, slog.New(slog.DiscardHandler))
	web.ConnContext = ConnContext
	go func() { _ = web.Serve(conns) }()
	return handler, conns, web
}

// TestNothingIsLeftBehindByManyRequests has thousands of requests come, each with a new id on a connection of its own,
// while servers are replaced all the time, also at addresses of former ones. What each left behind would add up over a
// long day.
func TestNothingIsLeftBehindByManyRequests(t *testing.T) {
	before := runtime.NumGoroutine()
	var backends []*testserver.Backend
	for range 4 {
		b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
		go func() { // takes note of nothing
			for range b.Requests {
			}
		}()
		backends = append(backends, b)
	}
	c := loadConfig(t, testserver.ServingList(1, backends...), testserver.Settings)
	c.Settings.PollDiscovery = true  // and so no watch but that of this test
	c.Settings.SlowStartCapacity = 1 // all servers start over and over, and are to serve at once
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop := newEventLoop(ctx, t, c, nil)
	go loop.Run(ctx)
	s, conns, web := serveHandler(t, c, loop)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	p := &testserver.Client{T: t, Address: conns.Addr().String(), HTTP: client}

	updateList := func(l discovery.List) {
		done := make(chan bool)
		loop.Post(func() { loop.OnUpdate(balance.ListFull, l); close(done) })
		testserver.Receive(t, done, "list")
	}
	const rounds, each = 300, 10
	for round := range rounds {
		var entries []string
		for i, b := range backends {
			id := fmt.Sprintf("s-%d-%d", (round+i)/2, i)
			entries = append(entries, testserver.EndpointEntry(id, b.Address, "SERVING", int64(round/3)))
		}
		updateList(parseList(t, testserver.ListText(round+2, true, entries...)))
		for range each {
			if got := p.Send([]string{"read", "book", "pay"}[round%3]); got.Status != 200 {
				t.Fatalf("response %+v in round %d", got, round)
			}
		}
	}
	updateList(discovery.List{Revision: rounds + 2, Complete: true})
	if err := web.Close(); err != nil {
		t.Error(err)
	}
	const nothingLeft = "requests 0, servers 0, connections to servers 0 open 0 idle, from clients 0 open 0 idle, ids 0"
	left := make(chan string, 1)
	testserver.Eventually(t, func() string {
		loop.Post(func() {
			open, idle := loop.upstream.ConnCounts()
			clients := conns.Counts()
			left <- fmt.Sprintf("requests %d, servers %d, connections to servers %d open %d idle, "+
				"from clients %d open %d idle, ids %d", len(loop.inflight), len(loop.upstream.Endpoints()),
				open, idle, clients.Open, clients.Idle, len(s.ids.inFlight))
		})
		if got := testserver.Receive(t, left, "count"); got != nothingLeft {
			return fmt.Sprintf("%d requests were served: %s", rounds*each, got)
		}
		return ""
	})
	cancel()
	most := before + 2*len(backends) + 10 // the backends' accepting and discarding, and this test's server, stay
	testserver.Eventually(t, func() string {
		if n := runtime.NumGoroutine(); n > most {
			return fmt.Sprintf("%d goroutines, %d before", n, before)
		}
		return ""
	})
}

// TestHandlerPanicIsServerError has a fault of the program end the handler: the request gets an error and its
// connection ends in order, and the next one is served.
func TestHandlerPanicIsServerError(t *testing.T) {
	backend := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	c := loadConfig(t, testserver.ServingList(1, backend), testserver.Settings)
	c.Settings.PollDiscovery = true // and so no watch in this test
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop := newEventLoop(ctx, t, c, nil)
	go loop.Run(ctx)
	s, conns, web := serveHandler(t, c, loop)
	defer web.Close()
	p := &testserver.Client{T: t, Address: conns.Addr().String(), HTTP: &http.Client{Transport: &http.Transport{}}}
	defer p.HTTP.CloseIdleConnections()
	ids := s.ids
	s.ids = nil // which api uses once it has read the request
	conn := p.DialConn()
	fmt.Fprintf(conn, "%s\r\n", testserver.RequestHead("GET", "first", "read"))
	testserver.ExpectFinalResponse(t, conn, http.StatusInternalServerError)
	s.ids = ids
	if got := p.Send("pay"); got.Status != http.StatusOK {
		t.Errorf("response %+v to the next request", got)
	}
}

// TestRejectionSaysWhenToRetry holds the status and Retry-After of final responses without a body.
func TestRejectionSaysWhenToRetry(t *testing.T) {
	for _, tt := range []struct {
		name       string
		response   finalResponse
		status     int
		retryAfter string
	}{
		{"rejected for a time", finalResponse{kind: rejected, retryAfter: 250 * time.Millisecond}, 503, "0.250"},
		{"rejected", finalResponse{kind: rejected}, 503, ""},
		{"bad gateway", finalResponse{kind: badGateway}, 502, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			tt.response.write(w)
			if w.Code != tt.status || w.Header().Get("Retry-After") != tt.retryAfter {
				t.Errorf("status %d, header %v, want %d and %q", w.Code, w.Header(), tt.status, tt.retryAfter)
			}
		})
	}
}

// TestHTTP10RequestGets505: a request to /api by HTTP/1.0 is refused, and its connection ends.
func TestHTTP10RequestGets505(t *testing.T) {
	p := startTestProxy(t, testserver.Respond(200, "", "ok"))
	conn := p.DialConn()
	head := strings.Replace(testserver.RequestHead("GET", "old-1", "read"), "HTTP/1.1", "HTTP/1.0", 1)
	if _, err := io.WriteString(conn, head+"Connection: keep-alive\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusHTTPVersionNotSupported {
		t.Errorf("status %d", resp.StatusCode)
	}
	if _, err := io.Copy(io.Discard, in); err != nil { // until the end of the connection
		t.Errorf("the connection does not end: %v", err)
	}
	if n := p.backend.RequestCount(); n != 0 {
		t.Errorf("%d requests at the server", n)
	}
}
