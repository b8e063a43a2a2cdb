package balance

import (
	"cmp"
	"math"
	"time"
)

// This file contains the lifecycle of requests and their attempts.

const (
	// maxAttemptsPerRequest is the number of attempts of a request that timer tokens can distinguish.
	maxAttemptsPerRequest = 1 << 12
	// responseTimeSmoothing is the weight of a new response in the mean response times.
	responseTimeSmoothing = 0.05
	// minResponseSeconds keeps mean response times above 0 where the measured time is 0.
	minResponseSeconds = 1e-6
)

// request is a request without a final response yet, or with attempts without a result.
type request struct {
	Request
	class           *Class
	deadline        Time
	overAllowance   bool // beyond its tenant's allowance
	reachedEndpoint bool // an attempt has reached an endpoint, or may have
	retryPaid       bool // the next attempt is already charged to the retry budget
	ended           bool // has had its final response
	outstanding     int  // number of attempts without a result
	attempts        []attempt
}

// attempt is one attempt at a request.
type attempt struct {
	endpoint         *endpoint
	sent             Time
	sendBy           Time    // time by which it has to reach its endpoint completely; 0: no limit
	waitingSince     Time    // start of the current wait for a response
	inFlightAtSend   float64 // requests in flight there at sending, with this one and assumedOtherRequests
	done             bool    // has a result
	mayHaveRun       bool    // done, and may have been executed
	released         bool    // no longer counts as in flight
	countedAsSilence bool    // counted in the silence test of its endpoint
	reportedLate     bool    // the observer was notified that it is late
	hedged           bool    // another attempt was sent because this one was probably lost
	expectedAtSend   float64 // response time in seconds expected when it was sent
	expectedNow      float64 // response time in seconds expected now
	alarmWeight      float64 // weight last added to the loss alarm for it; 0: none
	lossProbability  float64 // probability with which it is recorded as lost; 0: not recorded
}

// resetWait restarts the waiting time of the attempt.
func (a *attempt) resetWait(now Time) {
	if !a.released {
		a.endpoint.waitingSinceSum += now - a.waitingSince
		a.waitingSince = now
	}
}

// releaseInFlight stops counting the attempt as in flight at its endpoint.
func (a *attempt) releaseInFlight() {
	if !a.released {
		a.released = true
		a.endpoint.inFlight--
		a.endpoint.waitingSinceSum -= a.waitingSince
	}
}

// Request starts a client's request. It is ignored if its class is unknown or its ID is in use.
func (b *Balancer) Request(now Time, r Request) {
	if _, twice := b.requests[r.ID]; twice || r.Class < 0 || r.Class >= len(b.settings.Classes) {
		return
	}
	q := &request{
		Request:       r,
		class:         cmp.Or(r.ClassAtArrival, &b.settings.Classes[r.Class]),
		deadline:      now + r.Timeout,
		overAllowance: b.overAllowance(r.Tenant, now),
	}
	b.requests[r.ID] = q
	if r.Retry {
		b.retryBudget.Charge(r.Class)
	}
	b.dispatch(q, now)
}

// dispatch sends the next attempt of the request, or ends the request if no attempt may or should be sent.
func (b *Balancer) dispatch(q *request, now Time) {
	to, excess := (*endpoint)(nil), 0.0
	if len(q.attempts) < b.settings.MaxAttempts && now < q.deadline {
		to, excess = b.selectEndpoint(q, now)
	}
	// If all attempts fail, further attempts add to the overload that makes them fail. They are therefore
	// charged to the retry budget, except after attempts that never reached an endpoint.
	if to != nil && (!q.reachedEndpoint || q.retryPaid || b.retryBudget.Spend(q.Class)) {
		b.send(q, to, now)
		return
	}
	if b.capacity.warmedUpWeight[1] == 0 {
		b.sentAttempts++ // rejected requests add to the credit only while all endpoints are warming up
	}
	if b.mayReject(q) {
		b.actions.Reject(q.ID, time.Duration(min(max(excess, 0), b.objective)*float64(time.Second)))
	} else {
		b.actions.Fail(q.ID)
	}
	b.end(q)
}

