package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestOutcomeOfResponses checks the outcome of each kind of response for each kind of request, and that no request is
// sent twice.
func TestOutcomeOfResponses(t *testing.T) {
	tests := []struct {
		name    string
		respond testserver.Handler
		want    balance.Outcome
	}{
		{"served", testserver.Respond(200, "", "slot"), balance.Served},
		{"empty", testserver.Respond(200, "", ""), balance.Served},
		{"error", testserver.Respond(500, "", "oh"), balance.Errored},
		{"saturated", testserver.Respond(503, "X-Not-Processed: 1\r\n", "no"), balance.Saturated},
		{"deadline exceeded, not processed", testserver.Respond(504, "X-Not-Processed: 1\r\n", ""), balance.Saturated},
		{"unavailable, may have been processed", testserver.Respond(503, "", ""), balance.Errored},
		{"error with X-Not-Processed", testserver.Respond(500, "X-Not-Processed: 1\r\n", ""), balance.Errored},
		{"large", testserver.Respond(200, "", strings.Repeat("x", 32<<20)), balance.Served},
		{"declared length too long", func(conn net.Conn, _ *http.Request, _ []byte) bool {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", maxResponseBody+1)
			return false
		}, balance.Errored},
		{"connection reset", testserver.ResetConnection, balance.Reset},
		{"connection closed", func(net.Conn, *http.Request, []byte) bool { return false }, balance.Reset},
		{"not HTTP", func(conn net.Conn, _ *http.Request, _ []byte) bool {
			fmt.Fprint(conn, "what\r\n\r\n")
			return false
		}, balance.Errored},
		{"truncated body", func(conn net.Conn, _ *http.Request, _ []byte) bool {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
			return false
		}, balance.Reset},
		{"truncated chunked body", func(conn net.Conn, _ *http.Request, _ []byte) bool {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
			return false
		}, balance.Reset},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, message := range []*Message{newGetRequest(), newPostRequest(""), newPostRequest("k")} {
				backend := testserver.StartBackend(t, tt.respond)
				response := sendStreaming(newTestClient(t, backend), "s-0", message)
				if response.Outcome != tt.want {
					t.Errorf("%s with key %q: outcome %d, want %d",
						message.Method, message.IdempotencyKey, response.Outcome, tt.want)
				}
				if tt.name == "served" && string(response.Body) != "slot" {
					t.Errorf("body %q", response.Body)
				}
				if n := backend.RequestCount(); n != 1 {
					t.Errorf("%s with key %q was received %d times", message.Method, message.IdempotencyKey, n)
				}
			}
		})
	}
}

// TestOutcomeOfUnsentAttempts checks that the outcome of an attempt that cannot be sent distinguishes an unreachable
// server from other reasons.
func TestOutcomeOfUnsentAttempts(t *testing.T) {
	backend := testserver.StartBackend(t, testserver.NeverRespond)
	client := newTestClient(t, backend)
	listener := testserver.Listen(t)
	closedPort := testserver.EndpointEntry("s-1", listener.Addr().String(), "SERVING", 0)
	listener.Close()
	updateList(t, client, testserver.ListText(2, false, closedPort))
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, tt := range []struct {
		name, serverID string
		ctx            context.Context
		want           balance.Outcome
	}{
		{"connection refused", "s-1", context.Background(), balance.ConnectFailed},
		{"unknown server", "s-9", context.Background(), balance.NotSent},
		{"already cancelled", "s-0", cancelled, balance.NotSent},
	} {
		if response := sendRequestWithin(tt.ctx, client, tt.serverID, newPostRequest("")); response.Outcome != tt.want {
			t.Errorf("%s: outcome %d, want %d", tt.name, response.Outcome, tt.want)
		}
	}
	if n := backend.RequestCount(); n != 0 {
		t.Errorf("%d requests received, want 0", n)
	}
}

