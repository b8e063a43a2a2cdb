// Package quota meters the rate of a tenant's requests against its allowance. It is pure: the time comes in as an
// argument, a reading of any monotonic clock.
package quota

import "time"

// Meter is a token bucket whose rate may change from one event to the next. The zero value is empty at time 0.
// A Meter must not be used by two goroutines at once.
type Meter struct {
	tokens  float64
	updated time.Duration
}

// Exceeds counts one event at a time and reports whether it is beyond the allowed rate, in events a second. The bucket
// holds one event and what the rate brings within burst. An event that is over takes no token.
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
