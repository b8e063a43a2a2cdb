package upstream

import (
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

// TestMalformedResponsesAreErrors has malformed responses come on connections that stay open: each is an error, as its
// request may have run, and its connection is closed at once.
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
		{"too many 1xx", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 50) +
			"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslot"},
		{"length too long", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nslot"},
		{"length doubled", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nslot"},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nslot"},
		{"length negative", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nslot"},
		{"length signed", "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nslot"},
		{"length and chunks", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"4\r\nslot\r\n0\r\n\r\n"},
		{"unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nslot"},
		{"no length, no body and no end", "HTTP/1.1 200 OK\r\n\r\n"},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" + strings.Repeat("x", 1<<20)},
		{"broken chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabcde\r\n0\r\n\r\n"},
		{"chunks that stop before any", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			closed := make(chan bool, 1)
			backend := testserver.StartBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
				respondRaw(tt.text)(conn, r, body)
				closed <- true
				return false
			})
			client := newTestClient(t, backend)
			client.responseReadTimeoutNanos.Store(int64(100 * time.Millisecond))
			response := sendRequest(client, "s-0", newGetRequest())
			if response.Outcome != balance.Errored || response.Body != nil {
				t.Errorf("outcome %d, body %q, want an error", response.Outcome, response.Body)
			}
			testserver.Receive(t, closed, "end of the connection")
			if client.pool.openConns != 0 {
				t.Errorf("%d connections are left", client.pool.openConns)
			}
		})
	}
}

// TestCloseDelimitedBodyEndsWithOrderlyClose: a body without a declared length is complete once its server closes the
// connection in order, whatever the header says of the connection. After a reset it may be a part.
func TestCloseDelimitedBodyEndsWithOrderlyClose(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n",
		"HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n", "HTTP/1.0 200 OK\r\n"} {
		for _, body := range []string{"hal", ""} {
			for reset, want := range map[bool]balance.Outcome{false: balance.Served, true: balance.Reset} {
				backend := testserver.StartBackend(t, func(conn net.Conn, r *http.Request, _ []byte) bool {
					fmt.Fprint(conn, start+"\r\n"+body)
					return reset && testserver.ResetConnection(conn, r, nil)
				})
				client := newTestClient(t, backend)
				response := sendRequest(client, "s-0", newGetRequest())
				if response.Outcome != want || !reset && string(response.Body) != body || client.pool.openConns != 0 {
					t.Errorf("%q, body %q, reset %v: outcome %d, body %q, %d connections left, want outcome %d",
						start, body, reset, response.Outcome, response.Body, client.pool.openConns, want)
				}
			}
		}
	}
}

// TestCloseDelimitedErrorBodyIsNotAwaited: the head of a response other than 200 says all. Its body may never end.
func TestCloseDelimitedErrorBodyIsNotAwaited(t *testing.T) {
	for head, want := range map[string]balance.Outcome{
		"HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\n\r\n":                      balance.Saturated,
		"HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\nConnection: close\r\n\r\n": balance.Saturated,
		"HTTP/1.1 500 X\r\n\r\n":                                            balance.Errored,
		"HTTP/1.1 204 X\r\n\r\n":                                            balance.Errored,
	} {
		client := newTestClient(t, testserver.StartBackend(t, respondRaw(head)))
		client.responseReadTimeoutNanos.Store(int64(time.Hour))
		ended := make(chan Response, 1)
		go func() { ended <- sendRequest(client, "s-0", newPostRequest("")) }()
		if response := testserver.Receive(t, ended, "outcome"); response.Outcome != want {
			t.Errorf("%q: outcome %d, want %d", head, response.Outcome, want)
		}
	}
}

// TestWellFormedResponsesAreServed has good responses come with other bytes before or after them: all are served, and
// what follows one is never taken for the next.
func TestWellFormedResponsesAreServed(t *testing.T) {
	echoID := func(r *http.Request) string {
		id := r.Header.Get("X-Request-ID")
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	}
	const otherResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nid-x"
	for _, tt := range []struct {
		name                 string
		before, after, later string
		reused               bool
	}{
		{name: "alone", reused: true},
		{
			name:   "1xx before",
			before: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
			reused: true,
		},
		{name: "second copy", after: "copy"},
		{name: "noise", after: "\x00\x01HTTP/1.1 200"},
		{name: "second copy later", later: "copy"},
		{name: "noise later", later: "\x00"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			conns := make(chan net.Conn, 10)
			backend := testserver.StartBackend(t, func(conn net.Conn, r *http.Request, _ []byte) bool {
				response := echoID(r)
				_, _ = io.WriteString(conn, tt.before+response+strings.Replace(tt.after, "copy", response, 1))
				conns <- conn
				return true
			})
			client := newTestClient(t, backend)
			var last net.Conn
			for i := range 3 {
				message := newGetRequest()
				message.ID = fmt.Sprint("id-", i)
				response := sendRequest(client, "s-0", message)
				if response.Outcome != balance.Served || string(response.Body) != message.ID {
					t.Fatalf("outcome %d, body %q for %q", response.Outcome, response.Body, message.ID)
				}
				conn := testserver.Receive(t, conns, "connection")
				if (conn == last) != (tt.reused && i > 0) {
					t.Errorf("request %d: same connection %v, want %v", i, conn == last, tt.reused)
				}
				last = conn
				if tt.later != "" { // what is written here has come before the next request is made
					_, _ = io.WriteString(conn, strings.Replace(tt.later, "copy", otherResponse, 1))
				}
			}
		})
	}
}

// TestChunkedResponseLeavesConnectionReusable has chunked responses come with a trailer.
func TestChunkedResponseLeavesConnectionReusable(t *testing.T) {
	conns := make(chan net.Conn, 10)
	backend := testserver.StartBackend(t, func(conn net.Conn, _ *http.Request, _ []byte) bool {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"2\r\nsl\r\n2\r\not\r\n0\r\nX-T: 1\r\n\r\n")
		conns <- conn
		return true
	})
	client := newTestClient(t, backend)
	for range 2 {
		response := sendRequest(client, "s-0", newGetRequest())
		if response.Outcome != balance.Served || string(response.Body) != "slot" {
			t.Fatalf("outcome %d, body %q", response.Outcome, response.Body)
		}
	}
	if testserver.Receive(t, conns, "connection") != testserver.Receive(t, conns, "connection") {
		t.Error("the connection was not reused")
	}
}
