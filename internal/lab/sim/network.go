package sim

import (
	"time"
)

// drawDelay draws the time between a sidecar and a node, one way.
func (w *simulation) drawDelay(c *sidecar, n int32) time.Duration {
	net := w.plan.Scenario.Network
	base := net.Same
	if c.zone != w.servers[n].Zone {
		base = net.Cross
	}
	return time.Duration(float64(base) * (1 + net.Jitter*(2*w.random.Float64()-1)))
}

// isCutOff tells whether nothing passes between a sidecar and a node.
func (w *simulation) isCutOff(c *sidecar, n int32) bool {
	m := w.servers[n]
	return m.vanished || c.zone != m.Zone && (w.zoneCut[c.zone] || w.zoneCut[m.Zone])
}