// send sends an attempt of q to an endpoint.
func (b *Balancer) send(q *request, to *endpoint, now Time) {
	to.classes[q.Class].Sent(now, ejectionTime)
	expected := b.expectedForClass(to.expectedSeconds, q.Class)
	to.inFlight++
	to.waitingSinceSum += now
	q.retryPaid = false
	q.outstanding++
	q.attempts = append(q.attempts, attempt{
		endpoint:       to,
		sent:           now,
		waitingSince:   now,
		inFlightAtSend: float64(to.inFlight) + assumedOtherRequests,
		expectedAtSend: expected,
		expectedNow:    expected,
	})
	b.sentAttempts++
	to.slowStart.reset(b.sentAttempts, now, 0)
	last := len(q.attempts) - 1
	q.attempts[last].sendBy, _ = q.sendBy(last)
	b.updateSendTimeouts(q, last, now)
	b.actions.Send(q.ID, to.ID, q.sendTimeout(last, now))
	token := tokenAttempt + uint64(q.ID)*maxAttemptsPerRequest + uint64(last)
	b.scheduleAttemptCheck(min(b.lateThreshold(q.Class), b.hedgeDelay(q, &q.attempts[last])), token)
}

// Result ends an attempt. It leads to the request's final response, to a retry, or to nothing while other
// attempts are still in flight.
func (b *Balancer) Result(now Time, r Result) {
	q := b.requests[r.ID]
	if q == nil || r.Attempt < 0 || r.Attempt >= len(q.attempts) || q.attempts[r.Attempt].done {
		return
	}
	a := &q.attempts[r.Attempt]
	a.done = true
	a.mayHaveRun = r.Outcome != Saturated && r.Outcome != ConnectFailed && r.Outcome != NotSent
	a.releaseInFlight()
	q.reachedEndpoint = q.reachedEndpoint || a.mayHaveRun || r.Outcome == Saturated
	q.outstanding--
	b.updateSendTimeouts(q, len(q.attempts), now)
	switch r.Outcome {
	case Saturated:
		// Some endpoints serve one class and reject another. For the classes that they serve, they are neither slow
		// nor at capacity, so they are ejected for the rejected class alone.
		b.ejectForClass(a.endpoint, q.Class, now+classEjectionTime)
	case Served:
		b.recordClassResponseTime(q.Class, r.Took)
		b.retryBudget.Earn(q.Class)
		if a.endpoint.capacityShare >= 1 {
			b.capacity.served++
		}
	}
	if a.sent >= a.endpoint.Started { // results of a previous process do not apply to the current one
		b.recordLossOutcome(q, a, r, now)
		b.recordOutcome(a, r, now)
	}
	switch {
	case r.Finished || q.ended:
		b.end(q)
	case q.outstanding == 0:
		b.dispatch(q, now)
	}
}

// recordClassResponseTime updates the mean response times with a response of a class.
func (b *Balancer) recordClassResponseTime(class int, took time.Duration) {
	seconds := max(took.Seconds(), minResponseSeconds)
	deviation := seconds - b.meanResponseTime[class]
	b.meanResponseTime[class] += responseTimeSmoothing * deviation
	b.responseTimeDeviation[class] +=
		responseTimeSmoothing * (math.Abs(deviation) - b.responseTimeDeviation[class])
	b.overallMeanResponseTime += responseTimeSmoothing * (seconds - b.overallMeanResponseTime)
}

// ResponseStarted records that a streamed response has begun.
func (b *Balancer) ResponseStarted(now Time, id RequestID, attempt int) {
	q := b.requests[id]
	if q != nil && attempt >= 0 && attempt < len(q.attempts) && !q.attempts[attempt].done {
		q.attempts[attempt].resetWait(now) // the time before the stream no longer counts as waiting
	}
}

// ClientGone ends a request whose client has disconnected: no further attempt or response is sent.
func (b *Balancer) ClientGone(now Time, id RequestID) {
	if q := b.requests[id]; q != nil && !q.ended {
		b.end(q)
	}
}

// end marks a request as ended, cancels its attempts in flight, and drops it once none is left.
func (b *Balancer) end(q *request) {
	for i := range q.attempts {
		if !q.attempts[i].done && !q.ended && b.settings.CancelAllowed {
			b.actions.Cancel(q.ID, i)
		}
	}
	if q.ended = true; q.outstanding == 0 {
		delete(b.requests, q.ID)
	}
}
