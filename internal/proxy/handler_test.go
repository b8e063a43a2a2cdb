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

// serveHandler starts a handler for the loop on a listener, with the same HTTP server as in production. The caller
// closes the server.
func serveHandler(t *testing.T, c *config.Config, loop *EventLoop) (*Handler, *downstream.Listener, *http.Server) {
	t.Helper()
	return serveHandlerWith(t, c, loop, ConnContext)
}

// serveHandlerWith is serveHandler with a function for http.Server.ConnContext.
func serveHandlerWith(t *testing.T, c *config.Config, loop *EventLoop,
	connContext connContextFunc) (*Handler, *downstream.Listener, *http.Server) {
	t.Helper()
	handler := NewHandler(c, loop, 1000)
	conns := downstream.NewListener(testserver.Listen(t), 1000, 1000, &loop.metrics.UnservedConns)
	web := conns.HTTPServer(handler, slog.New(slog.DiscardHandler))
	web.ConnContext = connContext
	go func() { _ = web.Serve(conns) }()
	return handler, conns, web
}

// TestManyRequestsLeakNothing checks that 3000 requests leave no requests, servers, connections, request IDs or
// goroutines behind, which would add up over a long day. Each request has a new ID and a connection of its own. Servers
// are replaced continually, also at addresses of former servers.
func TestManyRequestsLeakNothing(t *testing.T) {
	before := runtime.NumGoroutine()
	var backends []*testserver.Backend
	for range 4 {
		b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
		go func() { // discards the recorded requests
			for range b.Requests {
			}
		}()
		backends = append(backends, b)
	}
	c := loadConfig(t, testserver.ServingList(1, backends...), testserver.Settings)
	c.Settings.PollDiscovery = true  // the only updates are those of this test
	c.Settings.SlowStartCapacity = 1 // new servers have to serve requests at once
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
	const rounds, requestsPerRound = 300, 10
	for round := range rounds {
		var entries []string
		for i, b := range backends {
			id := fmt.Sprintf("s-%d-%d", (round+i)/2, i)
			entries = append(entries, testserver.EndpointEntry(id, b.Address, "SERVING", int64(round/3)))
		}
		updateList(parseList(t, testserver.ListText(round+2, true, entries...)))
		for range requestsPerRound {
			if got := p.Send([]string{"read", "book", "pay"}[round%3]); got.Status != 200 {
				t.Fatalf("response %+v in round %d, want status 200", got, round)
			}
		}
	}
	updateList(discovery.List{Revision: rounds + 2, Complete: true})
	if err := web.Close(); err != nil {
		t.Error(err)
	}
	const wantCounts = "requests 0, servers 0, connections to servers 0 open 0 idle, from clients 0 open 0 idle, ids 0"
	counts := make(chan string, 1)
	testserver.Eventually(t, func() string {
		loop.Post(func() {
			open, idle := loop.upstream.ConnCounts()
			clients := conns.Counts()
			counts <- fmt.Sprintf("requests %d, servers %d, connections to servers %d open %d idle, "+
				"from clients %d open %d idle, ids %d", len(loop.inflight), len(loop.upstream.Endpoints()),
				open, idle, clients.Open, clients.Idle, len(s.ids.inFlight))
		})
		if got := testserver.Receive(t, counts, "counts"); got != wantCounts {
			return fmt.Sprintf("after %d requests: %s", rounds*requestsPerRound, got)
		}
		return ""
	})
	cancel()
	maxGoroutines := before + 2*len(backends) + 10 // two per backend and those of the HTTP server of this test remain
	testserver.Eventually(t, func() string {
		if n := runtime.NumGoroutine(); n > maxGoroutines {
			return fmt.Sprintf("%d goroutines, %d before the test", n, before)
		}
		return ""
	})
}

// TestHandlerPanicIsServerError checks that a request whose handler panics gets 500, that its connection is closed
// cleanly, and that the next request is served.
func TestHandlerPanicIsServerError(t *testing.T) {
	backend := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	c := loadConfig(t, testserver.ServingList(1, backend), testserver.Settings)
	c.Settings.PollDiscovery = true // no watch in this test
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop := newEventLoop(ctx, t, c, nil)
	go loop.Run(ctx)
	s, conns, web := serveHandler(t, c, loop)
	defer web.Close()
	p := &testserver.Client{T: t, Address: conns.Addr().String(), HTTP: &http.Client{Transport: &http.Transport{}}}
	defer p.HTTP.CloseIdleConnections()
	ids := s.ids
	s.ids = nil // serveAPI panics when it reserves the request ID
	conn := p.DialConn()
	fmt.Fprintf(conn, "%s\r\n", testserver.RequestHead("GET", "first", "read"))
	testserver.ExpectFinalResponse(t, conn, http.StatusInternalServerError)
	s.ids = ids
	if got := p.Send("pay"); got.Status != http.StatusOK {
		t.Errorf("response %+v to the next request, want status 200", got)
	}
}

// TestStatusAndRetryAfter checks the status and the Retry-After header of rejected and failed requests.
func TestStatusAndRetryAfter(t *testing.T) {
	for _, tt := range []struct {
		name       string
		response   finalResponse
		status     int
		retryAfter string
	}{
		{"rejected with Retry-After", finalResponse{kind: rejected, retryAfter: 250 * time.Millisecond}, 503, "0.250"},
		{"rejected without Retry-After", finalResponse{kind: rejected}, 503, ""},
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

// TestHTTP10RequestGets505 checks that a request to /api with HTTP/1.0 is refused and its connection closed.
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
		t.Errorf("status %d, want 505", resp.StatusCode)
	}
	if _, err := io.Copy(io.Discard, in); err != nil { // returns when the connection is closed
		t.Errorf("the connection is not closed cleanly: %v", err)
	}
	if n := p.backend.RequestCount(); n != 0 {
		t.Errorf("the server received %d requests, want 0", n)
	}
}
