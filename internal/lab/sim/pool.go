package sim

import (
	"time"
)

type idleConnection struct {
	since       time.Duration
	incarnation int32
}

// acquireIdle takes the longest idle connection to a node that is still good, as the real pool does.
func (c *sidecar) acquireIdle(n int32) bool {
	m, rest := c.simulation.servers[n], c.simulation.plan.Scenario.Fleet.IdleClose.Std()/2
	idle := c.idle[n]
	for len(idle) > 0 {
		k := idle[0]
		idle = idle[1:]
		if k.incarnation == m.incarnation && !m.down || c.simulation.isCutOff(c, n) && k.incarnation == m.incarnation {
			if c.simulation.now-k.since < rest {
				c.idle[n] = idle
				return true
			}
			m.connections--
		}
	}
	c.idle[n] = idle
	return false
}

// closeIdle closes a node's idle connections.
func (c *sidecar) closeIdle(n int32) {
	m := c.simulation.servers[n]
	for _, k := range c.idle[n] {
		if k.incarnation == m.incarnation {
			m.connections--
		}
	}
	c.idle[n] = c.idle[n][:0]
}
