package proxy

import (
	"log/slog"
	"sync"
	"time"
)

// maxLinesPerSecond is the maximum number of lines of one kind that are logged within a second.
const maxLinesPerSecond = 5

// limitedLog logs lines of one kind, of which a fault may cause thousands a second. It is safe for concurrent use.
type limitedLog struct {
	log     *slog.Logger
	message string

	mu          sync.Mutex
	windowStart time.Time // start of the second that is counted
	lines       int       // in this second
	suppressed  int       // since the last line that was logged
}

// newLimitedLog returns a limitedLog for lines with this message.
func newLimitedLog(log *slog.Logger, message string) *limitedLog {
	return &limitedLog{log: log, message: message}
}

// warn logs a line, unless enough were logged within the last second. The next line that is logged has the number of
// those that were not.
func (l *limitedLog) warn(attributes ...any) {
	suppressed, ok := l.admit(time.Now())
	if !ok {
		return
	}
	if suppressed > 0 {
		attributes = append(attributes, "suppressed_lines", suppressed)
	}
	l.log.Warn(l.message, attributes...)
}

// admit reports whether a line may be logged at a time, and how many were not logged since the last one.
func (l *limitedLog) admit(now time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart = now
		l.lines = 0
	}
	if l.lines >= maxLinesPerSecond {
		l.suppressed++
		return 0, false
	}
	l.lines++
	suppressed = l.suppressed
	l.suppressed = 0
	return suppressed, true
}
