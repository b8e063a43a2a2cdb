package sidecar

import "time"

// processStart is what instants that are kept as numbers count from. It has a monotonic part, so the clock of day may
// step.
var processStart = time.Now()

// past is a deadline that is over.
var past = processStart.Add(-time.Hour)

// isPast reports whether a deadline is one that net/http or this package sets to end a read at once, such as past.
func isPast(deadline time.Time) bool { return !deadline.IsZero() && deadline.Before(processStart) }

// uptime is an instant as the time from processStart. It is never 0 for one that is read later.
func uptime(t time.Time) time.Duration { return t.Sub(processStart) }
