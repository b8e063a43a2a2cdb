package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/wire"
)

// parseList returns the list that a text in discovery's form holds.
func parseList(t *testing.T, text string) discovery.List {
	t.Helper()
	l, err := discovery.ParseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// newTestClient is an upstream that knows the backends.
func newTestClient(t *testing.T, backends ...*testserver.Backend) *Client {
	u := New(wire.Limits{ConnectTimeout: testserver.Timeout, IdleClose: testserver.Timeout}, 1000, &atomic.Int64{})
	u.pool.reuseDelay = 0
	u.Update(parseList(t, testserver.ServingList(1, backends...)))
	t.Cleanup(func() { u.Update(discovery.List{Complete: true}) })
	return u
}

func newPostRequest(key string) *Message {
	return &Message{Method: http.MethodPost, URL: &url.URL{Path: "/api", RawQuery: "k=a%20b"}, ID: "id-1", IdempotencyKey: key,
		Body: [][]byte{[]byte("skip")}}
}

func newGetRequest() *Message {
	return &Message{Method: http.MethodGet, URL: &url.URL{Path: "/api"}, ID: "id-1"}
}

func TestOutcomeOfResponses(t *testing.T) {
	tests := []struct {
		name string
		do   func(net.Conn, *http.Request, []byte) bool
		want balance.Outcome
	}{
		{"served", testserver.Respond(200, "", "slot"), balance.Served},
		{"empty", testserver.Respond(200, "", ""), balance.Served},
		{"error", testserver.Respond(500, "", "oh"), balance.Errored},
		{"full", testserver.Respond(503, "X-Not-Processed: 1\r\n", "no"), balance.Saturated},
		{"late", testserver.Respond(504, "X-Not-Processed: 1\r\n", ""), balance.Saturated},
		{"unavailable, may have run", testserver.Respond(503, "", ""), balance.Errored},
		{"error that claims not to have run", testserver.Respond(500, "X-Not-Processed: 1\r\n", ""), balance.Errored},
		{"large", testserver.Respond(200, "", strings.Repeat("x", 32<<20)), balance.Served},
		{"too long", func(c net.Conn, _ *http.Request, _ []byte) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", maxResponseBody+1)
			return false
		}, balance.Errored},
		{"reset", testserver.ResetConnection, balance.Reset},
		{"end", func(net.Conn, *http.Request, []byte) bool { return false }, balance.Reset},
		{"no HTTP", func(c net.Conn, _ *http.Request, _ []byte) bool { fmt.Fprint(c, "what\r\n\r\n"); return false }, balance.Errored},
		{"half a body", func(c net.Conn, _ *http.Request, _ []byte) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
			return false
		}, balance.Reset},
		{"half a chunked body", func(c net.Conn, _ *http.Request, _ []byte) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
			return false
		}, balance.Reset},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, m := range []*Message{newGetRequest(), newPostRequest(""), newPostRequest("k")} {
				b := testserver.StartBackend(t, tt.do)
				r := newTestClient(t, b).Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: m, StartStreaming: drainStream})
				if r.Outcome != tt.want {
					t.Errorf("%s with key %q: outcome %d, want %d", m.Method, m.IdempotencyKey, r.Outcome, tt.want)
				}
				if tt.name == "served" && string(r.Body) != "slot" {
					t.Errorf("body %q", r.Body)
				}
				if n := b.RequestCount(); n != 1 {
					t.Errorf("%s with key %q came %d times", m.Method, m.IdempotencyKey, n)
				}
			}
		})
	}
}

func TestOutcomeOfUnsentAttempts(t *testing.T) {
	b := testserver.StartBackend(t, testserver.NeverRespond)
	u := newTestClient(t, b)
	gone := testserver.Listen(t)
	closed := testserver.EndpointEntry("s-1", gone.Addr().String(), "SERVING", 0)
	gone.Close()
	u.Update(parseList(t, testserver.ListText(2, false, closed)))
	over, cancel := context.WithCancel(context.Background())
	cancel()
	for _, tt := range []struct {
		name, to string
		ctx      context.Context
		want     balance.Outcome
	}{
		{"refused", "s-1", context.Background(), balance.ConnectFailed},
		{"unknown server", "s-9", context.Background(), balance.NotSent},
		{"called off before", "s-0", over, balance.NotSent},
	} {
		if r := u.Attempt(tt.ctx, AttemptRequest{ServerID: tt.to, Message: newPostRequest(""), StartStreaming: declineStreaming}); r.Outcome != tt.want {
			t.Errorf("%s: outcome %d, want %d", tt.name, r.Outcome, tt.want)
		}
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d requests came", n)
	}
}

