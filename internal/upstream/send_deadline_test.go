package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// Sizes of request bodies in bytes, for a server that does not read.
const (
	fitsSendBuffer    = 400 << 10 // is written at once, and waits in the send buffer of the connection
	exceedsSendBuffer = 64 << 20
)

// silentServer accepts connections and does not read from them.
type silentServer struct {
	listener net.Listener
	backend  *testserver.Backend
}

func startSilentServer(t *testing.T) *silentServer {
	t.Helper()
	listener := testserver.Listen(t)
	return &silentServer{listener, &testserver.Backend{Address: listener.Addr().String()}}
}

// received returns the number of bytes of the first connection, which the client has closed.
func (s *silentServer) received(t *testing.T) int64 {
	t.Helper()
	conn, err := s.listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(testserver.Timeout)); err != nil {
		t.Fatal(err)
	}
	n, _ := io.Copy(io.Discard, conn) // ends with a reset
	return n
}

// longRequest returns a request with a body of the given size.
func longRequest(size int) AttemptRequest {
	message := newPostRequest("k")
	message.Body = [][]byte{make([]byte, size/2), make([]byte, size-size/2)}
	return AttemptRequest{ServerID: "s-0", Message: message, StartStreaming: declineStreaming}
}

// TestSendDeadlineEndsUndeliveredRequest guards against a request whose last byte reaches its server after the send
// deadline, because the rest of the request is written later or waits in the send buffer while the server does not read.
func TestSendDeadlineEndsUndeliveredRequest(t *testing.T) {
	for _, tt := range []struct {
		name        string
		size        int
		setWhenSent bool // the deadline is set while the attempt is in progress
		want        balance.Outcome
	}{
		{"in the send buffer", fitsSendBuffer, false, balance.TimedOut},
		{"in the send buffer, set later", fitsSendBuffer, true, balance.TimedOut},
		{"written in part", exceedsSendBuffer, false, balance.NotSent},
		{"written in part, set later", exceedsSendBuffer, true, balance.NotSent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			server := startSilentServer(t)
			client := newTestClient(t, server.backend)
			request := longRequest(tt.size)
			request.SendDeadline = &SendDeadline{}
			setDeadline := func() { request.SendDeadline.Set(time.Now().Add(50 * time.Millisecond)) }
			if tt.setWhenSent {
				time.AfterFunc(50*time.Millisecond, setDeadline)
			} else {
				setDeadline()
			}
			ctx, cancel := context.WithTimeout(context.Background(), testserver.Timeout)
			defer cancel()
			response := client.Attempt(ctx, request)
			if response.Outcome != tt.want || !response.MissedSendDeadline() || ctx.Err() != nil {
				t.Errorf("outcome %d, error %v, want outcome %d", response.Outcome, response.Err, tt.want)
			}
			if n := server.received(t); n >= int64(tt.size) {
				t.Errorf("the server received %d bytes, which include the complete body", n)
			}
		})
	}
}

// TestCancelledRequestDoesNotArrive guards against a request that reaches its server after the attempt was cancelled or
// has passed its deadline: the rest must not stay in the send buffer until the server reads it.
func TestCancelledRequestDoesNotArrive(t *testing.T) {
	for _, size := range []int{fitsSendBuffer, exceedsSendBuffer} {
		for _, cancelled := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d bytes, cancelled %v", size, cancelled), func(t *testing.T) {
				server := startSilentServer(t)
				client := newTestClient(t, server.backend)
				ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
				if cancelled {
					ctx, cancel = context.WithCancel(context.Background())
					time.AfterFunc(100*time.Millisecond, cancel)
				}
				defer cancel()
				client.Attempt(ctx, longRequest(size))
				if n := server.received(t); n >= int64(size) {
					t.Errorf("the server received %d bytes, which include the complete body", n)
				}
			})
		}
	}
}

// TestSendDeadlineKeepsDeliveredRequest checks that a request which the server has received in time gets its response
// after the send deadline, and that a deadline which is removed in time has no effect.
func TestSendDeadlineKeepsDeliveredRequest(t *testing.T) {
	const deadline = 100 * time.Millisecond
	for _, removed := range []bool{false, true} {
		t.Run(fmt.Sprint("removed ", removed), func(t *testing.T) {
			listener := testserver.Listen(t)
			client := newTestClient(t, &testserver.Backend{Address: listener.Addr().String()})
			go func() { // ends with the response
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if removed {
					time.Sleep(3 * deadline)
				}
				received := 0
				for received < fitsSendBuffer {
					n, err := conn.Read(make([]byte, fitsSendBuffer))
					if err != nil {
						return
					}
					received += n
				}
				time.Sleep(2 * deadline)
				testserver.Respond(http.StatusOK, "", "ok")(conn, nil, nil)
			}()
			request := longRequest(fitsSendBuffer)
			request.SendDeadline = newSendDeadline(deadline)
			if removed {
				time.AfterFunc(deadline/2, func() { request.SendDeadline.Set(time.Time{}) })
			}
			response := client.Attempt(context.Background(), request)
			if response.Outcome != balance.Served || string(response.Body) != "ok" {
				t.Errorf("outcome %d, error %v, want a response", response.Outcome, response.Err)
			}
		})
	}
}

// TestSendDeadlineAfterAttemptHasNoEffect checks that a deadline which passes after the end of an attempt does not
// affect the connection, which the next attempt may use.
func TestSendDeadlineAfterAttemptHasNoEffect(t *testing.T) {
	var expired atomic.Int32
	deadline := newSendDeadline(10 * time.Millisecond)
	stop := deadline.whenPassed(func() { expired.Add(1) })
	stop()
	deadline.Set(time.Now().Add(-time.Second))
	stop = deadline.whenPassed(func() { expired.Add(1) })
	testserver.Eventually(t, func() string {
		if expired.Load() == 0 {
			return "the deadline that has passed before is ignored"
		}
		return ""
	})
	stop()
	time.Sleep(30 * time.Millisecond)
	if n := expired.Load(); n != 1 {
		t.Errorf("the deadline expired %d times, want 1", n)
	}
}
