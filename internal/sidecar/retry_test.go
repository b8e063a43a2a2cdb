package sidecar

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestRetriesFollowEffectOfClass: whether a request is retried after its first attempt failed depends on the effect of
// its class and on the kind of failure.
func TestRetriesFollowEffectOfClass(t *testing.T) {
	reject := testserver.Respond(503, "X-Not-Processed: 1\r\n", "")
	ambiguousReject := testserver.Respond(503, "X-Not-Processed: 1\r\nContent-Length: 7\r\n", "refuse")
	for _, tt := range []struct {
		name     string
		class    string
		fault    testserver.Handler
		status   int
		attempts int
	}{
		{"idempotent after an error", "read", testserver.Respond(500, "", ""), 200, 2},
		{"idempotent after a reset", "read", testserver.ResetConnection, 200, 2},
		{"idempotent, rejected", "read", reject, 200, 2},
		{"idempotent, rejected ambiguously", "read", ambiguousReject, 200, 2},
		{"with a key after an error", "book", testserver.Respond(500, "", ""), 200, 2},
		{"with a key after a reset", "book", testserver.ResetConnection, 200, 2},
		{"with a key, rejected", "book", reject, 200, 2},
		{"with a key, rejected ambiguously", "book", ambiguousReject, 200, 2},
		{"not idempotent, after an error", "pay", testserver.Respond(500, "", ""), 502, 1},
		{"not idempotent, after a reset", "pay", testserver.ResetConnection, 502, 1},
		{"not idempotent, rejected", "pay", reject, 200, 2},
		{"not idempotent, rejected ambiguously", "pay", ambiguousReject, 502, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			faults := make(chan bool, 1)
			faults <- true
			arrivals := make(chan string, 10)
			do := func(c net.Conn, r *http.Request, body []byte) bool {
				arrivals <- r.Header.Get("X-Request-ID") + " " + r.Header.Get("Idempotency-Key") + " " + string(body)
				select {
				case <-faults:
					return tt.fault(c, r, body)
				default:
					return testserver.Respond(200, "", "done")(c, r, body)
				}
			}
			p := startWithBackends(t, testserver.StartBackend(t, do), testserver.StartBackend(t, do))
			got := p.Send(tt.class)
			if got.Status != tt.status || len(arrivals) != tt.attempts {
				t.Fatalf("status %d after %d attempts, want %d after %d", got.Status, len(arrivals), tt.status, tt.attempts)
			}
			if got.Status == 200 && got.Body != "done" {
				t.Errorf("body %q", got.Body)
			}
			first := <-arrivals
			for len(arrivals) > 0 {
				if again := <-arrivals; again != first {
					t.Errorf("attempts %q and %q differ", first, again)
				}
			}
		})
	}
}

// TestUnsafeRequestIsNotRepeatedAfterAmbiguousRefusalOfRetry guards against a request of an unsafe class that is executed
// twice because a refusal is ambiguous: the first server refuses it, the retry gets an ambiguous refusal, and no third
// server gets the request.
func TestUnsafeRequestIsNotRepeatedAfterAmbiguousRefusalOfRetry(t *testing.T) {
	responses := make(chan testserver.Handler, 2)
	responses <- testserver.Respond(503, "X-Not-Processed: 1\r\n", "")
	responses <- testserver.Respond(503, "X-Not-Processed: 1\r\nContent-Length: 7\r\n", "refuse")
	attempts := make(chan string, 10)
	do := func(c net.Conn, r *http.Request, body []byte) bool {
		attempts <- r.Header.Get("X-Request-ID")
		select {
		case respond := <-responses:
			return respond(c, r, body)
		default:
			return testserver.Respond(200, "", "executed again")(c, r, body)
		}
	}
	p := startWithBackends(t, testserver.StartBackend(t, do), testserver.StartBackend(t, do), testserver.StartBackend(t, do))
	if got := p.Send("pay"); got.Status != http.StatusBadGateway || len(attempts) != 2 {
		t.Errorf("status %d after %d attempts, want 502 after 2", got.Status, len(attempts))
	}
}

