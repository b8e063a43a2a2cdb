// Package wallclock is the one place in the programs in service that reads the clock of day or turns its readings into
// numbers and back. The clock of day may be off and may step, so its readings serve as stamps that leave the process or
// come from outside. Durations, deadlines and the order of events go by the monotonic clock or by counters.
package wallclock

import "time"

// Now reads the clock of day. The reading has no monotonic part: the difference of two is that of the clock of day.
func Now() time.Time { return time.Now().Round(0) }

// FromMilliseconds returns the time of a stamp in Unix milliseconds.
func FromMilliseconds(stamp int64) time.Time { return time.UnixMilli(stamp) }

// Milliseconds returns a stamp in Unix milliseconds.
func Milliseconds(t time.Time) int64 { return t.UnixMilli() }

// Nanoseconds returns a stamp in Unix nanoseconds, for names that differ and changes that are noticed.
func Nanoseconds(t time.Time) int64 { return t.UnixNano() }
