package downstream

import "time"

// pastDeadline is a read deadline that is over by any clock. The zero time would be none.
var pastDeadline = time.Time{}.Add(time.Nanosecond)

// abortDeadlineYear is the year of the deadline by which net/http ends a read at once.
const abortDeadlineYear = 1970

// isPastDeadline reports whether a deadline was set to end a read at once, by net/http or by this package.
func isPastDeadline(deadline time.Time) bool {
	return !deadline.IsZero() && deadline.Year() <= abortDeadlineYear
}
