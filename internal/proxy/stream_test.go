package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/upstream"
)

// TestContentTypeReachesTheClient: a response has the server's Content-Type at the client, short or streamed. Where the
// server gave none, none is guessed.
func TestContentTypeReachesTheClient(t *testing.T) {
	for _, size := range []int{4, upstream.MaxBufferedBody + 1} {
		for _, contentType := range []string{"application/x-slot", ""} {
			t.Run(fmt.Sprintf("%d bytes, %q", size, contentType), func(t *testing.T) {
				expectContentType(t, size, contentType)
			})
		}
	}
}

// expectContentType sends a request to a server whose response has a body of this size and a Content-Type; "": none.
func expectContentType(t *testing.T, size int, contentType string) {
	t.Helper()
	header := ""
	if contentType != "" {
		header = "Content-Type: " + contentType + "\r\n"
	}
	p := startTestProxy(t, testserver.Respond(200, header, strings.Repeat("x", size)))
	resp, err := p.HTTP.Do(p.NewRequest(context.Background(), "read", "50000"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if body, err := io.ReadAll(resp.Body); err != nil || len(body) != size {
		t.Errorf("%d bytes, error %v", len(body), err)
	}
	if got := strings.Join(resp.Header["Content-Type"], ", "); got != contentType {
		t.Errorf("Content-Type %q, want %q", got, contentType)
	}
}

// newTestLoop returns an event loop that knows the backends, and that does not run.
func newTestLoop(ctx context.Context, t *testing.T, backends ...*testserver.Backend) *EventLoop {
	t.Helper()
	c := loadConfig(t, testserver.ServingList(1, backends...), testserver.Settings)
	dialDiscovery := func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("discovery is down")
	}
	loop := newEventLoop(ctx, t, c, dialDiscovery)
	t.Cleanup(func() { loop.upstream.Update(discovery.List{Complete: true}) })
	return loop
}

// beginLongResponse sends the beginning of a long response, and waits for the client to close.
func beginLongResponse(conn net.Conn, r *http.Request, body []byte) bool {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nx", upstream.MaxBufferedBody+1)
	return testserver.NeverRespond(conn, r, body)
}

// startAttempt makes an attempt at s-0 in a goroutine. The channel gets how it ended.
func startAttempt(ctx context.Context, client *upstream.Client,
	startStreaming func(upstream.Response) bool) (ended chan upstream.Response) {
	ended = make(chan upstream.Response, 1)
	message := &upstream.Message{Method: http.MethodGet, URL: &url.URL{Path: "/api"}, ID: "id-1"}
	request := upstream.AttemptRequest{ServerID: "s-0", Message: message, StartStreaming: startStreaming}
	go func() { ended <- client.Attempt(ctx, request) }()
	return ended
}

// TestAbandonedStreamFreesItsConnection: a client that leaves while the stream of its response waits for the handler
// frees the server's connection. An overdue request leaves that response to its handler.
func TestAbandonedStreamFreesItsConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop := newTestLoop(ctx, t, testserver.StartBackend(t, beginLongResponse))
	request := &inflightRequest{response: make(chan finalResponse, 1)}
	started := make(chan bool, 1)
	ended := startAttempt(ctx, loop.upstream, func(r upstream.Response) bool {
		request.completed.Store(true)
		request.response <- finalResponse{kind: served, body: r.Body, remainder: r.Remainder}
		started <- true
		return true
	})
	testserver.Receive(t, started, "stream")
	loop.expire(request)
	if len(request.response) != 1 {
		t.Fatal("an overdue request has lost the response that its handler is about to take")
	}
	loop.cancel(request)
	testserver.Receive(t, ended, "end of the attempt")
	if open, _ := loop.upstream.ConnCounts(); open != 0 || len(request.response) != 0 {
		t.Errorf("%d connections and %d responses are left", open, len(request.response))
	}
}

// TestLateLongResponseIsNotStreamed: a long response that begins once the request has its final response, or once the
// event loop has ended, is not streamed, and costs its connection.
func TestLateLongResponseIsNotStreamed(t *testing.T) {
	for _, tt := range []struct {
		name  string
		ended bool // the event loop, when the response begins
	}{
		{"the request has its final response", false},
		{"the event loop has ended", true},
	} {
		t.Run(tt.name, func(t *testing.T) { expectStreamDeclined(t, tt.ended) })
	}
}

// expectStreamDeclined makes an attempt for a request that has its final response. loopEnded: the event loop has ended.
func expectStreamDeclined(t *testing.T, loopEnded bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop := newTestLoop(ctx, t, testserver.StartBackend(t, beginLongResponse))
	var running sync.WaitGroup
	if loopEnded {
		cancel()
	} else {
		running.Add(1)
		go func() {
			defer running.Done()
			loop.Run(ctx)
		}()
	}
	class := loop.settings.Load().classes["read"]
	request := &inflightRequest{classSettings: class, response: make(chan finalResponse, 1), attemptsInFlight: 1}
	request.completed.Store(true)
	ended := startAttempt(context.Background(), loop.upstream, func(r upstream.Response) bool {
		return loop.startStreaming(attempt{request: request, endpoint: "s-0", startAt: loop.clock()}, r)
	})
	r := testserver.Receive(t, ended, "end of the attempt")
	if r.Outcome != balance.Cancelled || r.Remainder != nil {
		t.Errorf("outcome %d, want %d", r.Outcome, balance.Cancelled)
	}
	if open, _ := loop.upstream.ConnCounts(); open != 0 || len(request.response) != 0 {
		t.Errorf("%d connections are left, %d more responses", open, len(request.response))
	}
	cancel()
	running.Wait()
	if n := request.attemptsInFlight; n != 1 {
		t.Errorf("%d attempts are in flight for the event loop, want the one whose end was not reported to it", n)
	}
}
