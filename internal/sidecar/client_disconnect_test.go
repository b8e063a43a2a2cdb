package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestDisconnectCancelsAttempt has a client leave while its attempt is in flight: the attempt ends, and no other is
// made.
func TestDisconnectCancelsAttempt(t *testing.T) {
	closed := make(chan bool, 1)
	b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
		testserver.NeverRespond(c, r, body)
		closed <- true
		return false
	})
	p := startWithBackends(t, b)
	ctx, cancel := context.WithCancel(context.Background())
	ended := p.sendAsync(ctx, "read")
	testserver.Receive(t, b.Requests, "attempt")
	cancel()
	testserver.Receive(t, ended, "end")
	testserver.Receive(t, closed, "end of the attempt")
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d attempts for a client that is gone", n)
	}
}

// TestHalfClosedClientGetsNoResponse has a client close its sending while its request is in flight: it has left, and
// must not learn that it was served.
func TestHalfClosedClientGetsNoResponse(t *testing.T) {
	release := make(chan struct{})
	b := startBlockingBackend(t, release, anyRequest, "ok")
	defer close(release)
	p := startWithBackends(t, b)
	c := p.DialConn()
	sendHead(c, "leaves")
	testserver.Receive(t, b.Requests, "attempt")
	closeWrite(t, c)
	if got, err := io.ReadAll(c); err != nil || len(got) > 0 {
		t.Errorf("response %q, error %v to a client that left", got, err)
	}
}

// TestPipelinedRequestsOfHalfClosedClientAreNotForwarded has a client send many requests on a connection and end its
// sending while the first is in flight. The others stand before the end that net/http waits for, more of them than it
// reads ahead, and none of them is forwarded.
func TestPipelinedRequestsOfHalfClosedClientAreNotForwarded(t *testing.T) {
	release := make(chan struct{})
	b := startBlockingBackend(t, release, anyRequest, "ok")
	p := startWithBackends(t, b)
	c := p.DialConn()
	pipelineRequests(t, c, 100)
	testserver.Receive(t, b.Requests, "first request")
	closeWrite(t, c)
	close(release)
	for buffer := make([]byte, 4096); ; {
		if _, err := c.Read(buffer); err != nil {
			break // all is answered, or the connection ended
		}
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d more requests were forwarded for a client that had left", n)
	}
}

// TestIncompleteRequestsOfHalfClosedClientAreNotForwarded has a client leave while its request is read, or waits for a
// policy with more requests behind it: nothing is forwarded.
func TestIncompleteRequestsOfHalfClosedClientAreNotForwarded(t *testing.T) {
	b, f := startBackend(t, "ok"), &fakeParticipant{}
	p := startWith(t, configFor(t, b), startOptions{join: f.join})
	f.expectCheck(t, 1, f.policyDocument(t, ""), "")
	f.setPolicy(1, 0, true)
	pay := testserver.RequestHead("POST", "gone", "pay")
	for _, tt := range []struct {
		name, text string
		waits      bool // for a policy
	}{
		{"in a head", pay, false},
		{"in a body", pay + "Content-Length: 8\r\n\r\nhalf", false},
		{"in chunks", pay + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false},
		{"before a policy", strings.Repeat(pay+"Content-Length: 4\r\n\r\nskip", 50), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f.setPolicy(1, 20*time.Millisecond, !tt.waits)
			c := p.DialConn()
			if _, err := io.WriteString(c, tt.text); err != nil {
				t.Fatal(err)
			}
			p.waitForUsedConns(map[bool]int{true: 1}[tt.waits])
			closeWrite(t, c)
			f.setPolicy(1, 0, true)
			if _, err := io.Copy(io.Discard, c); err != nil {
				t.Errorf("error %v behind the last response", err)
			}
		})
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d requests were forwarded for clients that had left", n)
	}
	if got := p.Send("pay"); got.Status != 200 {
		t.Errorf("response %+v to one that stays", got)
	}
}

// TestNoAttemptAfterDisconnectWhileConnecting has a client leave while the connection for its request comes up, where
// the settings let no attempt be called off: it is not made, as it has not begun.
func TestNoAttemptAfterDisconnectWhileConnecting(t *testing.T) {
	b := startBackend(t, "ok")
	p := start(t, strings.Replace(configFor(t, b), `"cancelling":true`, `"cancelling":false`, 1))
	late := testserver.NewDelayedDialer()
	u := p.operator.loop.Upstream()
	u.SetDial(late.Dial)
	ctx, cancel := context.WithCancel(context.Background())
	ended := p.sendAsync(ctx, "pay")
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
