package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestRequestIsForwardedUnchanged checks that a server receives the client's request, with the remaining time in
// X-Timeout-Ms.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	bodies := make(chan string, 1)
	backend := testserver.StartBackend(t, func(conn net.Conn, r *http.Request, body []byte) bool {
		bodies <- string(body)
		return testserver.Respond(200, "", "")(conn, r, body)
	})
	ctx, cancel := context.WithTimeout(context.Background(), testserver.Timeout)
	defer cancel()
	sendRequestWithin(ctx, newTestClient(t, backend), "s-0", newPostRequest("k-7"))
	request := testserver.Receive(t, backend.Requests, "request")
	header := request.Header
	if request.Method != "POST" || request.RequestURI != "/api?k=a%20b" || header.Get("X-Request-ID") != "id-1" ||
		header.Get("Idempotency-Key") != "k-7" || header.Get("Accept-Encoding") != "" || request.ContentLength != 4 {
		t.Errorf("server received %+v", request)
	}
	if body := testserver.Receive(t, bodies, "body"); body != "skip" {
		t.Errorf("body %q", body)
	}
	var ms int64
	_, err := fmt.Sscan(header.Get("X-Timeout-Ms"), &ms)
	if err != nil || ms < 1 || ms > testserver.Timeout.Milliseconds() {
		t.Errorf("X-Timeout-Ms %q: %v", header.Get("X-Timeout-Ms"), err)
	}
}

// TestTimeoutHeaderExcludesConnectTime checks that X-Timeout-Ms is the time that remains after the connection is open.
func TestTimeoutHeaderExcludesConnectTime(t *testing.T) {
	backend := testserver.StartBackend(t, testserver.Respond(200, "", "ok"))
	client := newTestClient(t, backend)
	dialer := testserver.NewDelayedDialer()
	client.pool.dial = dialer.Dial
	ctx, cancel := context.WithTimeout(context.Background(), testserver.Timeout)
	defer cancel()
	go sendRequestWithin(ctx, client, "s-0", newGetRequest())
	testserver.Receive(t, dialer.Connected, "connection")
	const connectTime = 100 * time.Millisecond
	time.Sleep(connectTime)
	dialer.Release <- struct{}{}
	request := testserver.Receive(t, backend.Requests, "request")
	timeoutMS, err := strconv.Atoi(request.Header.Get("X-Timeout-Ms"))
	if err != nil || time.Duration(timeoutMS)*time.Millisecond > testserver.Timeout-connectTime {
		t.Errorf("X-Timeout-Ms is %d, error %v, want at least %v less than %v",
			timeoutMS, err, connectTime, testserver.Timeout)
	}
}

// TestContentTypeIsForwarded checks that the Content-Type of the request is forwarded to the server, and that of the
// server's response is returned.
func TestContentTypeIsForwarded(t *testing.T) {
	respond := testserver.Respond(200, "Content-Type: application/x-slot\r\n", "slot")
	backend := testserver.StartBackend(t, respond)
	message := newPostRequest("k")
	message.ContentType = "text/x-booking"
	r := sendRequest(newTestClient(t, backend), "s-0", message)
	if r.Outcome != balance.Served || r.ContentType != "application/x-slot" {
		t.Errorf("outcome %d, Content-Type %q of the response", r.Outcome, r.ContentType)
	}
	received := testserver.Receive(t, backend.Requests, "request").Header.Get("Content-Type")
	if received != message.ContentType {
		t.Errorf("Content-Type %q of the request at the server", received)
	}
}
