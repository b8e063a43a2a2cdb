package proxy

import (
	"context"
	"time"

	"milletramp.example/milletramp/balance"
)

// answerMargin is kept free before the client's deadline for the way of the final response.
const answerMargin = 5 * time.Millisecond

// serve has the Balancer decide on a request and returns its final response, or false if ctx, which is that of the
// client's connection, ends first.
func (l *EventLoop) serve(ctx context.Context, r *inflightRequest) (finalResponse, bool) {
	r.response = make(chan finalResponse, 1)
	l.Post(func() { l.start(r) })
	// A request that the Balancer leaves without a response would hang until the client gives up.
	expiry := time.AfterFunc(time.Until(r.deadline)+answerMargin/2, func() { l.Post(func() { l.expire(r) }) })
	defer expiry.Stop()
	select {
	case response := <-r.response:
		return response, true
	case <-ctx.Done():
		l.Post(func() { l.cancel(r) })
		return finalResponse{}, false
	}
}

// start hands a request to the Balancer.
func (l *EventLoop) start(r *inflightRequest) {
	if r.clientGone() {
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

// isCancelled reports whether nobody waits for a request any more, so that no attempt at it may begin. Goroutines of
// attempts call it.
func (l *EventLoop) isCancelled(r *inflightRequest) bool {
	if r.completed.Load() {
		return true
	}
	if !r.clientGone() {
		return false
	}
	l.Post(func() {
		// It may have got its response meanwhile, which its handler is about to take.
		if !r.completed.Load() {
			l.cancel(r)
		}
	})
	return true
}

// expireBy expires all requests at an instant at the latest, as the process may be killed then.
func (l *EventLoop) expireBy(shutdownAt time.Time) {
	l.shutdownAt = shutdownAt
	for _, r := range l.inflight {
		l.scheduleExpiry(r)
	}
}

// scheduleExpiry schedules the expiry of a request where the process ends before its deadline.
func (l *EventLoop) scheduleExpiry(r *inflightRequest) {
	if !l.shutdownAt.IsZero() && l.shutdownAt.Before(r.deadline) {
		time.AfterFunc(time.Until(l.shutdownAt), func() { l.Post(func() { l.expire(r) }) })
	}
}

// cancel ends a request whose client has gone. If it has its response already, nobody takes that any more.
func (l *EventLoop) cancel(r *inflightRequest) {
	if !r.completed.Load() {
		l.giveUp(r)
		return
	}
	select {
	case response := <-r.response:
		if response.remainder != nil {
			response.remainder.Finish(false)
		}
	default:
	}
}

// expire ends a request whose deadline is over.
func (l *EventLoop) expire(r *inflightRequest) {
	if r.completed.Load() {
		return
	}
	l.log.Warn("request overdue", "class", r.Name)
	l.giveUp(r)
}

// giveUp gives a request its final response without a server's.
func (l *EventLoop) giveUp(r *inflightRequest) {
	response := finalResponse{kind: badGateway}
	if len(r.attempts) == 0 || l.balancer.MayReject(r.requestID) {
		response = finalResponse{kind: rejected, retryAfter: l.settings.Load().retryAfter}
	}
	l.respond(r, response)
	l.balancer.ClientGone(l.now, r.requestID)
	l.releaseIfDone(r)
}

// respond gives a request its final response. The first one counts.
func (l *EventLoop) respond(r *inflightRequest, response finalResponse) {
	if !r.completed.Load() {
		r.completed.Store(true)
		r.response <- response
	}
}

// respondByID gives a request its final response, if it is still in flight.
func (l *EventLoop) respondByID(id balance.RequestID, response finalResponse) {
	if r := l.inflight[id]; r != nil {
		l.respond(r, response)
		l.releaseIfDone(r)
	}
}

// releaseIfDone forgets a request that has its final response and no attempt in flight.
func (l *EventLoop) releaseIfDone(r *inflightRequest) {
	if r.completed.Load() && r.attemptsInFlight == 0 {
		delete(l.inflight, r.requestID)
		r.dropBody()
	}
}
