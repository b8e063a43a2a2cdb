package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/scenario"
	"milletramp.example/milletramp/internal/lab/workload"
)

// How a scenario words the effects of a class.
const (
	effectDeduplicated = "deduplicated"
	effectIdempotent   = "idempotent"
)

const (
	requestBody    = "bags: 12"
	responsePrefix = "answer " // before the token, in the body of a server's response
)

// clientAttempt is one request as it is sent to the sidecar: a first one or a retry.
type clientAttempt struct {
	*Clients
	request     workload.Request
	class       scenario.Class
	id, firstID uint64
	sent        atomic.Bool // its start is recorded: its last byte has been written, or it has ended
	written     atomic.Bool // its last byte has been written to a connection that did not reset it unread
}

// newAttempt returns an attempt that servers can look up.
func (c *Clients) newAttempt(request workload.Request, id, firstID uint64) *clientAttempt {
	a := &clientAttempt{
		Clients: c,
		request: request,
		class:   c.Scenario.Classes[request.Class],
		id:      id,
		firstID: firstID,
	}
	info := RequestInfo{Class: request.Class, Work: request.Work, Key: request.Key}
	if a.class.Effect == effectDeduplicated {
		info.Effect = id
	}
	c.Requests.Register(id, info)
	return a
}

// run sends the request, records what is observed of it and returns how it ended, with the Retry-After of the response.
func (a *clientAttempt) run(ctx context.Context) (workload.Outcome, time.Duration) {
	address := a.currentAddress()
	if address == "" {
		a.recordNotRunning()
		return workload.Unreachable, 0
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout())
	defer cancel()
	response, body, err := a.exchange(ctx, address)
	sentWhole := a.written.Load()
	a.recordSent()
	if errors.Is(ctx.Err(), context.Canceled) {
		a.recordEnd(record.Event{Kind: record.ClientLeft})
		return workload.Failed, 0
	}
	if err != nil {
		return a.recordFailure(ctx, sentWhole), 0
	}
	return a.recordResponse(response, body)
}

// timeout is how long the client waits for the response.
func (a *clientAttempt) timeout() time.Duration {
	if a.request.LeavesAfter > 0 {
		return a.request.LeavesAfter
	}
	return a.request.Timeout + a.ResponseGrace
}

// errClosedUnanswered means that the sidecar has read the request and closed its connection without a response.
var errClosedUnanswered = errors.New("connection closed without a response to the request that was read on it")

// exchange sends the request and reads the whole response. If the sidecar closes an idle connection and has not read
// the request that crosses the close, the client sends the request one more time on a new connection, as the protocol
// has it: "Between requests a sidecar may close one; if that crosses a request the sidecar has not read, the client
// sends that request one more time on a new connection."
func (a *clientAttempt) exchange(ctx context.Context, address string) (*http.Response, []byte, error) {
	response, body, reused, err := a.send(ctx, address)
	if reused && errors.Is(err, syscall.ECONNRESET) && ctx.Err() == nil {
		a.written.Store(false)
		a.httpClient.CloseIdleConnections()
		response, body, _, err = a.send(ctx, address)
	}
	return response, body, err
}

// send sends the request on one connection. reused reports whether that connection has carried a request before.
func (a *clientAttempt) send(ctx context.Context, address string) (response *http.Response, body []byte, reused bool,
	err error) {
	var conns []*clientConn // more than one where the transport sends a request without a body again by itself
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			reused = info.Reused
			conns = append(conns, info.Conn.(*clientConn))
		},
		// The request counts as sent once its last byte is written.
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				a.written.Store(true)
				a.recordSent()
			}
		},
	})
	request, err := a.newHTTPRequest(ctx, address)
	if err != nil {
		panic(fmt.Sprintf("standin: a request that cannot be built: %v", err))
	}
	response, body, err = a.readResponse(request)
	for _, conn := range conns {
		if conn.closedUnanswered.Load() {
			return nil, nil, reused, errClosedUnanswered
		}
	}
	return response, body, reused, err
}

