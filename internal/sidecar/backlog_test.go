package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestClientGoneBehindBacklogGetsNoFurtherAttempts guards against attempts for a client that has sent much on its
// connection and closed it: the end of the connection stands behind bytes that are still unread, or that the system
// has not even received.
func TestClientGoneBehindBacklogGetsNoFurtherAttempts(t *testing.T) {
	const serverDelay = 500 * time.Millisecond
	for _, backlog := range []int{0, 10 << 10, 100 << 10, 1 << 20, 16 << 20} {
		t.Run(fmt.Sprintf("%d KiB", backlog>>10), func(t *testing.T) {
			t.Parallel()
			arrivals := make(chan time.Time, 100)
			fail := func(c net.Conn, r *http.Request, body []byte) bool {
				arrivals <- time.Now()
				time.Sleep(serverDelay)
				return testserver.Respond(500, "", "")(c, r, body)
			}
			p := startWithBackends(t, testserver.StartBackend(t, fail), testserver.StartBackend(t, fail))
			conn := p.DialConn()
			go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
			sendHead(conn, "first")
			testserver.Receive(t, arrivals, "first attempt")
			written := make(chan bool)
			go func() {
				defer close(written)
				request := testserver.RequestHead("GET", "behind", "read") + "X-Pad: " + strings.Repeat("p", 8<<10) + "\r\n\r\n"
				_, _ = io.WriteString(conn, strings.Repeat(request, backlog/len(request)))
			}()
			select {
			case <-written:
			case <-time.After(serverDelay / 5): // the system accepts no more
			}
			conn.Close()
			closedAt := time.Now()
			time.Sleep(3 * serverDelay)
			for len(arrivals) > 0 {
				if late := (<-arrivals).Sub(closedAt); late > 100*time.Millisecond {
					t.Errorf("an attempt arrived %v after the client had closed its connection", late)
				}
			}
		})
	}
}
