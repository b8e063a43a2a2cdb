package sidecar

import "time"

// processStart is what instants that are kept as numbers count from. It has a monotonic part, so the clock of day may
// step.
var processStart = time.Now()

// past is a deadline that is over by any clock, however it was set.
var past = time.Time{}.Add(time.Nanosecond) // the zero time would be no deadline

// lastPastYear is that of the deadline by which net/http ends a read at once.
const lastPastYear = 1970

// isPast reports whether a deadline was set to end a read at once, by net/http or by this package.
func isPast(deadline time.Time) bool { return !deadline.IsZero() && deadline.Year() <= lastPastYear }

// uptime is an instant as the time from processStart. It is never 0 for one that is read later.
func uptime(t time.Time) time.Duration { return t.Sub(processStart) }
