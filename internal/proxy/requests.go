package proxy

import (
	"context"
	"time"

	"milletramp.example/milletramp/balance"
)

// responseMargin is reserved before the client's deadline for the transmission of the final response.
const responseMargin = 5 * time.Millisecond

// serve passes a request to the Balancer and returns its final response. It returns false if ctx, the context of the
// HTTP request, ends first.
func (l *EventLoop) serve(ctx context.Context, r *inflightRequest) (finalResponse, bool) {
	r.response = make(chan finalResponse, 1)
	l.Post(func() { l.start(r) })
	// The expiry ends a request for which the Balancer produces no response. Without it, the client would get no
	// response.
	expiry := time.AfterFunc(time.Until(r.deadline)+responseMargin/2, func() { l.Post(func() { l.expire(r) }) })
	defer expiry.Stop()
	select {
	case response := <-r.response:
		return response, true
	case <-ctx.Done():
		l.Post(func() { l.cancel(r) })
		return finalResponse{}, false
	}
}

// start passes a request to the Balancer, unless its client has disconnected or its policy is no longer in force.
func (l *EventLoop) start(r *inflightRequest) {
	if r.clientDisconnected() {
		l.respond(r, finalResponse{kind: badGateway})
		r.dropBody()
		return
	}
	if l.gate != nil && !l.gate.isInForce(r.policyNumber) {
		l.respond(r, finalResponse{kind: policyChanged})
		return
	}
	l.lastID++
	r.requestID = l.lastID
	l.inflight[r.requestID] = r
	l.scheduleExpiry(r)
	l.balancer.Request(l.now, balance.Request{
		ID:             r.requestID,
		Class:          r.index,
		Tenant:         r.tenant,
		Timeout:        r.deadline.Sub(l.origin) - l.now,
		Retry:          r.isRetry,
		ClassAtArrival: &r.Class,
	})
}

// isCancelled reports whether a request is completed or its client has disconnected, so that no attempt at it may
// begin. It is called by the goroutines of attempts.
func (l *EventLoop) isCancelled(r *inflightRequest) bool {
	if r.completed.Load() {
		return true
	}
	if !r.clientDisconnected() {
		return false
	}
	l.Post(func() {
		// If the request was completed in the meantime, its handler is about to receive the response.
		if !r.completed.Load() {
			l.cancel(r)
		}
	})
	return true
}

// drain makes all requests expire at shutdownAt at the latest, shortly before the process may be killed. Long responses
// to requests that are received after lateFrom are not streamed.
func (l *EventLoop) drain(lateFrom, shutdownAt time.Time) {
	l.lateFrom = lateFrom
	l.shutdownAt = shutdownAt
	for _, r := range l.inflight {
		l.scheduleExpiry(r)
	}
}

// scheduleExpiry schedules the expiry of a request whose deadline is after shutdownAt.
func (l *EventLoop) scheduleExpiry(r *inflightRequest) {
	if !l.shutdownAt.IsZero() && l.shutdownAt.Before(r.deadline) {
		time.AfterFunc(time.Until(l.shutdownAt), func() { l.Post(func() { l.expire(r) }) })
	}
}

// isLate reports whether a request was received so late in a drain that its response counts as lost if the process is
// killed before its end.
func (l *EventLoop) isLate(r *inflightRequest) bool {
	return !l.lateFrom.IsZero() && r.receivedAt.After(l.lateFrom)
}

// cancel ends a request whose client has disconnected. If the request is completed but its handler has not received the
// response, cancel discards the response and ends its stream.
func (l *EventLoop) cancel(r *inflightRequest) {
	if !r.completed.Load() {
		l.abandon(r)
		return
	}
	select {
	case response := <-r.response:
		if response.remainder != nil {
			response.remainder.Finish(false)
			l.endStream(response.source, balance.Cancelled)
		}
	default:
	}
}

// expire ends a request that has no final response at its deadline or at shutdownAt.
func (l *EventLoop) expire(r *inflightRequest) {
	if r.completed.Load() {
		return
	}
	l.log.Warn("request exceeded its deadline", "class", r.Name, "id", r.ID, "attempts", len(r.attempts),
		"in_flight", r.attemptsInFlight, "time_left", timeLeft(r))
	l.abandon(r)
}

// abandon completes a request without a server's response: with 503 if it has had no effect, else with 502.
func (l *EventLoop) abandon(r *inflightRequest) {
	response := finalResponse{kind: badGateway}
	if len(r.attempts) == 0 || l.balancer.MayReject(r.requestID) {
		response = finalResponse{kind: rejected, retryAfter: l.settings.Load().retryAfter}
	}
	l.respond(r, response)
	l.balancer.ClientGone(l.now, r.requestID)
	l.releaseIfDone(r)
}

// respond sets the final response of a request. It does nothing if the request is already completed.
func (l *EventLoop) respond(r *inflightRequest, response finalResponse) {
	if !r.completed.Load() {
		r.completed.Store(true)
		r.response <- response
	}
}

// respondByID sets the final response of a request if the request is still in flight.
func (l *EventLoop) respondByID(id balance.RequestID, response finalResponse) {
	if r := l.inflight[id]; r != nil {
		l.respond(r, response)
		l.releaseIfDone(r)
	}
}

// releaseIfDone removes a request that is completed and has no attempt in flight.
func (l *EventLoop) releaseIfDone(r *inflightRequest) {
	if r.completed.Load() && r.attemptsInFlight == 0 {
		delete(l.inflight, r.requestID)
		r.dropBody()
	}
}
