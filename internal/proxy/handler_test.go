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
func serveHandler(t *testing.T, c *config.Config, h *EventLoop) (*Handler, *downstream.Listener, *http.Server) {
	t.Helper()
	handler := NewHandler(c, h, 1000)
	conns := downstream.NewListener(testserver.Listen(t), 1000, 1000, &h.metrics.UnservedConns)
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
	c, err := loadConfig(t, testserver.ConfigText("127.0.0.1:9", testserver.ServingList(1, backends...), testserver.Settings))
	if err != nil {
		t.Fatal(err)
	}
	c.Settings.PollDiscovery = true  // and so no watch but that of this test
	c.Settings.SlowStartCapacity = 1 // all servers start over and over, and are to serve at once
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := slog.New(slog.DiscardHandler)
	h, err := NewEventLoop(ctx, c, 1000, log, nil)
	if err != nil {
		t.Fatal(err)
	}
	go h.Run(ctx)
	s, conns, web := serveHandler(t, c, h)
	p := &testserver.Client{T: t, Address: conns.Addr().String(), HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}

	updateList := func(l discovery.List) {
		done := make(chan bool)
		h.Post(func() { h.OnUpdate(balance.ListFull, l); close(done) })
		testserver.Receive(t, done, "list")
	}
	const rounds, each = 300, 10
	for round := range rounds {
		var entries []string
		for i, b := range backends {
			entries = append(entries, testserver.EndpointEntry(fmt.Sprintf("s-%d-%d", (round+i)/2, i), b.Address, "SERVING", int64(round/3)))
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
	left := make(chan string, 1)
	for end := time.Now().Add(testserver.Timeout); ; {
		h.Post(func() {
			openConns, idleConns := h.upstream.ConnCounts()
			left <- fmt.Sprintf("calls %d, targets %d, connections to servers %d open %d idle, from clients %d open %d idle, ids %d",
				len(h.inflight), len(h.upstream.Endpoints()), openConns, idleConns, conns.Counts().Open,
				conns.Counts().Idle, len(s.ids.inFlight))
		})
		got := testserver.Receive(t, left, "count")
		if got == "calls 0, targets 0, connections to servers 0 open 0 idle, from clients 0 open 0 idle, ids 0" {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("after %d requests: %s", rounds*each, got)
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	// The backends' accepting and noting, and this test's server, stay.
	for end := time.Now().Add(testserver.Timeout); runtime.NumGoroutine() > before+2*len(backends)+10; {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines, %d before", runtime.NumGoroutine(), before)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestHandlerPanicIsServerError has a fault of the program end the handler: the request gets an error and its
// connection ends in order, and the next one is served.
func TestHandlerPanicIsServerError(t *testing.T) {
	backend := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	c, err := loadConfig(t, testserver.ConfigText("127.0.0.1:9", testserver.ServingList(1, backend), testserver.Settings))
	if err != nil {
		t.Fatal(err)
	}
	c.Settings.PollDiscovery = true // and so no watch in this test
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h, err := NewEventLoop(ctx, c, 1000, slog.New(slog.DiscardHandler), nil)
	if err != nil {
		t.Fatal(err)
	}
	go h.Run(ctx)
	s, conns, web := serveHandler(t, c, h)
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
		a      finalResponse
		status int
		header string
	}{
		{finalResponse{kind: rejected, retryAfter: 250 * time.Millisecond}, 503, "0.250"},
		{finalResponse{kind: rejected}, 503, ""},
		{finalResponse{kind: badGateway}, 502, ""},
	} {
		w := httptest.NewRecorder()
		tt.a.write(w)
		if w.Code != tt.status || w.Header().Get("Retry-After") != tt.header {
			t.Errorf("%+v: status %d, header %v", tt.a, w.Code, w.Header())
		}
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
