// Package quota measures the rate of a tenant's requests against its allowance. It is pure: the caller passes the time,
// a reading of any monotonic clock.
package quota

import "time"

// Meter is a token bucket whose rate may change between events. The zero value is empty at time 0. A Meter is not safe
// for concurrent use.
type Meter struct {
	tokens  float64
	updated time.Duration
}

// Exceeds counts one event at the time now and reports whether it exceeds the rate, in events per second. The capacity
// of the bucket is one event plus the events that the rate allows within burst. An event that exceeds the rate removes
// no token.
func (m *Meter) Exceeds(now time.Duration, rate float64, burst time.Duration) bool {
	earned := rate * (now - m.updated).Seconds()
	capacity := 1 + rate*burst.Seconds()
	m.tokens = min(m.tokens+earned, capacity)
	m.updated = now
	if m.tokens < 1 {
		return true
	}
	m.tokens--
	return false
}