// TestRefusedConnectionsCauseRejection: if every server refuses connections, requests of every class are rejected, as
// no server can have processed them.
func TestRefusedConnectionsCauseRejection(t *testing.T) {
	p := startWithBackends(t, &testserver.Backend{Address: unusedAddress(t)})
	for _, class := range []string{"read", "book", "pay"} {
		if got := p.Send(class); got.Status != 503 {
			t.Errorf("%s: status %d, want a rejection", class, got.Status)
		}
	}
}

// TestRequestsGetResponseAtDeadline: with a server that never responds, a request that is unsafe to repeat fails at its
// deadline, and a request that may be repeated is rejected.
func TestRequestsGetResponseAtDeadline(t *testing.T) {
	b := testserver.StartBackend(t, testserver.NeverRespond)
	p := startWithBackends(t, b)
	for _, tt := range []struct {
		class  string
		status int
	}{{"pay", 502}, {"read", 503}} {
		got := p.Do(p.NewRequest(context.Background(), tt.class, "1500"))
		testserver.Receive(t, b.Requests, "attempt")
		if got.Err != nil || got.Status != tt.status {
			t.Errorf("%s: status %d, error %v, want %d", tt.class, got.Status, got.Err, tt.status)
		}
	}
	if n := b.RequestCount(); n != 0 {
		t.Errorf("%d further attempts", n)
	}
	// A request without remaining time is not sent.
	if got := p.Do(p.NewRequest(context.Background(), "pay", "0")); got.Status != 503 || b.RequestCount() != 0 {
		t.Errorf("status %d, %d attempts", got.Status, b.RequestCount())
	}
}

// connReuseWait is longer than the time after a response before which an upstream connection is not reused.
const connReuseWait = 100 * time.Millisecond

// TestOnlyRepeatableRequestsAreRetriedAfterClose: a server closes an idle connection while a request is written to it.
// The request may have run, so it is retried only if it may be repeated.
func TestOnlyRepeatableRequestsAreRetriedAfterClose(t *testing.T) {
	for _, tt := range []struct {
		class  string
		status int
	}{{"pay", http.StatusBadGateway}, {"read", http.StatusOK}, {"book", http.StatusOK}} {
		t.Run(tt.class, func(t *testing.T) {
			responses, closing := 0, make(chan struct{}, 1)
			b := testserver.StartBackend(t, func(c net.Conn, r *http.Request, body []byte) bool {
				if responses++; responses == 1 {
					return testserver.Respond(200, "", "first")(c, r, body)
				}
				closing <- struct{}{}
				return testserver.ResetConnection(c, r, body)
			})
			other := startBackend(t, "other")
			d := testserver.StartDiscovery(t)
			p := start(t, testserver.ConfigText(d.Address, testserver.ServingList(1, b), testserver.Settings))
			if got := p.Send("read"); got.Body != "first" {
				t.Fatalf("response %+v", got)
			}
			time.Sleep(connReuseWait) // so that the next request reuses the connection
			w := testserver.Receive(t, d.Watches, "watch")
			w.Lines <- testserver.ListText(2, false, testserver.EndpointEntry("s-1", other.Address, "SERVING", 0))
			p.waitForServers(2)
			for b.RequestCount() > 0 {
				<-b.Requests
			}
			for range 2 { // round robin: one of two requests goes to the server that closes
				got := testserver.Receive(t, p.sendAsync(context.Background(), tt.class), "response")
				if len(closing) == 0 {
					continue
				}
				if got.Status != tt.status {
					t.Errorf("response %+v, want status %d", got, tt.status)
				}
				break
			}
			if len(closing) != 1 {
				t.Errorf("%d requests reached the closing server, want one", len(closing))
			}
		})
	}
}
