package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// respondRaw answers with text as it is, and waits for the other side to close.
func respondRaw(text string) func(net.Conn, *http.Request, []byte) bool {
	return func(c net.Conn, r *http.Request, body []byte) bool {
		_, _ = io.WriteString(c, text)
		return testserver.NeverRespond(c, r, body)
	}
}

// TestMalformedResponsesAreErrors has answers come that cannot be read, on connections that stay open: each may have run, is not
// served, and costs its connection at once.
func TestMalformedResponsesAreErrors(t *testing.T) {
	for _, tt := range []struct{ name, text string }{
		{"noise", "\x00\x17\x90what\r\n\r\n"},
		{"another protocol", "ICY 200 OK\r\nContent-Length: 4\r\n\r\nslot"},
		{"no status", "HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nslot"},
		{"negative status", "HTTP/1.1 -20 OK\r\nContent-Length: 4\r\n\r\nslot"},
		{"no colon", "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\nslot"},
		{"no end of the head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: ppppppppppppp\r\n", 2*maxHeaderBytes/20)},
		{"line without end", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes)},
		{"head that stops", "HTTP/1.1 200 OK\r\nContent-Le"},
		{"101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"},
		{"1xx for ever", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 50) + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslot"},
		{"length too long", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nslot"},
		{"length doubled", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nslot"},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nslot"},
		{"length negative", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nslot"},
		{"length signed", "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nslot"},
		{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nslot\r\n0\r\n\r\n"},
		{"unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nslot"},
		{"no length, no body and no end", "HTTP/1.1 200 OK\r\n\r\n"},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" + strings.Repeat("x", 1<<20)},
		{"broken chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabcde\r\n0\r\n\r\n"},
		{"chunks that stop before any", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			closed := make(chan bool, 1)
			b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
				respondRaw(tt.text)(c, r, body)
				closed <- true
				return false
			})
			u := newTestClient(t, b)
			u.responseTimeoutNanos.Store(int64(100 * time.Millisecond))
			if r := u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: newGetRequest(), StartStreaming: declineStreaming}); r.Outcome != balance.Errored || r.Body != nil {
				t.Errorf("outcome %d, body %q, want an error", r.Outcome, r.Body)
			}
			testserver.Receive(t, closed, "end of the connection")
			if u.pool.openConns != 0 {
				t.Errorf("%d connections are left", u.pool.openConns)
			}
		})
	}
}

// TestNoLength: a body without a length is whole once its server ends the connection in order, whatever the head says of
// the connection. After a reset it may be a part.
func TestCloseDelimitedBodyEndsWithOrderlyClose(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n",
		"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n", "HTTP/1.0 200 OK\r\n"} {
		for _, body := range []string{"hal", ""} {
			for reset, want := range map[bool]balance.Outcome{false: balance.Served, true: balance.Reset} {
				b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, _ []byte) bool {
					fmt.Fprint(c, start+"\r\n"+body)
					return reset && testserver.ResetConnection(c, r, nil)
				})
				u := newTestClient(t, b)
				r := u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: newGetRequest(), StartStreaming: declineStreaming})
				if r.Outcome != want || !reset && string(r.Body) != body || u.pool.openConns != 0 {
					t.Errorf("%q, body %q, reset %v: outcome %d, body %q, %d connections left, want outcome %d",
						start, body, reset, r.Outcome, r.Body, u.pool.openConns, want)
				}
			}
		}
	}
}

// TestNoLengthOfAnError: the head of an answer that is not 200 says all. Its body, which may never end, is not waited for.
func TestCloseDelimitedErrorIsNotWaitedFor(t *testing.T) {
	for head, want := range map[string]balance.Outcome{
		"HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\n\r\n":                      balance.Saturated,
		"HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\nConnection: close\r\n\r\n": balance.Saturated,
		"HTTP/1.1 500 X\r\n\r\n":                                            balance.Errored,
		"HTTP/1.1 204 X\r\n\r\n":                                            balance.Errored,
	} {
		u := newTestClient(t, testserver.StartBackend(t, respondRaw(head)))
		u.responseTimeoutNanos.Store(int64(time.Hour))
		ended := make(chan Response, 1)
		go func() {
			ended <- u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: newPostRequest(""), StartStreaming: declineStreaming})
		}()
		if r := testserver.Receive(t, ended, "outcome"); r.Outcome != want {
			t.Errorf("%q: outcome %d, want %d", head, r.Outcome, want)
		}
	}
}