// TestOutcomeOfAttemptsWithoutResponse checks that the outcome of an attempt without a response distinguishes a passed
// deadline from a cancellation.
func TestOutcomeOfAttemptsWithoutResponse(t *testing.T) {
	backend := testserver.StartBackend(t, testserver.NeverRespond)
	client := newTestClient(t, backend)
	deadline := newManualDeadline()
	ended := make(chan Response, 1)
	go func() {
		ended <- sendRequestWithin(deadline, client, "s-0", newPostRequest(""))
	}()
	testserver.Receive(t, backend.Requests, "request")
	deadline.expire()
	if response := testserver.Receive(t, ended, "end"); response.Outcome != balance.TimedOut {
		t.Errorf("outcome %d, want TimedOut", response.Outcome)
	}
	backend = testserver.StartBackend(t, testserver.NeverRespond)
	client = newTestClient(t, backend)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		ended <- sendRequestWithin(ctx, client, "s-0", newPostRequest(""))
	}()
	testserver.Receive(t, backend.Requests, "request")
	cancel()
	if response := testserver.Receive(t, ended, "end"); response.Outcome != balance.Cancelled {
		t.Errorf("outcome %d, want Cancelled", response.Outcome)
	}
}

// TestOutcomeOfSocketErrors checks the outcome of an attempt for each socket error. Local errors are retried first. If
// they persist they do not indicate a failure of the server, and its idle connections stay open.
func TestOutcomeOfSocketErrors(t *testing.T) {
	cases := func(call string, want balance.Outcome, keepsIdle bool, errnos ...syscall.Errno) []socketErrorTest {
		var tests []socketErrorTest
		for _, errno := range errnos {
			tests = append(tests, socketErrorTest{call, errno, want, keepsIdle})
		}
		return tests
	}
	tests := cases("connect", balance.NotSent, true, testserver.MachineErrnos...)
	tests = append(tests, cases("connect", balance.ConnectFailed, false,
		unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT, unix.ECONNREFUSED)...)
	tests = append(tests, cases("server write", balance.NotSent, true, testserver.StreamErrnos...)...)
	tests = append(tests, cases("server read", balance.Cancelled, true, testserver.StreamErrnos...)...)
	tests = append(tests, cases("server read", balance.Reset, false, unix.ECONNRESET, unix.ETIMEDOUT)...)
	for _, tt := range tests {
		t.Run(tt.call+", "+tt.errno.Error(), func(t *testing.T) {
			failures := &testserver.Failures{}
			backend := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
			client := newTestClient(t, backend)
			client.pool.dial = failures.Dial
			attemptOutcome := func() balance.Outcome {
				return sendRequest(client, "s-0", newPostRequest("")).Outcome
			}
			idle, err := client.pool.acquire(context.Background(), client.servers["s-0"])
			if err != nil {
				t.Fatal(err)
			}
			once := testserver.Failure{Errno: tt.errno}
			failures.Set(tt.call, once)
			if tt.keepsIdle {
				if got := attemptOutcome(); got != balance.Served {
					t.Errorf("outcome %d after one failure, want Served after a retry", got)
				}
				client.pool.closeIdle(client.servers["s-0"])
			}
			failures.Set(tt.call, slices.Repeat([]testserver.Failure{once}, 10)...)
			client.pool.reuseDelay = testserver.Timeout // the attempt does not use the idle connection
			client.pool.release(idle, true)
			if got := attemptOutcome(); got != tt.want {
				t.Errorf("outcome %d, want %d", got, tt.want)
			}
			if kept := len(client.servers["s-0"].idle) == 1; kept != tt.keepsIdle {
				t.Errorf("idle connection kept: %v", kept)
			}
		})
	}
}

// socketErrorTest is a failing system call and the expected result of an attempt.
type socketErrorTest struct {
	call      string
	errno     syscall.Errno
	want      balance.Outcome
	keepsIdle bool
}

