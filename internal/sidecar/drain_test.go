package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/metrics"
	"milletramp.example/milletramp/internal/upstream"
)

// TestDrainServesNewAndOpenConnections: during a drain with one request in flight, requests on new and on open
// connections are still served.
func TestDrainServesNewAndOpenConnections(t *testing.T) {
	release := make(chan struct{})
	b := startBlockingBackend(t, release, hasIdempotencyKey, "ok")
	p := startWith(t, configFor(t, b), startOptions{times: drainTimes{
		acceptPeriod:    4 * time.Second,
		quietPeriod:     10 * time.Millisecond,
		idleGracePeriod: 2 * time.Second,
	}})
	slow := p.sendAsync(context.Background(), "book")
	testserver.Receive(t, b.Requests, "attempt")
	p.stop()
	for closing := false; !closing; {
		got := p.Send("pay")
		if got.Status != 200 {
			t.Fatalf("response %+v while draining", got)
		}
		closing = got.Close
	}
	time.Sleep(200 * time.Millisecond) // much longer than quietPeriod, well within acceptPeriod
	newConn, err := net.Dial("tcp", p.Address)
	if err != nil {
		t.Fatalf("connection refused while draining: %v", err)
	}
	defer newConn.Close()
	if err := p.NewRequest(context.Background(), "pay", "50000").Write(newConn); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(newConn), nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("response %+v, error %v on a new connection", resp, err)
	}
	p.waitUntilNotListening()
	select {
	case err := <-p.runResult:
		t.Fatalf("run returned %v with a request in flight", err)
	default:
	}
	close(release)
	if got := testserver.Receive(t, slow, "response"); got.Status != 200 || got.Body != "ok" {
		t.Errorf("response %+v to the request in flight", got)
	}
	p.expectCleanExit()
}

// TestDrainServesRequestsOnOpenConnections: a request is served although its client, which connected before the drain,
// sends it only after the listener is closed, while the process waits for another response.
func TestDrainServesRequestsOnOpenConnections(t *testing.T) {
	release := make(chan struct{})
	b := startBlockingBackend(t, release, hasIdempotencyKey, "ok")
	p := startWith(t, configFor(t, b), startOptions{times: drainTimes{unusedGracePeriod: testserver.Timeout}})
	inFlight := p.sendAsync(context.Background(), "book")
	testserver.Receive(t, b.Requests, "attempt")
	late := p.DialConn()
	p.waitForOpenConns(2)
	p.stop()
	p.waitUntilNotListening()
	sendHead(late, "late")
	resp, err := http.ReadResponse(bufio.NewReader(late), nil)
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("response %+v, error %v to a request sent after the drain began", resp, err)
	}
	close(release)
	if got := testserver.Receive(t, inFlight, "response"); got.Status != 200 {
		t.Errorf("response %+v to the request in flight", got)
	}
	p.expectCleanExit()
}

// TestDrainClosesUnusedConnectionsAfterGrace: a connection without any request is closed after unusedGracePeriod and
// does not delay the end of the drain further.
func TestDrainClosesUnusedConnectionsAfterGrace(t *testing.T) {
	times := drainTimes{unusedGracePeriod: 10 * time.Millisecond}
	p := startWith(t, configFor(t, startBackend(t, "ok")), startOptions{times: times})
	c := p.DialConn()
	p.waitForOpenConns(1)
	p.stop()
	p.expectCleanExit()
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("%d bytes, error %v on a connection without a request, want EOF", n, err)
	}
	if n := p.operator.metrics.UnservedConns[metrics.ShuttingDown].Load(); n != 1 {
		t.Errorf("%d unserved connections were closed by the shutdown, want 1", n)
	}
}

// TestDrainWaitsForRequestBody: a request whose body is still being received when the drain begins is served, and its
// response closes the connection.
func TestDrainWaitsForRequestBody(t *testing.T) {
	p := startWithBackends(t, startBackend(t, "ok"))
	c := p.DialConn()
	fmt.Fprintf(c, "%sContent-Length: 8\r\n\r\nhalf", testserver.RequestHead("POST", "slow", "pay"))
	p.waitForUsedConns(1)
	p.stop()
	p.waitUntilNotListening()
	fmt.Fprint(c, "rest")
	testserver.ExpectFinalResponse(t, c, http.StatusOK)
	p.expectCleanExit()
}

// TestDrainWaitsForStreamedResponse: the process drains, and reloads its configuration, while a long response is
// streamed. It ends only after the response is complete.
func TestDrainWaitsForStreamedResponse(t *testing.T) {
	rest := make(chan struct{})
	b := testserver.StartBackend(t, func(c net.Conn, _ *http.Request, _ []byte) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", upstream.MaxBufferedBody+1)
		<-rest
		fmt.Fprint(c, strings.Repeat("x", upstream.MaxBufferedBody))
		return true
	})
	text := configFor(t, b)
	p := start(t, text)
	resp, err := p.HTTP.Do(p.NewRequest(context.Background(), "pay", "50000"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	p.stop()
	p.waitUntilNotListening()
	p.reload(text)
	p.reload("no configuration")
	close(rest)
	if body, err := io.ReadAll(resp.Body); err != nil || len(body) != upstream.MaxBufferedBody+1 {
		t.Errorf("%d bytes, error %v", len(body), err)
	}
	p.expectCleanExit()
}

// shortDeadlines replaces the deadlines in testserver.Settings with 300 ms.
var shortDeadlines = strings.NewReplacer(`"deadline_s":60.0`, `"deadline_s":0.3`, `"aim_s":20.0`, `"aim_s":0.2`)

// TestDrainKeepsToReloadedDeadlines: a reload shortens the deadlines while requests admitted under the old ones are in
// flight at a server that hangs, and then the process is stopped. The platform derives the time of the kill from the
// new deadlines, and each request gets its response before that: 503 if it may be repeated, and 502 if it is unsafe to
// repeat and may have run.
func TestDrainKeepsToReloadedDeadlines(t *testing.T) {
	b := testserver.StartBackend(t, testserver.NeverRespond)
	text := configFor(t, b)
	p := start(t, text)
	inFlight := map[string]chan *http.Response{"pay": nil, "read": nil, "book": nil}
	for class := range inFlight {
		answered := make(chan *http.Response, 1)
		r := p.NewRequest(context.Background(), class, "50000")
		inFlight[class] = answered
		go func() {
			resp, err := p.HTTP.Do(r)
			if err != nil {
				t.Error(err)
			}
			answered <- resp
		}()
		testserver.Receive(t, b.Requests, "attempt")
	}
	p.reload(shortDeadlines.Replace(text))
	p.expectMetrics("loads", "1", "load_errors", "0")
	if longest := p.operator.server.Load().handler.LongestDeadline(); longest != 300*time.Millisecond {
		t.Errorf("longest deadline %v, want 300ms", longest)
	}
	p.stop()
	for class, want := range map[string]string{"pay": "502 ", "read": "503 0.200", "book": "503 0.200"} {
		resp := testserver.Receive(t, inFlight[class], "response")
		if resp == nil {
			continue
		}
		resp.Body.Close()
		if got := fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Retry-After")); got != want {
			t.Errorf("%s: status and Retry-After %q, want %q", class, got, want)
		}
	}
	p.expectCleanExit()
}
