package upstream

import (
	"context"
	"errors"
	"os"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/netretry"
)

const (
	// minReadTimeout is the least time that a server may pause within a response.
	minReadTimeout = 500 * time.Millisecond
	// initialReadLimit bounds what the wait for a response reads of it. The parser sets the bounds of its parts.
	initialReadLimit = 1 << 10
)

// AttemptRequest says which request an attempt sends to which server.
type AttemptRequest struct {
	ServerID string
	Message  *Message
	// SendDeadline is when the whole request has to be written, or else never is; zero: at any time.
	SendDeadline time.Time
	// IsCancelled reports whether nobody waits for the response any more; nil: somebody always does.
	IsCancelled func() bool
	// StartStreaming is called with a long response of which only a part has come. It reports whether the caller
	// streams the rest, in which case it has to see to Response.Remainder being read and finished.
	StartStreaming func(Response) bool
}

// Response is how an attempt ended. Body, ContentType and Remainder are those of a Served one.
type Response struct {
	Outcome     balance.Outcome
	Body        []byte
	ContentType string
	Remainder   *Stream // what follows Body in a long response; nil: nothing
}

// attempt is an Attempt in progress.
type attempt struct {
	client    *Client
	request   *AttemptRequest
	server    *server
	startedAt time.Time
	sent      bool // the whole request was written, so the server may run it
}

// Attempt sends a request to a server, at most once, and waits for the response until ctx is done. A long response that
// the caller starts to stream is waited for to the end of the stream, even beyond ctx. The returned Response tells
// nothing more than StartStreaming was given then.
func (c *Client) Attempt(ctx context.Context, request AttemptRequest) Response {
	target := c.availableServer(request.ServerID)
	if target == nil || c.checkSendable(ctx, &request, target) != nil {
		return Response{Outcome: balance.NotSent}
	}
	a := &attempt{client: c, request: &request, server: target, startedAt: time.Now()}
	response, err := a.run(ctx)
	if err != nil {
		return Response{Outcome: a.classifyFailure(ctx, err)}
	}
	now := time.Now()
	target.lastResponse.Store(&now)
	return response
}

// run acquires a connection, exchanges request and response on it, and releases it.
func (a *attempt) run(ctx context.Context) (Response, error) {
	conn, err := a.acquireConn(ctx)
	if err != nil {
		return Response{}, err
	}
	stopAbort := context.AfterFunc(ctx, conn.abort)
	response, reusable, err := a.roundTrip(ctx, conn)
	aborted := !stopAbort()
	if err == nil && response.Remainder != nil {
		if aborted {
			err = ctx.Err()
		} else {
			reusable, err = a.awaitStream(response)
		}
	}
	reusable = reusable && !aborted && conn.SetReadDeadline(time.Time{}) == nil
	a.client.pool.release(conn, reusable)
	return response, err
}

// acquireConn acquires a connection. It does not wait for one beyond the send deadline.
func (a *attempt) acquireConn(ctx context.Context) (*serverConn, error) {
	pool := a.client.pool
	if a.request.SendDeadline.IsZero() {
		return pool.acquire(ctx, a.server)
	}
	acquireCtx, cancel := context.WithDeadline(ctx, a.request.SendDeadline)
	defer cancel()
	conn, err := pool.acquire(acquireCtx, a.server)
	if err != nil && acquireCtx.Err() != nil && ctx.Err() == nil {
		return nil, errSendDeadline
	}
	return conn, err
}

// roundTrip sends the request and reads the response, or the first part of a long one. reusable reports whether the
// connection can have another request, also where err says that nothing was written on it.
func (a *attempt) roundTrip(ctx context.Context, conn *serverConn) (response Response, reusable bool, err error) {
	encoded := a.request.Message.encode(ctx, a.server.address)
	// The abort runs in another goroutine, too late for a request that is cancelled at this moment.
	if err := a.client.checkSendable(ctx, a.request, a.server); err != nil {
		return Response{}, true, err
	}
	if err := a.send(conn, encoded); err != nil {
		return Response{}, false, err
	}
	return a.client.receiveResponse(ctx, conn)
}

// send writes the request. One that fails but was fully written may have run.
func (a *attempt) send(conn *serverConn, encoded encodedRequest) error {
	written, err := conn.writeRequest(a.request.SendDeadline, encoded)
	a.sent = written == encoded.length()
	if a.sent {
		a.client.attemptsSent.Add(1)
	}
	return err
}

// awaitStream offers a long response to the caller and waits until the rest of it was streamed.
func (a *attempt) awaitStream(response Response) (reusable bool, err error) {
	if !a.request.StartStreaming(response) {
		return false, errStreamDeclined
	}
	return <-response.Remainder.reusable, nil
}

// checkSendable returns why a request must not be sent to a server any more, or nil. It is called again once the
// connection is up, which may have taken long. Cancellation has the least slack, so it is checked last: if the
// process was held up during the other checks, that is over by then.
func (c *Client) checkSendable(ctx context.Context, request *AttemptRequest, target *server) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	switch {
	case c.pool.isRemoved(target):
		return errServerRemoved
	case target.draining.Load():
		return errServerDraining
	case !request.SendDeadline.IsZero() && !time.Now().Before(request.SendDeadline):
		return errSendDeadline
	case request.IsCancelled != nil && request.IsCancelled():
		return errRequestCancelled
	}
	return nil
}

// receiveResponse waits for the response and reads it. A response that stops for too long is malformed, as one whose
// declared length is too great; it would hold up its request to the end.
func (c *Client) receiveResponse(ctx context.Context, conn *serverConn) (r Response, reusable bool, err error) {
	conn.limitedReader.N = initialReadLimit
	conn.readTimeout = 0
	if _, err := conn.reader.Peek(1); err != nil {
		return Response{}, false, err
	}
	conn.readTimeout = max(time.Duration(c.responseReadTimeoutNanos.Load()), minReadTimeout)
	r, reusable, err = conn.readResponse()
	if errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
		err = malformed("it stopped midway")
	}
	return r, reusable, err
}

// classifyFailure returns the outcome of an attempt that failed with err. Where the failure may mean that the server's
// machine is gone, it closes the server's idle connections.
func (a *attempt) classifyFailure(ctx context.Context, err error) balance.Outcome {
	cause := ctx.Err()
	cancelled := errors.Is(cause, context.Canceled)
	unrelatedToServer := cancelled || netretry.IsLocalError(err)
	switch {
	case errors.Is(err, errStreamDeclined):
		return balance.Cancelled
	case errors.Is(err, errConnLimit) || errors.Is(err, errNotSendable):
		return balance.NotSent
	case unrelatedToServer && !a.sent:
		return balance.NotSent
	case unrelatedToServer:
		return balance.Cancelled
	case errors.Is(err, errMalformedResponse):
		return balance.Errored
	}
	if cause == nil || !a.serverRespondedSince() {
		a.client.pool.closeIdle(a.server)
	}
	switch {
	case !a.sent:
		return balance.ConnectFailed
	case cause != nil:
		return balance.TimedOut
	}
	return balance.Reset
}

// serverRespondedSince reports whether another attempt at the server had a response since this one began. If so only
// this attempt's connection is dead. If not the machine may have vanished: its idle connections stay open then and
// swallow requests that may never be repeated, while a new connection fails before anything is sent.
func (a *attempt) serverRespondedSince() bool {
	last := a.server.lastResponse.Load()
	return last != nil && !last.Before(a.startedAt)
}
