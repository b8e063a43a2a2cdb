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

// TestDisconnectCancelsAttempt: when a client disconnects, its attempt in flight is canceled and no other is made.
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
	testserver.Receive(t, closed, "cancellation of the attempt")
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d attempts after the client disconnected", n)
	}
}

// TestHalfClosedClientGetsNoResponse: a client that closes the write side of its connection while its request is in
// flight counts as disconnected and gets no response.
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
		t.Errorf("response %q, error %v after the client half-closed its connection", got, err)
	}
}

// TestPipelinedRequestsOfHalfClosedClientAreNotForwarded: a client pipelines many requests and closes the write side
// while the first is in flight. None of the others is forwarded, although net/http does not see the end of the stream:
// more requests precede it than net/http buffers.
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
			break // the connection is closed
		}
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d more requests were forwarded after the client half-closed its connection", n)
	}
}

// TestIncompleteRequestsOfHalfClosedClientAreNotForwarded: nothing is forwarded for a client that closes the write side
// while its request is read, or while its request waits for a policy and more requests follow it.
func TestIncompleteRequestsOfHalfClosedClientAreNotForwarded(t *testing.T) {
	b, f := startBackend(t, "ok"), &fakeParticipant{}
	p := startWith(t, configFor(t, b), startOptions{join: f.join})
	f.expectCheck(t, 1, f.policyDocument(t, ""), "")
	f.setPolicy(1, 0, true)
	pay := testserver.RequestHead("POST", "gone", "pay")
	for _, tt := range []struct {
		name, text string
		waits      bool // the request waits for a policy
	}{
		{"during the head", pay, false},
		{"during the body", pay + "Content-Length: 8\r\n\r\nhalf", false},
		{"during a chunked body", pay + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false},
		{"while waiting for a policy", strings.Repeat(pay+"Content-Length: 4\r\n\r\nskip", 50), true},
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
				t.Errorf("error %v after the last response", err)
			}
		})
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d requests were forwarded for half-closed clients", n)
	}
	if got := p.Send("pay"); got.Status != 200 {
		t.Errorf("response %+v to a client that stays connected", got)
	}
}

// TestNoAttemptAfterDisconnectWhileConnecting: a client disconnects while the upstream connection for its request is
// being established. No attempt is made, although the settings disable the cancellation of attempts, because that
// setting concerns only attempts that have started.
func TestNoAttemptAfterDisconnectWhileConnecting(t *testing.T) {
	b := startBackend(t, "ok")
	p := start(t, strings.Replace(configFor(t, b), `"cancelling":true`, `"cancelling":false`, 1))
	dialer := testserver.NewDelayedDialer()
	u := p.operator.loop.Upstream()
	u.SetDial(dialer.Dial)
	ctx, cancel := context.WithCancel(context.Background())
	ended := p.sendAsync(ctx, "pay")
	testserver.Receive(t, dialer.Connected, "connection")
	cancel()
	testserver.Receive(t, ended, "end")
	p.waitUntilIdle()
	dialer.Release <- struct{}{}
	u.SetDial(nil)
	if got := p.Send("pay"); got.Body != "ok" || b.RequestCount() != 1 {
		t.Errorf("response %+v, %d requests sent, want only that of the connected client", got, b.RequestCount())
	}
}
