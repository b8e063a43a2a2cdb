package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/upstream"
)

// attempt is one attempt at a request, started by the Balancer.
type attempt struct {
	request  *inflightRequest
	index    int // position among the attempts at the request, from 0
	endpoint string
	startAt  balance.Time
	control  attemptControl
	markDone func() // stops counting the attempt in EventLoop.runningAttempts
}

// Send implements balance.Actions. It starts an attempt, which has to be sent within the given time. If that time is 0,
// only the deadline of the request applies.
func (l *EventLoop) Send(id balance.RequestID, endpoint string, within time.Duration) {
	r := l.inflight[id]
	if r == nil {
		return
	}
	ctx, cancel := context.WithDeadline(l.ctx, r.deadline)
	control := attemptControl{cancel: cancel, sendDeadline: &upstream.SendDeadline{}, responseBegun: &atomic.Bool{}}
	a := attempt{
		request:  r,
		index:    len(r.attempts),
		endpoint: endpoint,
		startAt:  l.now,
		control:  control,
		markDone: sync.OnceFunc(l.runningAttempts.Done),
	}
	r.attempts = append(r.attempts, control)
	l.SetSendTimeout(id, a.index, within)
	r.attemptsInFlight++
	l.runningAttempts.Add(1)
	go func() {
		defer a.markDone()
		defer cancel()
		l.runAttempt(ctx, a)
	}()
}

// SetSendTimeout implements balance.Actions.
func (l *EventLoop) SetSendTimeout(id balance.RequestID, attempt int, within time.Duration) {
	r := l.inflight[id]
	if r == nil || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	at := time.Time{}
	if within > 0 {
		at = l.origin.Add(l.now + within)
	}
	r.attempts[attempt].sendDeadline.Set(at)
}

// runAttempt makes an attempt and posts its result. If the response is streamed, startStreaming has already posted the
// result.
func (l *EventLoop) runAttempt(ctx context.Context, a attempt) {
	isStreamed := false
	request := upstream.AttemptRequest{
		ServerID:     a.endpoint,
		Message:      &a.request.Message,
		SendDeadline: a.control.sendDeadline,
		IsCancelled:  func() bool { return l.isCancelled(a.request) },
		OnResponse:   func() { a.control.responseBegun.Store(true) },
		OnStall:      func() { l.Post(func() { l.balancer.ResponseStalled(l.now, a.request.requestID, a.index) }) },
		StartStreaming: func(response upstream.Response) bool {
			if isStreamed = l.startStreaming(a, response); isStreamed {
				a.markDone() // the handler ends the stream
			}
			return isStreamed
		},
	}
	response := l.upstream.Attempt(ctx, request)
	if response.MissedSendDeadline() {
		l.log.Warn("server had not taken the request by the send deadline", "server", a.endpoint,
			"class", a.request.Name, "attempt", a.index, "err", response.Err)
	} else if response.Err != nil && response.Outcome != balance.Cancelled {
		l.attemptLog.warn("id", a.request.ID, "class", a.request.Name, "server", a.endpoint, "attempt", a.index,
			"outcome", response.Outcome, "time_left", timeLeft(a.request), "err", response.Err)
	}
	if !isStreamed {
		l.Post(func() { l.finishAttempt(a, response) })
	}
}

// startStreaming reports whether the rest of a long response is to be streamed to the client. A request that was
// received late in a drain ends instead, as the process may be killed before the end of the stream. Otherwise it
// completes the request and reports the attempt to the Balancer as finished before any byte is written, so that a
// client never receives parts of two responses.
func (l *EventLoop) startStreaming(a attempt, response upstream.Response) bool {
	decided := make(chan bool, 1)
	l.Post(func() {
		if !a.request.completed.Load() && l.isLate(a.request) {
			l.log.Warn("long response dropped, as the process ends", "class", a.request.Name, "id", a.request.ID,
				"server", a.endpoint)
			l.abandon(a.request)
		}
		if a.request.completed.Load() {
			decided <- false
			return
		}
		l.finishAttempt(a, response)
		decided <- true
	})
	select {
	case isFinal := <-decided:
		return isFinal
	case <-l.ctx.Done():
		return false
	}
}

