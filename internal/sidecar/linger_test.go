package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/proxy"
)

// TestUnreadBytesDoNotCostFinalResponse: bytes that nobody reads do not cost the response that goes before them, and
// are no request.
func TestUnreadBytesDoNotCostFinalResponse(t *testing.T) {
	t.Run("too large a body", func(t *testing.T) {
		b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
		p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
		c := p.DialConn()
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", testserver.RequestHead("POST", "large", "pay"), 2*proxy.MaxRequestBody, strings.Repeat("x", 300<<10))
		testserver.ExpectFinalResponse(t, c, http.StatusRequestEntityTooLarge)
		if n := b.RequestCount(); n != 0 {
			t.Errorf("%d requests were forwarded", n)
		}
	})
	t.Run("requests behind the last one of a stop", func(t *testing.T) {
		gate := make(chan struct{})
		b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
			<-gate
			return testserver.Respond(200, "", "ok")(c, r, body)
		})
		p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
		c := p.DialConn()
		var queue strings.Builder
		for i := range 200 { // more than net/http reads ahead
			fmt.Fprintf(&queue, "%s\r\n", testserver.RequestHead("GET", fmt.Sprint("queued-", i), "read"))
		}
		if _, err := c.Write([]byte(queue.String())); err != nil {
			t.Fatal(err)
		}
		testserver.Receive(t, b.Requests, "first request")
		p.stop()
		p.waitUntilNotListening()
		close(gate)
		testserver.ExpectFinalResponse(t, c, http.StatusOK)
		if n := b.RequestCount(); n != 0 {
			t.Errorf("%d requests were forwarded behind the last one", n)
		}
		if err := testserver.Receive(t, p.ended, "end"); err != nil {
			t.Errorf("it ended with %v", err)
		}
		p.ended <- nil // for the cleanup
	})
}
