package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestErrorResponseWithLongBodyIsNotStreamed: an error response whose body is long or breaks off has the outcome that
// its head says. Nothing of it is offered for streaming, and its connection is closed.
func TestErrorResponseWithLongBodyIsNotStreamed(t *testing.T) {
	long := strings.Repeat("x", MaxBufferedBody+1)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(long), long)
	for _, status := range []struct {
		line string
		want balance.Outcome
	}{
		{"HTTP/1.1 500 X\r\n", balance.Errored},
		{"HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\n", balance.Saturated},
	} {
		for _, body := range []struct{ name, text string }{
			{"long", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long)},
			{"long and chunked", "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n"},
			{"breaks off", "Content-Length: 10\r\n\r\nhalf"},
			{"breaks off in a chunk", "Transfer-Encoding: chunked\r\n\r\n8\r\nhalf"},
		} {
			t.Run(fmt.Sprintf("outcome %d, %s", status.want, body.name), func(t *testing.T) {
				expectOutcomeWithoutBody(t, status.line+body.text, status.want)
			})
		}
	}
}

// expectOutcomeWithoutBody sends a request to a server that responds with text and closes the connection. The attempt
// has to have this outcome, no body, nothing to stream and no connection left.
func expectOutcomeWithoutBody(t *testing.T, text string, want balance.Outcome) {
	t.Helper()
	client := newTestClient(t, testserver.StartBackend(t, func(conn net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = io.WriteString(conn, text) // the client may close the connection before the end of it
		return false
	}))
	streamed := false
	startStreaming := func(Response) bool {
		streamed = true
		return false
	}
	request := AttemptRequest{ServerID: "s-0", Message: newGetRequest(), StartStreaming: startStreaming}
	r := client.Attempt(context.Background(), request)
	if r.Outcome != want || r.Body != nil || streamed {
		t.Errorf("outcome %d, %d bytes, streamed %v, want outcome %d alone", r.Outcome, len(r.Body), streamed, want)
	}
	if client.pool.openConns != 0 {
		t.Errorf("%d connections are left", client.pool.openConns)
	}
}

// TestDeclinedStreamCancelsAttempt: a long response whose streaming is declined ends its attempt, with its connection.
func TestDeclinedStreamCancelsAttempt(t *testing.T) {
	closed := make(chan bool, 1)
	client := newTestClient(t, testserver.StartBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", MaxBufferedBody+1)
		testserver.NeverRespond(conn, r, body)
		closed <- true
		return false
	}))
	ended := make(chan Response, 1)
	go func() { ended <- sendRequest(client, "s-0", newGetRequest()) }()
	r := testserver.Receive(t, ended, "end of the attempt")
	if r.Outcome != balance.Cancelled || r.Remainder != nil {
		t.Errorf("outcome %d, want %d; a stream in the response: %v", r.Outcome, balance.Cancelled, r.Remainder != nil)
	}
	if client.pool.openConns != 0 {
		t.Fatalf("%d connections are left", client.pool.openConns)
	}
	testserver.Receive(t, closed, "end of the connection")
}
