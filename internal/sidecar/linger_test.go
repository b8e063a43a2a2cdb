package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// lastAnswer reads one answer from c, and fails the test if its connection does not end in order behind it.
func lastAnswer(t *testing.T, c net.Conn, status int) {
	t.Helper()
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != status || !resp.Close {
		t.Errorf("answer %+v, error %v, want %d and the connection's end", resp, err, status)
	}
	if rest, err := io.ReadAll(in); err != nil || len(rest) > 0 {
		t.Errorf("%q and error %v behind the last answer, want its end", rest, err)
	}
}

// TestLastAnswerBeforeUnreadBytes: bytes that nobody reads do not cost the answer that goes before them, and are no request.
func TestLastAnswerBeforeUnreadBytes(t *testing.T) {
	t.Run("too large a body", func(t *testing.T) {
		b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
		p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
		c := p.dial()
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head("POST", "large", "pay"), 2*maxRequestBody, strings.Repeat("x", 300<<10))
		lastAnswer(t, c, http.StatusRequestEntityTooLarge)
		if n := b.RequestCount(); n != 0 {
			t.Errorf("%d requests were sent on", n)
		}
	})
	t.Run("requests behind the last one of a stop", func(t *testing.T) {
		gate := make(chan struct{})
		b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
			<-gate
			return testserver.Respond(200, "", "ok")(c, r, body)
		})
		p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
		c := p.dial()
		var queue strings.Builder
		for i := range 200 { // more than net/http reads ahead
			fmt.Fprintf(&queue, "%s\r\n", head("GET", fmt.Sprint("queued-", i), "read"))
		}
		if _, err := c.Write([]byte(queue.String())); err != nil {
			t.Fatal(err)
		}
		testserver.Receive(t, b.Requests, "first request")
		p.stop()
		p.deaf()
		close(gate)
		lastAnswer(t, c, http.StatusOK)
		if n := b.RequestCount(); n != 0 {
			t.Errorf("%d requests were sent on behind the last one", n)
		}
		if err := testserver.Receive(t, p.ended, "end"); err != nil {
			t.Errorf("it ended with %v", err)
		}
		p.ended <- nil // for the cleanup
	})
}
