package upstream

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/netretry"
)

const (
	// minReadTimeout is the lower bound of the read timeout within a response.
	minReadTimeout = 500 * time.Millisecond
	// initialReadLimit is the maximum number of bytes that may be read while waiting for the first byte of a response.
	// The parser then sets the limits for the header and the body.
	initialReadLimit = 1 << 10
)

// AttemptRequest holds the parameters of an attempt.
type AttemptRequest struct {
	ServerID string
	Message  *Message
	// SendDeadline is the time by which the complete request must have reached the server. After it, the rest of the
	// request is not sent. Nil means no deadline.
	SendDeadline *SendDeadline
	// IsCancelled reports whether the client no longer waits for the response. Nil means that it always waits.
	IsCancelled func() bool
	// OnResponse is called when the first byte of a response has arrived. Nil means that it is not needed.
	OnResponse func()
	// OnStall is called, at most once, if a response has begun and its server then pauses for long. The attempt goes
	// on. Nil means that it is not needed.
	OnStall func()
	// StartStreaming is called after the first part of a long response was read. It reports whether the caller streams
	// the rest. If so, the caller must read Response.Remainder and call its Finish method.
	StartStreaming func(Response) bool
}

// Response is the result of an attempt. Body, ContentType and Remainder are set only if Outcome is Served.
type Response struct {
	Outcome     balance.Outcome
	Err         error // why the attempt failed; nil if the server has responded
	Body        []byte
	ContentType string
	Remainder   *Stream // the part of a long response after Body; nil: none
}

// MissedSendDeadline reports whether the attempt ended because its request had not reached the server by the send
// deadline.
func (r Response) MissedSendDeadline() bool {
	return errors.Is(r.Err, errSendDeadline) || errors.Is(r.Err, errUndelivered)
}

// attempt is the state of one call of Client.Attempt.
type attempt struct {
	client    *Client
	request   *AttemptRequest
	server    *server
	startedAt time.Time
	sent      bool // the complete request was written, so the server may process it
	// undelivered is set if a part of the written request had not reached the server at the send deadline.
	undelivered atomic.Bool
}

// Attempt sends a request to a server, at most once, and waits for the response until ctx is done. If the caller
// streams a long response, Attempt returns after the end of the stream, even if ctx is done before. It then returns the
// Response that was passed to StartStreaming, without its body.
func (c *Client) Attempt(ctx context.Context, request AttemptRequest) Response {
	target := c.availableServer(request.ServerID)
	if target == nil || c.checkSendable(ctx, &request, target) != nil {
		return Response{Outcome: balance.NotSent}
	}
	a := &attempt{client: c, request: &request, server: target, startedAt: time.Now()}
	response, err := a.run(ctx)
	if err != nil {
		return Response{Outcome: a.classifyFailure(ctx, err), Err: err}
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
			reusable, err = a.awaitStream(&response)
		}
	}
	reusable = reusable && !aborted && conn.SetReadDeadline(time.Time{}) == nil
	a.client.pool.release(conn, reusable)
	return response, err
}

// acquireConn acquires a connection from the pool. It fails with errSendDeadline if the send deadline passes first.
func (a *attempt) acquireConn(ctx context.Context) (*serverConn, error) {
	sendCtx, stop := a.request.SendDeadline.withContext(ctx)
	defer stop()
	conn, err := a.client.pool.acquire(sendCtx, a.server)
	if err != nil && errors.Is(context.Cause(sendCtx), errSendDeadline) {
		return nil, errSendDeadline
	}
	return conn, err
}

// roundTrip sends the request and reads the response, or the first part of a long one. reusable reports whether the
// connection can carry another request. It is also true when err means that nothing was written to the connection.
func (a *attempt) roundTrip(ctx context.Context, conn *serverConn) (response Response, reusable bool, err error) {
	encoded := a.request.Message.encode(ctx, a.server.address)
	// The abort on cancellation runs in another goroutine and may come too late to prevent the write.
	if err := a.client.checkSendable(ctx, a.request, a.server); err != nil {
		return Response{}, true, err
	}
	if err := a.send(conn, encoded); err != nil {
		return Response{}, false, err
	}
	defer a.request.SendDeadline.whenPassed(func() { a.abortUndelivered(conn) })()
	response, reusable, err = a.receiveResponse(ctx, conn)
	if err != nil && a.undelivered.Load() {
		err = errUndelivered
	}
	return response, reusable, err
}

