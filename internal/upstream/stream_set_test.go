package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// streamAsync makes an attempt whose long response is streamed. begun receives a value when the stream begins, and ended
// the error of its end.
func streamAsync(client *Client, serverID string) (begun chan bool, ended chan error) {
	begun, ended = make(chan bool, 1), make(chan error, 1)
	startStreaming := func(r Response) bool {
		r.Remainder.SetReadTimeout(testserver.Timeout)
		begun <- true
		go func() {
			_, err := io.Copy(io.Discard, r.Remainder)
			r.Remainder.Finish(err == nil)
			ended <- err
		}()
		return true
	}
	go client.Attempt(context.Background(), AttemptRequest{ServerID: serverID, Message: newGetRequest(),
		StartStreaming: startStreaming})
	return begun, ended
}

// TestSilentStreamGivesWayAtConnLimit guards against servers that are silent in long responses and keep all connections,
// so that no further request can be sent. The stream that has been silent for the longest time ends, and one whose
// server sends is kept.
func TestSilentStreamGivesWayAtConnLimit(t *testing.T) {
	const yieldSilence, pieces = 100 * time.Millisecond, 60
	silent := testserver.StartBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", MaxBufferedBody+1)
		return testserver.NeverRespond(conn, r, body)
	})
	slow := testserver.StartBackend(t, func(conn net.Conn, _ *http.Request, _ []byte) bool {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", pieces*MaxBufferedBody)
		for range pieces {
			if _, err := io.WriteString(conn, strings.Repeat("x", MaxBufferedBody)); err != nil {
				return false
			}
			time.Sleep(yieldSilence / 10)
		}
		return true
	})
	client := newTestClient(t, silent, slow, testserver.StartBackend(t, testserver.Respond(200, "", "ok")))
	client.pool.streams.yieldSilence = yieldSilence
	client.SetMaxConns(2)
	silentBegun, silentEnded := streamAsync(client, "s-0")
	testserver.Receive(t, silentBegun, "beginning of the silent stream")
	slowBegun, slowEnded := streamAsync(client, "s-1")
	testserver.Receive(t, slowBegun, "beginning of the slow stream")
	if response := sendRequest(client, "s-2", newGetRequest()); response.Outcome != balance.NotSent {
		t.Fatalf("outcome %d at the connection limit, want NotSent", response.Outcome)
	}
	select {
	case err := <-silentEnded:
		t.Fatalf("a stream ended before it was silent for long: %v", err)
	case <-time.After(2 * yieldSilence):
	}
	sendRequest(client, "s-2", newGetRequest())
	if err := testserver.Receive(t, silentEnded, "end of the silent stream"); !errors.Is(err, ErrStreamYielded) {
		t.Errorf("silent stream ended with %v, want ErrStreamYielded", err)
	}
	testserver.Eventually(t, func() string {
		if response := sendRequest(client, "s-2", newGetRequest()); response.Outcome != balance.Served {
			return fmt.Sprintf("outcome %d after a stream has given way", response.Outcome)
		}
		return ""
	})
	if err := testserver.Receive(t, slowEnded, "end of the slow stream"); err != nil {
		t.Errorf("slow stream: %v", err)
	}
	testserver.Eventually(t, func() string {
		streams := client.pool.streams
		streams.mu.Lock()
		defer streams.mu.Unlock()
		if n := len(streams.conns); n != 0 {
			return fmt.Sprintf("%d streams are listed after their ends", n)
		}
		return ""
	})
}

// TestLimitedSilenceDoesNotApplyToNextStream checks that the limit on the silence of one stream does not shorten the
// next one on the same connection.
func TestLimitedSilenceDoesNotApplyToNextStream(t *testing.T) {
	conn := &serverConn{}
	conn.limitReadTimeout(time.Second)
	conn.limitReadTimeout(time.Minute)
	if conn.maxReadTimeout != time.Second {
		t.Errorf("limit %v, want the lower one", conn.maxReadTimeout)
	}
	newStream(&serverBody{conn: conn})
	if conn.maxReadTimeout != 0 {
		t.Errorf("limit %v on the next stream, want none", conn.maxReadTimeout)
	}
}
