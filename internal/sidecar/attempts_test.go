package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestPipelinedRequestsOfHalfClosedClientAreNotForwarded has a client send many requests on a connection and end its
// sending while the first is out. The others stand before the end that net/http waits for, more of them than it reads
// ahead, and none of them is forwarded.
func TestPipelinedRequestsOfHalfClosedClientAreNotForwarded(t *testing.T) {
	gate := make(chan struct{})
	b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		<-gate
		return testserver.Respond(200, "", "ok")(c, r, body)
	})
	p := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), testserver.Settings))
	c := p.DialConn()
	var queue strings.Builder
	for i := range 100 {
		fmt.Fprintf(&queue, "%s\r\n", testserver.RequestHead("GET", fmt.Sprint("queued-", i), "read"))
	}
	if _, err := c.Write([]byte(queue.String())); err != nil {
		t.Fatal(err)
	}
	testserver.Receive(t, b.Requests, "first request")
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	close(gate)
	for buffer := make([]byte, 4096); ; {
		if _, err := c.Read(buffer); err != nil {
			break // all is answered, or the connection ended
		}
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d more requests were forwarded for a client that had left", n)
	}
}

// TestNoAttemptAfterDisconnectWhileConnecting has a client leave while the connection for its request comes up, where
// the settings let no attempt be called off: it is not made, as it has not begun.
func TestNoAttemptAfterDisconnectWhileConnecting(t *testing.T) {
	b := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	settings := strings.Replace(testserver.Settings, `"cancelling":true`, `"cancelling":false`, 1)
	p, late := start(t, testserver.ConfigText(testserver.StartDiscovery(t).Address, testserver.ServingList(1, b), settings)), testserver.NewDelayedDialer()
	u := p.operator.loop.Upstream()
	u.SetDial(late.Dial)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan testserver.Result, 1)
	go func() { ended <- p.Do(p.NewRequest(ctx, "pay", "50000")) }()
	testserver.Receive(t, late.Connected, "connection")
	cancel()
	testserver.Receive(t, ended, "end")
	p.waitUntilIdle()
	late.Release <- struct{}{}
	u.SetDial(nil)
	if got := p.Send("pay"); got.Body != "ok" || b.RequestCount() != 1 {
		t.Errorf("response %+v, %d requests sent, want the one that somebody waits for", got, b.RequestCount())
	}
}

// waitUntilIdle waits until the program serves no request.
func (p *program) waitUntilIdle() {
	p.T.Helper()
	for end := time.Now().Add(testserver.Timeout); p.operator.server.Load().handler.InFlight() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.T.Fatal("a request is held for good")
		}
	}
}