// TestAttemptIsNotSentAfterEventWhileConnecting checks that an attempt is not sent if its server drains or is removed,
// or its request is cancelled, while the connection opens. The unused connection stays open unless the server was
// removed.
func TestAttemptIsNotSentAfterEventWhileConnecting(t *testing.T) {
	for _, tt := range []struct {
		name      string
		event     func(*Client, *testserver.Backend, *atomic.Bool)
		wantConns int
	}{
		{"server drains", func(client *Client, backend *testserver.Backend, _ *atomic.Bool) {
			updateEndpoint(t, client, 2, backend.Address, "DRAINING", 0)
		}, 1},
		{"server missing from a complete list", func(client *Client, _ *testserver.Backend, _ *atomic.Bool) {
			updateList(t, client, testserver.ListText(2, true))
		}, 0},
		{"server removed", func(client *Client, backend *testserver.Backend, _ *atomic.Bool) {
			updateEndpoint(t, client, 2, backend.Address, "DELETED", 0)
		}, 0},
		{"server restarted", func(client *Client, backend *testserver.Backend, _ *atomic.Bool) {
			updateEndpoint(t, client, 2, backend.Address, "SERVING", 1700000000000)
		}, 0},
		{"server address changed", func(client *Client, _ *testserver.Backend, _ *atomic.Bool) {
			updateEndpoint(t, client, 2, "127.0.0.1:9", "SERVING", 0)
		}, 0},
		{"server set administratively down", func(client *Client, _ *testserver.Backend, _ *atomic.Bool) {
			client.SetAdminDown("s-0", true)
		}, 0},
		{"server set administratively down and up again", func(client *Client, _ *testserver.Backend, _ *atomic.Bool) {
			client.SetAdminDown("s-0", true)
			client.SetAdminDown("s-0", false)
		}, 0},
		{"request cancelled", func(_ *Client, _ *testserver.Backend, cancelled *atomic.Bool) {
			cancelled.Store(true)
		}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			backend := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
			client := newTestClient(t, backend)
			dialer := testserver.NewDelayedDialer()
			client.pool.dial = dialer.Dial
			var cancelled atomic.Bool
			request := AttemptRequest{
				ServerID:       "s-0",
				Message:        newPostRequest("k"),
				IsCancelled:    cancelled.Load,
				StartStreaming: declineStreaming,
			}
			ended := make(chan Response, 1)
			go func() { ended <- client.Attempt(context.Background(), request) }()
			testserver.Receive(t, dialer.Connected, "connection")
			tt.event(client, backend, &cancelled)
			dialer.Release <- struct{}{}
			response := testserver.Receive(t, ended, "end")
			if response.Outcome != balance.NotSent || backend.RequestCount() != 0 {
				t.Errorf("outcome %d, %d requests sent", response.Outcome, backend.RequestCount())
			}
			if client.pool.openConns != tt.wantConns {
				t.Errorf("%d connections are open, want %d", client.pool.openConns, tt.wantConns)
			}
		})
	}
}

// TestAttemptIsNotSentWhenConnectionOpensAfterSendDeadline checks that an attempt whose connection is not open by the
// send deadline ends at the deadline, and is not sent if the connection opens afterwards.
func TestAttemptIsNotSentWhenConnectionOpensAfterSendDeadline(t *testing.T) {
	backend := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	client := newTestClient(t, backend)
	dialer := testserver.NewDelayedDialer()
	client.pool.dial = dialer.Dial
	request := AttemptRequest{ServerID: "s-0", Message: newPostRequest("k"), StartStreaming: declineStreaming}
	request.SendDeadline = newSendDeadline(50 * time.Millisecond)
	if response := client.Attempt(context.Background(), request); response.Outcome != balance.NotSent {
		t.Errorf("outcome %d although no connection opened before the send deadline", response.Outcome)
	}
	client.pool.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		<-ctx.Done()
		return net.Dial(network, address)
	}
	request.SendDeadline = newSendDeadline(50 * time.Millisecond)
	response := client.Attempt(context.Background(), request)
	if response.Outcome != balance.NotSent || backend.RequestCount() != 0 {
		t.Errorf("outcome %d, %d requests sent after the send deadline", response.Outcome, backend.RequestCount())
	}
}

// TestAttemptStopsWritingAtSendDeadline checks that the rest of a request is not written if the server has read only a
// part of it by the send deadline.
func TestAttemptStopsWritingAtSendDeadline(t *testing.T) {
	listener := testserver.Listen(t) // receives no more than the socket buffers hold
	client := newTestClient(t, &testserver.Backend{Address: listener.Addr().String()})
	message := newPostRequest("k")
	message.Body = [][]byte{make([]byte, 32<<20), make([]byte, 32<<20)}
	request := AttemptRequest{ServerID: "s-0", Message: message, StartStreaming: declineStreaming}
	request.SendDeadline = newSendDeadline(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), testserver.Timeout)
	defer cancel()
	if response := client.Attempt(ctx, request); response.Outcome != balance.NotSent || ctx.Err() != nil {
		t.Errorf("outcome %d, error %v", response.Outcome, ctx.Err())
	}
	client.Update(discovery.List{Complete: true}) // closes the connection if it is in the pool
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if n, _ := io.Copy(io.Discard, conn); n >= int64(message.bodyLength()) {
		t.Errorf("the server received %d bytes, which can include the complete body of %d bytes", n, message.bodyLength())
	}
}
