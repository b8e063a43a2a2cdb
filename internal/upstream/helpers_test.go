package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/wire"
)

// parseList parses an endpoint list in the format of discovery.
func parseList(t *testing.T, text string) discovery.List {
	t.Helper()
	list, err := discovery.ParseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// newTestClient returns a client of the backends s-0, s-1 and so on. The client reuses connections without delay.
func newTestClient(t *testing.T, backends ...*testserver.Backend) *Client {
	t.Helper()
	client := newDefaultClient(t, backends...)
	client.pool.reuseDelay = 0
	return client
}

// newDefaultClient returns a client of the backends with the default reuse delay.
func newDefaultClient(t *testing.T, backends ...*testserver.Backend) *Client {
	t.Helper()
	limits := wire.Limits{ConnectTimeout: testserver.Timeout, IdleClose: testserver.Timeout}
	client := New(limits, 1000, &atomic.Int64{})
	client.Update(parseList(t, testserver.ServingList(1, backends...)))
	t.Cleanup(func() { client.Update(discovery.List{Complete: true}) })
	return client
}

func newPostRequest(idempotencyKey string) *Message {
	return &Message{
		Method:         http.MethodPost,
		URL:            &url.URL{Path: "/api", RawQuery: "k=a%20b"},
		ID:             "id-1",
		IdempotencyKey: idempotencyKey,
		Body:           [][]byte{[]byte("skip")},
	}
}

func newGetRequest() *Message {
	return &Message{Method: http.MethodGet, URL: &url.URL{Path: "/api"}, ID: "id-1"}
}

// newSendDeadline returns a send deadline that passes after the given time.
func newSendDeadline(after time.Duration) *SendDeadline {
	deadline := &SendDeadline{}
	deadline.Set(time.Now().Add(after))
	return deadline
}

// declineStreaming is a StartStreaming function that declines to stream a long response.
func declineStreaming(Response) bool { return false }

// discardStream is a StartStreaming function that reads and discards a long response.
func discardStream(r Response) bool {
	go func() {
		_, err := io.Copy(io.Discard, r.Remainder)
		r.Remainder.Finish(err == nil)
	}()
	return true
}

// respondRaw writes text unchanged, and waits until the client closes the connection.
func respondRaw(text string) testserver.Handler {
	return func(conn net.Conn, r *http.Request, body []byte) bool {
		_, _ = io.WriteString(conn, text)
		return testserver.NeverRespond(conn, r, body)
	}
}

// manualDeadline is a context whose deadline passes when the test calls expire.
type manualDeadline struct {
	context.Context
	done chan struct{}
}

func newManualDeadline() *manualDeadline {
	return &manualDeadline{context.Background(), make(chan struct{})}
}

func (d *manualDeadline) expire() { close(d.done) }

// Done implements context.Context.
func (d *manualDeadline) Done() <-chan struct{} { return d.done }

// Err implements context.Context.
func (d *manualDeadline) Err() error {
	select {
	case <-d.done:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// sendRequest makes an attempt and declines to stream the response.
func sendRequest(client *Client, serverID string, message *Message) Response {
	return sendRequestWithin(context.Background(), client, serverID, message)
}

// sendRequestWithin makes an attempt with ctx and declines to stream the response.
func sendRequestWithin(ctx context.Context, client *Client, serverID string, message *Message) Response {
	request := AttemptRequest{ServerID: serverID, Message: message, StartStreaming: declineStreaming}
	return client.Attempt(ctx, request)
}

// sendStreaming makes an attempt. If the response is long, it is streamed and discarded.
func sendStreaming(client *Client, serverID string, message *Message) Response {
	request := AttemptRequest{ServerID: serverID, Message: message, StartStreaming: discardStream}
	return client.Attempt(context.Background(), request)
}

// updateList updates a client with an endpoint list in the format of discovery.
func updateList(t *testing.T, client *Client, text string) {
	t.Helper()
	client.Update(parseList(t, text))
}

// updateEndpoint updates a client with a list that changes only s-0.
func updateEndpoint(t *testing.T, client *Client, revision int, address, state string, bootMS int64) {
	t.Helper()
	updateList(t, client, testserver.ListText(revision, false, testserver.EndpointEntry("s-0", address, state, bootMS)))
}
