package processes

import (
	"sync/atomic"
	"time"
)

// planClock tells the time since the plan began. It is safe for concurrent use.
type planClock struct {
	started atomic.Pointer[time.Time]
}

// restart has the plan's time begin now.
func (c *planClock) restart() (started time.Time) {
	started = time.Now()
	c.started.Store(&started)
	return started
}

func (c *planClock) now() time.Duration { return time.Since(*c.started.Load()) }
