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

// TestMalformedResponsesAreErrors checks that a malformed response has the outcome Errored, because the server may have
// processed the request, and that its connection is closed immediately although the server keeps it open.
func TestMalformedResponsesAreErrors(t *testing.T) {
	for _, tt := range []struct{ name, text string }{
		{"binary data", "\x00\x17\x90what\r\n\r\n"},
		{"another protocol", "ICY 200 OK\r\nContent-Length: 4\r\n\r\nslot"},
		{"invalid status", "HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\nslot"},
		{"negative status", "HTTP/1.1 -20 OK\r\nContent-Length: 4\r\n\r\nslot"},
		{"header line without colon", "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\nslot"},
		{"endless head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: ppppppppppppp\r\n", 2*maxHeaderBytes/20)},
		{"endless header line", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes)},
		{"stalled head", "HTTP/1.1 200 OK\r\nContent-Le"},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"},
		{"too many 1xx", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 50) +
			"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslot"},
		{"declared length longer than body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nslot"},
		{"duplicate length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nslot"},
		{"conflicting lengths", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nslot"},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nslot"},
		{"signed length", "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nslot"},
		{"length together with chunks", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"4\r\nslot\r\n0\r\n\r\n"},
		{"unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nslot"},
		{"no length, no body and no close", "HTTP/1.1 200 OK\r\n\r\n"},
		{"declared length of 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" + strings.Repeat("x", 1<<20)},
		{"malformed chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabcde\r\n0\r\n\r\n"},
		{"stalled before the first chunk data", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n"},
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
				t.Errorf("outcome %d, body %q, want Errored without a body", response.Outcome, response.Body)
			}
			testserver.Receive(t, closed, "end of the connection")
			if client.pool.openConns != 0 {
				t.Errorf("%d connections are open, want 0", client.pool.openConns)
			}
		})
	}
}

// TestUnreadableRefusalMayHaveRun guards against a request of an unsafe class that is executed twice: a refusal that is
// ambiguous, malformed, incomplete or followed by more bytes does not prove that the request was not processed.
func TestUnreadableRefusalMayHaveRun(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n"
	for _, tt := range []struct{ name, rest string }{
		{"two lengths", "X-Not-Processed: 1\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nrefuse"},
		{"length together with chunks", "X-Not-Processed: 1\r\nContent-Length: 2\r\n" + chunked + "\r\n0\r\n\r\n"},
		{"invalid length", "X-Not-Processed: 1\r\nContent-Length: +2\r\n\r\nno"},
		{"unknown coding", "X-Not-Processed: 1\r\nTransfer-Encoding: gzip\r\n\r\nno"},
		{"malformed chunks", "X-Not-Processed: 1\r\n" + chunked + "\r\nzz\r\nno\r\n0\r\n\r\n"},
		{"malformed chunk after a long one", "X-Not-Processed: 1\r\n" + chunked + "\r\n" +
			fmt.Sprintf("%x\r\n%s\r\n", 2*MaxBufferedBody, strings.Repeat("x", 2*MaxBufferedBody)) + "zz\r\n"},
		{"stalled body", "X-Not-Processed: 1\r\nContent-Length: 10\r\n\r\nhalf"},
		{"stalled chunk", "X-Not-Processed: 1\r\n" + chunked + "\r\n8\r\nhalf"},
		{"contradictory fields", "X-Not-Processed: 1\r\nX-Not-Processed: 0\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno"},
		{"bytes behind the body", "X-Not-Processed: 1\r\nContent-Length: 2\r\n\r\nnothing"},
		{"response behind the body", "X-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
	} {
		for _, status := range []string{"503 Service Unavailable", "504 Gateway Timeout"} {
			t.Run(tt.name+", "+status, func(t *testing.T) {
				t.Parallel() // a case mostly waits for its server
				client := newTestClient(t, testserver.StartBackend(t, respondRaw("HTTP/1.1 "+status+"\r\n"+tt.rest)))
				client.responseReadTimeoutNanos.Store(int64(100 * time.Millisecond))
				response := sendRequest(client, "s-0", newPostRequest(""))
				if response.Outcome != balance.Errored {
					t.Errorf("outcome %d, want Errored", response.Outcome)
				}
				if client.pool.openConns != 0 {
					t.Errorf("%d connections are open, want 0", client.pool.openConns)
				}
			})
		}
	}
}

// TestRefusalsInPiecesAreRecognized checks that a refusal is recognized although its body arrives in pieces with pauses,
// and that its connection is reused if nothing follows the body.
func TestRefusalsInPiecesAreRecognized(t *testing.T) {
	const pause = 2 * unknownLengthBufferTime
	for _, tt := range []struct {
		name, first, second string
		openConns           int
	}{
		{"declared length", "Content-Length: 4\r\n\r\nno", "pe", 1},
		{"chunked", "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n", "0\r\n\r\n", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			backend := testserver.StartBackend(t, func(conn net.Conn, _ *http.Request, _ []byte) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\n"+tt.first)
				time.Sleep(pause)
				_, _ = io.WriteString(conn, tt.second)
				return true
			})
			client := newTestClient(t, backend)
			response := sendRequest(client, "s-0", newPostRequest(""))
			if response.Outcome != balance.Saturated || client.pool.openConns != tt.openConns {
				t.Errorf("outcome %d, %d connections open, want Saturated and %d", response.Outcome,
					client.pool.openConns, tt.openConns)
			}
		})
	}
}

// TestCloseDelimitedBodyEndsWithOrderlyClose checks that a body without a declared length is complete when the server
// closes the connection in an orderly way, regardless of the Connection header. After a reset it may be incomplete.
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
					t.Errorf("%q, body %q, reset %v: outcome %d, body %q, %d connections open, want outcome %d",
						start, body, reset, response.Outcome, response.Body, client.pool.openConns, want)
				}
			}
		}
	}
}

// TestCloseDelimitedErrorBodyIsNotAwaited checks that an attempt does not wait for the close-delimited body of a
// response other than 200. Its outcome depends on the head alone, and the body may never end.
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

// TestWellFormedResponsesAreServed checks that well-formed responses with other bytes before or after them are served,
// and that the bytes after a response are never read as the next response.
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
		{name: "no other bytes", reused: true},
		{
			name:   "interim responses before",
			before: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
			reused: true,
		},
		{name: "duplicate response after", after: "copy"},
		{name: "binary data after", after: "\x00\x01HTTP/1.1 200"},
		{name: "duplicate response later", later: "copy"},
		{name: "binary data later", later: "\x00"},
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
				if tt.later != "" { // these bytes arrive before the next request is sent
					_, _ = io.WriteString(conn, strings.Replace(tt.later, "copy", otherResponse, 1))
				}
			}
		})
	}
}

// TestChunkedResponseLeavesConnectionReusable checks that a connection is reused after a chunked response with a
// trailer.
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
