package downstream

import "time"

// pastDeadline is a deadline that is over by any clock, however it was set.
var pastDeadline = time.Time{}.Add(time.Nanosecond) // the zero time would be no deadline

// lastPastYear is that of the deadline by which net/http ends a read at once.
const lastPastYear = 1970

// isPastDeadline reports whether a deadline was set to end a read at once, by net/http or by this package.
func isPastDeadline(deadline time.Time) bool {
	return !deadline.IsZero() && deadline.Year() <= lastPastYear
}