// manualDeadline is a context whose deadline comes when the test says.
type manualDeadline struct {
	context.Context
	done chan struct{}
}

func newManualDeadline() *manualDeadline { return &manualDeadline{context.Background(), make(chan struct{})} }

func (e *manualDeadline) expire() { close(e.done) }

// Done implements context.Context.
func (e *manualDeadline) Done() <-chan struct{} { return e.done }

// Err implements context.Context.
func (e *manualDeadline) Err() error {
	select {
	case <-e.done:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

func TestOutcomeOfUnansweredAttempts(t *testing.T) {
	b := testserver.StartBackend(t, testserver.NeverRespond)
	u := newTestClient(t, b)
	late := newManualDeadline()
	ended := make(chan Response, 1)
	go func() {
		ended <- u.Attempt(late, AttemptRequest{ServerID: "s-0", Message: newPostRequest(""), StartStreaming: declineStreaming})
	}()
	testserver.Receive(t, b.Requests, "request")
	late.expire()
	if r := testserver.Receive(t, ended, "end"); r.Outcome != balance.TimedOut {
		t.Errorf("outcome %d, want a time-out", r.Outcome)
	}
	b = testserver.StartBackend(t, testserver.NeverRespond)
	u = newTestClient(t, b)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		ended <- u.Attempt(ctx, AttemptRequest{ServerID: "s-0", Message: newPostRequest(""), StartStreaming: declineStreaming})
	}()
	testserver.Receive(t, b.Requests, "request")
	cancel()
	if r := testserver.Receive(t, ended, "end"); r.Outcome != balance.Cancelled {
		t.Errorf("outcome %d, want cancelled", r.Outcome)
	}
}

// TestResetOnReusedConnectionIsNotRetried has a server answer once and then reset the connection on the next request. The transport
// would send GETs and keyed requests again by itself.
func TestResetOnReusedConnectionIsNotRetried(t *testing.T) {
	for _, m := range []*Message{newGetRequest(), newPostRequest(""), newPostRequest("k")} {
		first := true
		b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
			if first {
				first = false
				return testserver.Respond(200, "", "ok")(c, r, body)
			}
			return testserver.ResetConnection(c, r, body)
		})
		u := newTestClient(t, b)
		if r := u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: m, StartStreaming: drainStream}); r.Outcome != balance.Served {
			t.Fatalf("first outcome %d", r.Outcome)
		}
		if r := u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: m, StartStreaming: drainStream}); r.Outcome != balance.Reset {
			t.Errorf("%s with key %q: outcome %d, want a reset", m.Method, m.IdempotencyKey, r.Outcome)
		}
		if n := b.RequestCount(); n != 2 {
			t.Errorf("%s with key %q: %d requests for two attempts", m.Method, m.IdempotencyKey, n)
		}
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	bodies := make(chan string, 1)
	b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		bodies <- string(body)
		return testserver.Respond(200, "", "")(c, r, body)
	})
	ctx, cancel := context.WithTimeout(context.Background(), testserver.Timeout)
	defer cancel()
	newTestClient(t, b).Attempt(ctx, AttemptRequest{ServerID: "s-0", Message: newPostRequest("k-7"), StartStreaming: declineStreaming})
	r := testserver.Receive(t, b.Requests, "request")
	if r.Method != "POST" || r.RequestURI != "/api?k=a%20b" || r.Header.Get("X-Request-ID") != "id-1" ||
		r.Header.Get("Idempotency-Key") != "k-7" || r.Header.Get("Accept-Encoding") != "" || r.ContentLength != 4 {
		t.Errorf("got %+v", r)
	}
	if body := testserver.Receive(t, bodies, "body"); body != "skip" {
		t.Errorf("body %q", body)
	}
	var ms int64
	if _, err := fmt.Sscan(r.Header.Get("X-Timeout-Ms"), &ms); err != nil || ms < 1 || ms > testserver.Timeout.Milliseconds() {
		t.Errorf("X-Timeout-Ms %q: %v", r.Header.Get("X-Timeout-Ms"), err)
	}
}

