package balance

import (
	"cmp"
	"time"
)

// This file contains the conditions and deadlines for retries.

// Margins before the end of the dedupe window.
const (
	// retryMargin is the minimum time left in the window when a retry is selected.
	retryMargin = 500 * time.Millisecond
	// arrivalMargin is the minimum time left in the window when the last byte of a retry is sent. The write
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

// sendTimeout returns the time within which the next attempt has to be written completely, or 0 if there is
// no limit. Without it, an attempt whose connection is established late could arrive after the dedupe window
// of the first attempt.
func (q *request) sendTimeout(now Time) (timeout time.Duration) {
	for _, a := range q.attempts {
		if q.class.Effect == Deduplicated && (!a.done || a.mayHaveRun) {
			left := max(a.sent+q.class.DedupeWindow-arrivalMargin-now, 1)
			timeout = min(cmp.Or(timeout, left), left)
		}
	}
	return timeout
}