// TestWellFormedResponsesAreServed has good answers come with what else servers say: all are served, and what is behind one is never
// taken for the next.
func TestWellFormedResponsesAreServed(t *testing.T) {
	answer := func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.Header.Get("X-Request-ID")), r.Header.Get("X-Request-ID"))
	}
	for _, tt := range []struct {
		name                 string
		ahead, behind, later string
		reused               bool
	}{
		{name: "alone", reused: true},
		{name: "1xx ahead", ahead: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", reused: true},
		{name: "second copy", behind: "copy"},
		{name: "noise", behind: "\x00\x01HTTP/1.1 200"},
		{name: "second copy later", later: "copy"},
		{name: "noise later", later: "\x00"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			conns := make(chan net.Conn, 10)
			b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, _ []byte) bool {
				_, _ = io.WriteString(c, tt.ahead+answer(r)+strings.Replace(tt.behind, "copy", answer(r), 1))
				conns <- c
				return true
			})
			u := newTestClient(t, b)
			var last net.Conn
			for i := range 3 {
				m := newGetRequest()
				m.ID = fmt.Sprint("id-", i)
				r := u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: m, StartStreaming: declineStreaming})
				if r.Outcome != balance.Served || string(r.Body) != m.ID {
					t.Fatalf("outcome %d, body %q for %q", r.Outcome, r.Body, m.ID)
				}
				c := testserver.Receive(t, conns, "connection")
				if (c == last) != (tt.reused && i > 0) {
					t.Errorf("request %d: same connection %v, want %v", i, c == last, tt.reused)
				}
				last = c
				if tt.later != "" { // what is written here has come before the next request is made
					_, _ = io.WriteString(c, strings.Replace(tt.later, "copy", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nid-x", 1))
				}
			}
		})
	}
}

// TestChunked: a chunked answer with a trailer is whole, and its connection good.
func TestChunkedResponseLeavesConnectionReusable(t *testing.T) {
	conns := make(chan net.Conn, 10)
	b := testserver.StartBackend(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nsl\r\n2\r\not\r\n0\r\nX-T: 1\r\n\r\n")
		conns <- c
		return true
	})
	u := newTestClient(t, b)
	for range 2 {
		if r := u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: newGetRequest(), StartStreaming: declineStreaming}); r.Outcome != balance.Served || string(r.Body) != "slot" {
			t.Fatalf("outcome %d, body %q", r.Outcome, r.Body)
		}
	}
	if testserver.Receive(t, conns, "connection") != testserver.Receive(t, conns, "connection") {
		t.Error("the connection was not reused")
	}
}

// TestNoOldConnections: a new id at an old address gets no old connection, and what was out to a removed server comes
// back to nobody.
func TestConnectionsOfRemovedServerAreNotReused(t *testing.T) {
	conns, gate := make(chan net.Conn, 10), make(chan bool, 10)
	b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		conns <- c
		<-gate
		return testserver.Respond(200, "", "ok")(c, r, body)
	})
	u := newTestClient(t, b)
	ended := make(chan Response, 1)
	ask := func(id string) {
		ended <- u.Attempt(context.Background(), AttemptRequest{ServerID: id, Message: newGetRequest(), StartStreaming: declineStreaming})
	}
	gate <- true
	ask("s-0")
	testserver.Receive(t, ended, "end")
	idle := testserver.Receive(t, conns, "connection")
	go ask("s-0")
	if testserver.Receive(t, conns, "connection") != idle {
		t.Fatal("the idle connection was not used")
	}
	u.Update(parseList(t, testserver.ListText(2, true, testserver.EndpointEntry("s-new", b.Address, "SERVING", 0))))
	gate <- true
	if r := testserver.Receive(t, ended, "end"); r.Outcome != balance.Served {
		t.Errorf("outcome %d of what was out when its server was removed", r.Outcome)
	}
	if u.pool.openConns != 0 {
		t.Errorf("%d connections to a removed server are left", u.pool.openConns)
	}
	gate <- true
	ask("s-new")
	testserver.Receive(t, ended, "end")
	if testserver.Receive(t, conns, "connection") == idle {
		t.Error("a new server got a connection of the old one")
	}
}

// TestPoolBound: beyond the bound the longest idle connection makes room, and without one nothing is sent.
func TestConnLimitReplacesLongestIdleConnection(t *testing.T) {
	gate := make(chan bool)
	quick := testserver.StartBackend(t, testserver.Respond(200, "", ""))
	slow := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		<-gate
		return testserver.Respond(200, "", "")(c, r, body)
	})
	u := newTestClient(t, quick, slow)
	u.pool.maxConns = 1
	if r := u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: newGetRequest(), StartStreaming: declineStreaming}); r.Outcome != balance.Served {
		t.Fatalf("outcome %d", r.Outcome)
	}
	ended := make(chan Response, 1)
	go func() {
		ended <- u.Attempt(context.Background(), AttemptRequest{ServerID: "s-1", Message: newGetRequest(), StartStreaming: declineStreaming})
	}()
	testserver.Receive(t, slow.Requests, "request in the idle connection's place")
	if r := u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: newGetRequest(), StartStreaming: declineStreaming}); r.Outcome != balance.NotSent {
		t.Errorf("outcome %d with no descriptor left", r.Outcome)
	}
	close(gate)
	testserver.Receive(t, ended, "end")
	if u.pool.openConns != 1 || u.pool.idleConns.Len() != 1 {
		t.Errorf("%d open, %d idle", u.pool.openConns, u.pool.idleConns.Len())
	}
}

// TestIdleExpires: an idle connection is closed well before its server would.
func TestIdleConnectionsExpire(t *testing.T) {
	closed := make(chan bool, 1)
	b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		testserver.Respond(200, "", "")(c, r, body)
		testserver.NeverRespond(c, r, body)
		closed <- true
		return false
	})
	u := newTestClient(t, b)
	u.pool.idleTimeoutNanos.Store(int64(20 * time.Millisecond))
	u.Attempt(context.Background(), AttemptRequest{ServerID: "s-0", Message: newGetRequest(), StartStreaming: declineStreaming})
	testserver.Receive(t, closed, "end of the idle connection")
}
