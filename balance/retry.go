package balance

import "time"

// This file contains the conditions and deadlines for retries.

// Margins before the end of the dedupe window.
const (
	// retryMargin is the minimum time left in the window when a retry is selected.
	retryMargin = 500 * time.Millisecond
	// arrivalMargin is the minimum time left in the window when the last byte of an attempt is sent. The write
	// may stall after the host has checked the time, and the request then crosses the network.
	arrivalMargin = SchedulingStall + networkMargin
	networkMargin = 25 * time.Millisecond
)

// mayAttemptAt reports whether the request may be attempted at e. No endpoint gets a request twice. After an
// attempt that may have been executed, the class decides: it allows a repeat at any other endpoint, no
// repeat, or a repeat early enough within the dedupe window at an endpoint that drops repeats.
func (b *Balancer) mayAttemptAt(q *request, e *endpoint, now Time) bool {
	for i := range q.attempts {
		a := &q.attempts[i]
		if a.endpoint == e || !q.class.allowsRetry(a, e, now) {
			return false
		}
	}
	return true
}

// allowsRetry reports whether attempt a allows a retry at e.
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

// sendBy returns the time by which attempt n has to reach its endpoint completely, and whether there is such
// a limit. All attempts of a deduplicated request that may have been executed have to arrive within one
// dedupe window, because an endpoint that executes one of them drops the others only during that window. An
// attempt arrives after Send, so the window of each other attempt is counted from there. The limit therefore
// applies to an earlier attempt as well, which may be held up while a later one is executed.
func (q *request) sendBy(n int) (by Time, limited bool) {
	if q.class.Effect != Deduplicated {
		return 0, false
	}
	for i := range q.attempts {
		other := &q.attempts[i]
		if i == n || other.done && !other.mayHaveRun {
			continue
		}
		windowEnd := other.sent + q.class.DedupeWindow - arrivalMargin
		if !limited || windowEnd < by {
			by, limited = windowEnd, true
		}
	}
	return by, limited
}

// sendTimeout returns the time from now within which attempt n has to reach its endpoint completely, or 0 if
// there is no limit.
func (q *request) sendTimeout(n int, now Time) time.Duration {
	by, limited := q.sendBy(n)
	if !limited {
		return 0
	}
	return max(by-now, 1)
}

// updateSendTimeouts applies the limits that have changed to the attempts in flight before attempt end.
func (b *Balancer) updateSendTimeouts(q *request, end int, now Time) {
	for n := range q.attempts[:end] {
		a := &q.attempts[n]
		by, _ := q.sendBy(n)
		if a.done || a.sendBy == by {
			continue
		}
		a.sendBy = by
		b.actions.SetSendTimeout(q.ID, n, q.sendTimeout(n, now))
	}
}