// readResponse sends a request and reads the whole response.
func (a *clientAttempt) readResponse(request *http.Request) (*http.Response, []byte, error) {
	response, err := a.httpClient.Do(request)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response, body, err
}

func (a *clientAttempt) newHTTPRequest(ctx context.Context, address string) (*http.Request, error) {
	method := http.MethodPost
	body := io.Reader(strings.NewReader(requestBody))
	if a.class.Effect == effectIdempotent {
		method = http.MethodGet
		body = nil
	}
	url := fmt.Sprintf("http://%s/api?k=%016x", address, a.request.Key)
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	r.GetBody = nil // the transport must not send it again by itself
	r.Header.Set("X-Request-ID", strconv.FormatUint(a.id, 16))
	r.Header.Set("X-Priority-Class", a.class.Name)
	r.Header.Set("X-Timeout-Ms", strconv.FormatInt(a.request.Timeout.Milliseconds(), 10))
	r.Header.Set("X-Cost", strconv.FormatInt(int64(a.request.Work*1e6), 10)) // microseconds
	if a.class.Effect == effectDeduplicated {
		r.Header.Set("Idempotency-Key", fmt.Sprintf("%032x", a.id))
	}
	if a.request.RetriesMade > 0 {
		r.Header.Set("X-Retried", "1")
	}
	if a.request.Tenant >= 0 {
		r.Header.Set("X-Tenant-Id", a.Scenario.Tenants[a.request.Tenant].Name)
	}
	return r, nil
}

// requestedEvent is the event of the request's start, without a time.
func (a *clientAttempt) requestedEvent() record.Event {
	return record.Event{
		Kind:         record.Requested,
		Request:      a.id,
		FirstRequest: a.firstID,
		Sidecar:      a.Sidecar,
		Class:        uint8(a.request.Class),
		Tenant:       int32(a.request.Tenant),
		Wait:         a.request.Timeout,
		Work:         a.request.Work,
		Effect:       a.id,
	}
}

// recordSent records the request's start, the first time that it is called.
func (a *clientAttempt) recordSent() {
	if a.sent.CompareAndSwap(false, true) {
		a.Log.Add(a.requestedEvent())
	}
}

// recordNotRunning records a request to a sidecar that is not running.
func (a *clientAttempt) recordNotRunning() {
	event := a.requestedEvent()
	event.At = a.Log.Now()
	event.Status = record.NotReached
	a.Log.Add(event)
	event.Kind = record.Answered
	a.Log.Add(event)
}

// recordEnd records how the request ended.
func (a *clientAttempt) recordEnd(event record.Event) {
	event.Request = a.id
	event.Sidecar = a.Sidecar
	a.Log.Add(event)
}

// recordFailure records a request without a complete response.
func (a *clientAttempt) recordFailure(ctx context.Context, sentWhole bool) workload.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && a.request.LeavesAfter > 0:
		a.recordEnd(record.Event{Kind: record.ClientLeft})
		return workload.Failed
	case !sentWhole:
		a.recordEnd(record.Event{Kind: record.Answered, Status: record.NotReached})
		return workload.Unreachable
	default:
		return workload.Failed // nothing to record: the checker finds that the response is missing
	}
}

// recordResponse records a complete response, and returns its Retry-After with the outcome.
func (a *clientAttempt) recordResponse(response *http.Response, body []byte) (workload.Outcome, time.Duration) {
	switch response.StatusCode {
	case http.StatusOK:
		token, _ := strconv.ParseUint(strings.TrimPrefix(string(body), responsePrefix), 10, 64)
		a.recordEnd(record.Event{Kind: record.Answered, Status: record.Served, Token: token})
		return workload.Served, 0
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		retryAfter := time.Duration(seconds * float64(time.Second))
		a.recordEnd(record.Event{Kind: record.Answered, Status: record.Rejected, RetryAfter: retryAfter})
		return workload.Rejected, retryAfter
	default:
		a.recordEnd(record.Event{Kind: record.Answered, Status: record.Failed})
		return workload.Failed, 0
	}
}