// abortUndelivered aborts the attempt if a part of the request is still in the send buffer of the connection, because
// the server does not read. The server would otherwise process the request whenever it goes on reading.
func (a *attempt) abortUndelivered(conn *serverConn) {
	if conn.undeliveredBytes() > 0 {
		a.undelivered.Store(true)
		conn.abort()
	}
}

// send writes the request. If the complete request was written, the server may process it even if send fails.
func (a *attempt) send(conn *serverConn, encoded encodedRequest) error {
	written, err := conn.writeRequest(a.request.SendDeadline, encoded)
	a.sent = written == encoded.length()
	if a.sent {
		a.client.attemptsSent.Add(1)
	}
	return err
}

// awaitStream passes a long response to StartStreaming and waits until the stream of its rest is finished. It drops the
// first part of the body, which would else stay in memory as long as the stream.
func (a *attempt) awaitStream(response *Response) (reusable bool, err error) {
	defer a.client.pool.streams.add(response.Remainder.body.conn)()
	isStreamed := a.request.StartStreaming(*response)
	response.Body = nil
	if !isStreamed {
		return false, errStreamDeclined
	}
	return <-response.Remainder.reusable, nil
}

// checkSendable returns an error if the request must no longer be sent to the server. It is called a second time after
// the connection is established, because connecting may take long. Cancellation is the most time-critical condition and
// is checked last, so that a delay of the process during the other checks does not make the result stale.
func (c *Client) checkSendable(ctx context.Context, request *AttemptRequest, target *server) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	switch {
	case c.pool.isRemoved(target):
		return errServerRemoved
	case target.draining.Load():
		return errServerDraining
	case request.SendDeadline.hasPassed():
		return errSendDeadline
	case request.IsCancelled != nil && request.IsCancelled():
		return errRequestCancelled
	}
	return nil
}

// receiveResponse waits for the response and reads it. While the client waits, a server that has begun a response may
// pause in it: nothing tells whether it will continue. OnStall allows the caller to make another attempt meanwhile.
// Without a deadline, a response that stalls for longer than the read timeout is malformed, for example because
// its declared length is too great.
func (a *attempt) receiveResponse(ctx context.Context, conn *serverConn) (r Response, reusable bool, err error) {
	conn.limitedReader.N = initialReadLimit
	conn.readTimeout = 0
	conn.readBy = time.Time{}
	if _, err := conn.reader.Peek(1); err != nil {
		return Response{}, false, err
	}
	if a.request.OnResponse != nil {
		a.request.OnResponse()
	}
	stallTimeout := max(time.Duration(a.client.responseReadTimeoutNanos.Load()), minReadTimeout)
	conn.readTimeout = stallTimeout
	if deadline, ok := ctx.Deadline(); ok {
		conn.readTimeout = max(time.Until(deadline), 0) + stallTimeout // ctx ends the read first
		conn.watchStall(stallTimeout, a.request.OnStall)
		defer conn.watchStall(0, nil)
	}
	r, reusable, err = conn.readResponse(stallTimeout)
	if errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
		err = malformed("response stalled for longer than the read timeout")
	}
	return r, reusable, err
}

// classifyFailure returns the outcome of an attempt that failed with err. If the server's machine may be gone, it also
// closes the server's idle connections.
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
	case cause != nil || errors.Is(err, errUndelivered):
		return balance.TimedOut
	}
	return balance.Reset
}

// serverRespondedSince reports whether the server responded to another attempt after this one began. If so, only the
// connection of this attempt is broken. Otherwise the server's machine may be gone. In that case its idle connections
// would stay open, and requests written to them would be lost. Some of these requests must not be repeated. A new
// connection, in contrast, fails before anything is sent.
func (a *attempt) serverRespondedSince() bool {
	last := a.server.lastResponse.Load()
	return last != nil && !last.Before(a.startedAt)
}
