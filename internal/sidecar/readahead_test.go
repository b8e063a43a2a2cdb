package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestMalformedPipelinedRequestDoesNotCostFirstResponse has a client send a good request and, behind it, one that
// cannot be read, whole or but for its last byte, which net/http reads ahead while the first is out at its server. The
// first is served, and the second gets an error or the end.
func TestMalformedPipelinedRequestDoesNotCostFirstResponse(t *testing.T) {
	unread := testserver.RequestHead("GET", "bad", "read") + "Content-Length: 0\r\n"
	for name, bad := range map[string]string{
		"two lengths":       unread + "Content-Length: 0\r\n",
		"length and chunks": unread + "Transfer-Encoding: chunked\r\n\r\n",
	} {
		for later := range 2 {
			gate := make(chan struct{})
			b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
				<-gate
				return testserver.Respond(200, "", "ok")(c, r, body)
			})
			p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
			c := p.DialConn()
			fmt.Fprintf(c, "%s\r\n%s", testserver.RequestHead("GET", "good", "read"), bad[:len(bad)-later])
			testserver.Receive(t, b.Requests, "first request")
			fmt.Fprint(c, bad[len(bad)-later:])
			_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) // nothing may come, however long this is
			if n, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%s, %d bytes later: %d bytes, error %v while the first request is out", name, later, n, err)
			}
			close(gate)
			_ = c.SetReadDeadline(time.Now().Add(testserver.Timeout))
			in := bufio.NewReader(c)
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("%s, %d bytes later: response %+v, error %v to the first", name, later, resp, err)
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			if resp, err = http.ReadResponse(in, nil); err == nil && resp.StatusCode != http.StatusBadRequest ||
				err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%s, %d bytes later: response %+v, error %v to the second", name, later, resp, err)
			}
		}
	}
}
