package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// startBackend starts a server that responds with body to every request.
func startBackend(t *testing.T, body string) *testserver.Backend {
	t.Helper()
	return testserver.StartBackend(t, testserver.Respond(200, "", body))
}

// startBlockingBackend starts a server that responds with body. It delays the responses to requests for which blocks
// returns true until release is closed.
func startBlockingBackend(t *testing.T, release <-chan struct{}, blocks func(*http.Request) bool,
	body string) *testserver.Backend {
	t.Helper()
	respond := testserver.Respond(200, "", body)
	return testserver.StartBackend(t, func(c net.Conn, r *http.Request, requestBody []byte) bool {
		if blocks(r) {
			<-release
		}
		return respond(c, r, requestBody)
	})
}

func anyRequest(*http.Request) bool { return true }

func hasIdempotencyKey(r *http.Request) bool { return r.Header.Get("Idempotency-Key") != "" }

func isPost(r *http.Request) bool { return r.Method == http.MethodPost }

// discardRequests discards the records of a server's requests, as the server blocks when b.Requests is full.
func discardRequests(b *testserver.Backend) {
	go func() {
		for range b.Requests {
		}
	}()
}

// unusedAddress returns an address at which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l := testserver.Listen(t)
	l.Close()
	return l.Addr().String()
}

// closeWrite closes the write side of a client connection.
func closeWrite(t *testing.T, c net.Conn) {
	t.Helper()
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
}

// sendHead sends a request of the idempotent class without a body on a connection.
func sendHead(c net.Conn, id string) {
	fmt.Fprintf(c, "%s\r\n", testserver.RequestHead("GET", id, "read"))
}

// pipelineRequests sends n requests of the idempotent class on a connection at once.
func pipelineRequests(t *testing.T, c net.Conn, n int) {
	t.Helper()
	var queue strings.Builder
	for i := range n {
		fmt.Fprintf(&queue, "%s\r\n", testserver.RequestHead("GET", fmt.Sprint("queued-", i), "read"))
	}
	if _, err := c.Write([]byte(queue.String())); err != nil {
		t.Fatal(err)
	}
}