// finishAttempt reports the result of an attempt to the Balancer. The first successful response becomes the final
// response of the request.
func (l *EventLoop) finishAttempt(a attempt, response upstream.Response) {
	r := a.request
	isFinal := response.Outcome == balance.Served && !r.completed.Load()
	if isFinal {
		r.completed.Store(true)
	}
	r.attemptsInFlight--
	l.balancer.Result(l.now, balance.Result{
		ID:        r.requestID,
		Attempt:   a.index,
		Endpoint:  a.endpoint,
		Outcome:   response.Outcome,
		Took:      l.responseTime(a, response),
		Finished:  r.completed.Load(),
		Streaming: response.Remainder != nil,
	})
	// The response is delivered after the Balancer has cancelled hedged requests, which could otherwise be sent after
	// the final response.
	if isFinal {
		r.response <- finalResponse{
			kind:        served,
			body:        response.Body,
			contentType: response.ContentType,
			remainder:   response.Remainder,
			source:      streamSource{endpoint: a.endpoint, sentAt: a.startAt},
		}
	}
	l.releaseIfDone(r)
}

// responseTime returns the response time of an attempt that ends now. That of a streamed response is the time to its
// first byte: how long its beginning is buffered is no property of the server.
func (l *EventLoop) responseTime(a attempt, response upstream.Response) time.Duration {
	if response.Remainder == nil {
		return l.now - a.startAt
	}
	return response.Remainder.FirstByteAt().Sub(l.origin) - a.startAt
}

// endStream reports the end of a streamed response to the Balancer.
func (l *EventLoop) endStream(source streamSource, outcome balance.Outcome) {
	end := balance.StreamEnd{Endpoint: source.endpoint, Sent: source.sentAt, Outcome: outcome}
	l.Post(func() { l.balancer.StreamEnded(l.now, end) })
}

// Cancel implements balance.Actions. It cancels an attempt; the goroutine of the attempt posts the result. While the
// request waits for its response, an attempt whose response has begun is not cancelled in favor of another one, as its
// server would be cut off.
func (l *EventLoop) Cancel(id balance.RequestID, attempt int) {
	r := l.inflight[id]
	if r == nil || attempt < 0 || attempt >= len(r.attempts) {
		return
	}
	control := r.attempts[attempt]
	if r.completed.Load() || !control.responseBegun.Load() {
		control.cancel()
	}
}

// Reject implements balance.Actions. The request has had no effect, and the client may send it again after retryAfter.
func (l *EventLoop) Reject(id balance.RequestID, retryAfter time.Duration) {
	l.logRefusal(id, "rejected")
	l.respondByID(id, finalResponse{kind: rejected, retryAfter: retryAfter})
}

// Fail implements balance.Actions. The request may have had an effect.
func (l *EventLoop) Fail(id balance.RequestID) {
	l.logRefusal(id, "failed")
	l.respondByID(id, finalResponse{kind: badGateway})
}

// logRefusal logs that the Balancer ends a request without a server's response.
func (l *EventLoop) logRefusal(id balance.RequestID, result string) {
	r := l.inflight[id]
	if r == nil || r.completed.Load() {
		return
	}
	l.refusalLog.warn("id", r.ID, "class", r.Name, "result", result, "attempts", len(r.attempts),
		"time_left", timeLeft(r))
}

// timeLeft returns the time until the client's deadline of a request, for the log.
func timeLeft(r *inflightRequest) time.Duration {
	return time.Until(r.deadline.Add(responseMargin)).Round(time.Millisecond)
}

// Timer implements balance.Actions.
func (l *EventLoop) Timer(after time.Duration, token uint64) {
	time.AfterFunc(after, func() { l.Post(func() { l.balancer.Timer(l.now, token) }) })
}

// Log implements balance.Actions.
func (l *EventLoop) Log(text string) { l.log.Info(text) }
