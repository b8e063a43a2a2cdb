package balance

import (
	"cmp"
	"time"
)

// This file holds where and until when a request may be attempted again.

// Margins before the end of the window in which repeats are dropped.
const (
	// retryMargin is left before a repeat is chosen.
	retryMargin = 500 * time.Millisecond
	// arrivalMargin is left before a repeat's last byte is sent: it may be held up after the host has
	// checked its time, and then crosses the network.
	arrivalMargin = SchedulingStall + networkMargin
	networkMargin = 25 * time.Millisecond
)

// mayAttemptAt reports whether the request may be attempted at e. No endpoint gets a request twice. What may
// have run is repeated only as its class allows: never, anywhere, or where repeats are dropped and in good
// time, so that no effect happens twice.
func (b *Balancer) mayAttemptAt(q *request, e *endpoint, now Time) bool {
	for i := range q.attempts {
		a := &q.attempts[i]
		if a.endpoint == e || !q.class.allowsRetry(a, e, now) {
			return false
		}
	}
	return true
}

// allowsRetry reports whether what an attempt did, or may have done, allows another one at e.
func (c *Class) allowsRetry(a *attempt, e *endpoint, now Time) bool {
	if a.done && !a.mayHaveRun {
		return true
	}
	switch c.Effect {
	case Idempotent:
		return true
	case AtMostOnce:
		return false
	}
	if now-a.sent >= c.DedupeWindow-retryMargin {
		return false
	}
	switch c.Scope {
	case ScopeZone:
		return a.endpoint.Zone == e.Zone
	case ScopePodGroup:
		return a.endpoint.PodGroup == e.PodGroup
	}
	return true
}

// sendTimeout is how long the next attempt may take until it is sent whole, 0: any time. Where its
// connection came up late, a repeat would arrive after the window in which repeats of the first attempt are
// dropped.
func (q *request) sendTimeout(now Time) (timeout time.Duration) {
	for _, a := range q.attempts {
		if q.class.Effect == Deduplicated && (!a.done || a.mayHaveRun) {
			left := max(a.sent+q.class.DedupeWindow-arrivalMargin-now, 1)
			timeout = min(cmp.Or(timeout, left), left)
		}
	}
	return timeout
}
