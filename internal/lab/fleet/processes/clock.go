package processes

import (
	"sync/atomic"
	"time"
)

// planClock measures the time since the start of the plan. It is safe for concurrent use.
type planClock struct {
	started atomic.Pointer[time.Time]
}

// restart sets the start of the plan to the current time.
func (c *planClock) restart() (started time.Time) {
	started = time.Now()
	c.started.Store(&started)
	return started
}

func (c *planClock) now() time.Duration { return time.Since(*c.started.Load()) }
