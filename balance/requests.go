package balance

import (
	"cmp"
	"math"
	"time"
)

// This file holds the life of a request and its attempts.

const (
	// maxAttemptsPerRequest is how many attempts of a request timers can tell apart.
	maxAttemptsPerRequest = 1 << 12
	// responseTimeSmoothing is the weight of an answer in the mean time of its class.
	responseTimeSmoothing = 0.05
	// minResponseSeconds keeps mean times above 0 where answers seem to take no time.
	minResponseSeconds = 1e-6
)

// request is a request that has no final answer yet, or has attempts without a result.
type request struct {
	Request
	class           *Class
	deadline        Time
	overAllowance   bool // beyond its tenant's allowance
	reachedEndpoint bool // an attempt has reached an endpoint, or may have
	retryPaid       bool // the next attempt is paid from the retry budget already
	ended           bool // has its final answer
	outstanding     int  // attempts without a result
	attempts        []attempt
}

// attempt is one attempt at a request.
type attempt struct {
	endpoint         *endpoint
	sent             Time
	waitingSince     Time    // since when its answer is taken to be due
	inFlightAtSend   float64 // requests that the endpoint held at the sending, this one included
	done             bool    // has its result
	mayHaveRun       bool    // done, and may have run
	released         bool    // no longer counted as in flight
	countedAsSilence bool    // counts for the silence of its endpoint
	reportedLate     bool    // the observer was notified that it is late
	hedged           bool    // another attempt was made, as this one seemed lost
	expectedAtSend   float64 // seconds that its answer was expected to take when it was sent
	expectedNow      float64 // and is expected to take by now
	alarmWeight      float64 // weight of its silence in the test of its class
	lossProbability  float64 // with which it counts as lost already; 0: it does not count yet
}

// resetWait makes the attempt's answer due from now on.
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

// Request begins a client's request. One whose class is unknown or whose id is in use is ignored.
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

// dispatch sends the request's next attempt, or ends the request if none may or should be sent.
func (b *Balancer) dispatch(q *request, now Time) {
	to, excess := (*endpoint)(nil), 0.0
	if len(q.attempts) < b.settings.MaxAttempts && now < q.deadline {
		to, excess = b.selectEndpoint(q, now)
	}
	// Where everything fails, further attempts feed the overload that makes it fail, so they are paid for
	// from the retry budget. An attempt that never reached an endpoint is free.
	if to != nil && (!q.reachedEndpoint || q.retryPaid || b.retryBudget.Spend(q.Class)) {
		b.send(q, to, now)
		return
	}
	if b.capacity.warmedUpWeight[1] == 0 {
		b.sentAttempts++ // while all endpoints are warming up, rejected requests alone add to their credit
	}
	if b.mayReject(q) {
		b.actions.Reject(q.ID, time.Duration(min(max(excess, 0), b.objective)*float64(time.Second)))
	} else {
		b.actions.Fail(q.ID)
	}
	b.end(q)
}

// send makes an attempt of q at an endpoint.
func (b *Balancer) send(q *request, to *endpoint, now Time) {
	to.classes[q.Class].Sent(now, ejectionTime)
	expected := b.expectedForClass(to.expectedSeconds, q.Class)
	to.inFlight++
	to.waitingSinceSum += now
	q.retryPaid = false
	q.outstanding++
	timeout := q.sendTimeout(now)
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
	b.actions.Send(q.ID, to.ID, timeout)
	last := len(q.attempts) - 1
	token := tokenAttempt + uint64(q.ID)*maxAttemptsPerRequest + uint64(last)
	b.scheduleAttemptCheck(min(b.lateThreshold(q.Class), b.hedgeDelay(q, &q.attempts[last])), token)
}

// Result ends an attempt. It leads to the request's final answer, to a retry, or to nothing where others are
// still in flight.
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
	switch r.Outcome {
	case Saturated:
		// Some endpoints serve one class and reject another. That makes them neither slow nor full for what
		// they serve, so they are ejected for that class alone.
		b.ejectForClass(a.endpoint, q.Class, now+classEjectionTime)
	case Served:
		b.recordClassResponseTime(q.Class, r.Took)
		b.retryBudget.Earn(q.Class)
		if a.endpoint.capacityShare >= 1 {
			b.capacity.served++
		}
	}
	if a.sent >= a.endpoint.Started { // the results of a former process tell nothing of this one
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

// recordClassResponseTime updates the mean times with an answer of a class.
func (b *Balancer) recordClassResponseTime(class int, took time.Duration) {
	seconds := max(took.Seconds(), minResponseSeconds)
	deviation := seconds - b.meanResponseTime[class]
	b.meanResponseTime[class] += responseTimeSmoothing * deviation
	b.responseTimeDeviation[class] +=
		responseTimeSmoothing * (math.Abs(deviation) - b.responseTimeDeviation[class])
	b.overallMeanResponseTime += responseTimeSmoothing * (seconds - b.overallMeanResponseTime)
}

// ResponseStarted records that a streamed answer has begun.
func (b *Balancer) ResponseStarted(now Time, id RequestID, attempt int) {
	q := b.requests[id]
	if q != nil && attempt >= 0 && attempt < len(q.attempts) && !q.attempts[attempt].done {
		q.attempts[attempt].resetWait(now) // nothing is due for the time it streams
	}
}

// ClientGone ends a request whose client has left: nothing more is due or sent.
func (b *Balancer) ClientGone(now Time, id RequestID) {
	if q := b.requests[id]; q != nil && !q.ended {
		b.end(q)
	}
}

// end marks a request as ended, cancels its attempts in flight, and forgets it once nothing is.
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
