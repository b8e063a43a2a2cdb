package admin

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// TestOldestIncompleteConnectionIsClosed opens more connections than the limit, each without a complete call. A
// complete call on another connection must still be answered, and the oldest connection must be closed.
func TestOldestIncompleteConnectionIsClosed(t *testing.T) {
	address := startServer(t, &fakeSidecar{adminDown: map[string]bool{"s-1": false}})
	partialCalls := []string{
		"",
		"GET /ops/st",
		"POST /ops/servers/down HTTP/1.1\r\nHost: x\r\nContent-Length: 16\r\n\r\n{",
	}
	var open []net.Conn
	for i := range 3 * MaxConnections {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, partialCalls[i%len(partialCalls)]); err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	if status, _, _ := send(t, address, requestText("GET", "/ops/readiness", "")); status != 200 {
		t.Errorf("status %d, want 200", status)
	}
	_ = open[0].SetReadDeadline(time.Now().Add(30 * time.Second))
	if n, err := open[0].Read(make([]byte, 1)); n != 0 || err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the oldest connection read %d bytes, error %v, want it to be closed", n, err)
	}
}
