package sidecar

import "time"

// past is a deadline that is over by any clock, however it was set.
var past = time.Time{}.Add(time.Nanosecond) // the zero time would be no deadline

// lastPastYear is that of the deadline by which net/http ends a read at once.
const lastPastYear = 1970

// isPast reports whether a deadline was set to end a read at once, by net/http or by this package.
func isPast(deadline time.Time) bool { return !deadline.IsZero() && deadline.Year() <= lastPastYear }
