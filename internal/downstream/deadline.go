package downstream

import "time"

// pastDeadline is a read deadline that is always in the past. The zero time would mean no deadline.
var pastDeadline = time.Time{}.Add(time.Nanosecond)

// abortDeadlineYear is the year of the deadline that net/http sets to end a read immediately.
const abortDeadlineYear = 1970

// isPastDeadline reports whether net/http or this package set the deadline to end a read immediately.
func isPastDeadline(deadline time.Time) bool {
	return !deadline.IsZero() && deadline.Year() <= abortDeadlineYear
}
