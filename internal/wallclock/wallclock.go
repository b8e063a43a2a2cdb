// Package wallclock is the only place in the production programs that reads the wall clock or converts between wall
// clock times and numbers. The wall clock may be wrong and may jump, so its times are used only as timestamps that are
// sent to or received from other processes. Durations, deadlines and the order of events use the monotonic clock or
// counters.
package wallclock

import "time"

// Now returns the current wall clock time without a monotonic clock reading, so that the difference of two results is
// the difference of their wall clock times.
func Now() time.Time { return time.Now().Round(0) }

// FromMilliseconds returns the time of a timestamp in Unix milliseconds.
func FromMilliseconds(stamp int64) time.Time { return time.UnixMilli(stamp) }

// Milliseconds returns t as a timestamp in Unix milliseconds.
func Milliseconds(t time.Time) int64 { return t.UnixMilli() }

// Nanoseconds returns t as a timestamp in Unix nanoseconds. It is used for unique names and for change detection.
func Nanoseconds(t time.Time) int64 { return t.UnixNano() }