// TestRestartedServerGetsNewConnections has a server restart: its old connections must not get the next request.
func TestRestartedServerGetsNewConnections(t *testing.T) {
	conns := make(chan net.Conn, 10)
	b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		conns <- c
		return testserver.Respond(200, "", "")(c, r, body)
	})
	u := newTestClient(t, b)
	ask := func() net.Conn {
		if r := u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: newGetRequest(), StartStreaming: declineStreaming}); r.Outcome != balance.Served {
			t.Fatalf("outcome %d", r.Outcome)
		}
		return testserver.Receive(t, conns, "connection")
	}
	first := ask()
	u.Update(parseList(t, testserver.ListText(2, false, testserver.EndpointEntry("s-0", b.Address, "DRAINING", 0))))
	if r := u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: newGetRequest(), StartStreaming: declineStreaming}); r.Outcome != balance.NotSent {
		t.Errorf("outcome %d at a server that drains", r.Outcome)
	}
	u.Update(parseList(t, testserver.ListText(2, false, testserver.EndpointEntry("s-0", b.Address, "SERVING", 0))))
	if ask() != first {
		t.Error("a change of state cost the connection")
	}
	u.Update(parseList(t, testserver.ListText(3, false, testserver.EndpointEntry("s-0", b.Address, "SERVING", 1700000000000))))
	if ask() == first {
		t.Error("a request went to the former process's connection")
	}
	u.Update(parseList(t, testserver.ListText(4, false, testserver.EndpointEntry("s-0", b.Address, "DELETED", 0))))
	if r := u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: newGetRequest(), StartStreaming: declineStreaming}); r.Outcome != balance.NotSent {
		t.Errorf("outcome %d at a removed server", r.Outcome)
	}
	u.Update(parseList(t, testserver.ListText(5, false, testserver.EndpointEntry("s-0", b.Address, "SERVING", 0))))
	ask()
}

// TestFailureClosesIdleConnections has one attempt fail while another connection idles: that one must not get a request.
func TestFailureClosesIdleConnections(t *testing.T) {
	for _, timeout := range []bool{true, false} {
		conns := make(chan net.Conn, 10)
		verdict := make(chan string, 10)
		b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
			conns <- c
			switch <-verdict {
			case "silent":
				return testserver.NeverRespond(c, r, body)
			case "reset":
				return testserver.ResetConnection(c, r, body)
			}
			return testserver.Respond(200, "", "")(c, r, body)
		})
		u := newTestClient(t, b)
		ended := make(chan Response, 2)
		for range 2 {
			go func() {
				ended <- u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: newGetRequest(), StartStreaming: declineStreaming})
			}()
		}
		old := map[net.Conn]bool{testserver.Receive(t, conns, "connection"): true, testserver.Receive(t, conns, "connection"): true}
		for range 2 {
			verdict <- "ok"
			testserver.Receive(t, ended, "end")
		}
		ctx, want := newManualDeadline(), balance.Reset
		go func() {
			ended <- u.Attempt(ctx, AttemptRequest{ServerID: "s-0", Message: newGetRequest(), StartStreaming: declineStreaming})
		}()
		if c := testserver.Receive(t, conns, "connection"); !old[c] {
			t.Fatal("the request did not reuse a connection")
		}
		if timeout {
			want = balance.TimedOut
			verdict <- "silent"
			ctx.expire()
		} else {
			verdict <- "reset"
		}
		if r := testserver.Receive(t, ended, "end"); r.Outcome != want {
			t.Errorf("outcome %d, want %d", r.Outcome, want)
		}
		go func() {
			ended <- u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: newGetRequest(), StartStreaming: declineStreaming})
		}()
		if c := testserver.Receive(t, conns, "connection"); old[c] {
			t.Error("a request went to an idle connection of a server that failed")
		}
		verdict <- "ok"
		testserver.Receive(t, ended, "end")
	}
}
