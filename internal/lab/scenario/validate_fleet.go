package scenario

import (
	"fmt"
	"time"
)

// checkFleet checks the settings of nodes and sidecars.
func (c *validator) checkFleet(f *Fleet) {
	c.checkNumber("fleet.sidecars", float64(f.Sidecars), 1, 5000)
	c.checkNumber("fleet.nodes", float64(f.Nodes), 1, 5000)
	c.checkNumber("fleet.pod_size", float64(f.PodSize), 1, 5000)
	if len(f.Zones) == 0 {
		c.fail("fleet.zones", "fleet.zones is empty")
	}
	c.checkKinds(f.Kinds)
	c.checkCapacity(f)
	c.checkConnections(f)
	c.checkContention(f)
}

func (c *validator) checkKinds(kinds []Kind) {
	if len(kinds) == 0 {
		c.fail("fleet", "the fleet has no [[fleet.kind]]")
		return
	}
	sum := 0.0
	for i, kind := range kinds {
		path := fmt.Sprintf("fleet.kind[%d].", i)
		c.checkName(path, "kind", i, kind.Name)
		c.checkNumber(path+"share", kind.Share, 0, 1)
		c.checkNumber(path+"cores", float64(kind.Cores), 1, 1024)
		c.checkNumber(path+"speed", kind.Speed, 0.01, 100)
		sum += kind.Share
	}
	c.checkShares("fleet.kind", "kinds", sum)
}

func (c *validator) checkCapacity(f *Fleet) {
	c.checkNumber("fleet.slots_per_core", f.SlotsPerCore, 1, 1000)
	c.checkNumber("fleet.queue_per_core", f.QueuePerCore, 0, 1e9)
	c.checkNumber("fleet.cold_from", f.SlowStartCapacity, 0.01, 1)
	c.checkDuration("fleet.cold", f.SlowStartWindow, 0, time.Hour)
	c.checkNumber("fleet.fall_multiple", f.OverloadMultiple, 1, 100)
	c.checkDuration("fleet.fall", f.OverloadWindow, time.Millisecond, time.Hour)
}

func (c *validator) checkConnections(f *Fleet) {
	c.checkNumber("fleet.conn_cap", float64(f.MaxConns), 1, 1e6)
	c.checkNumber("fleet.handshake_rtts", f.HandshakeRTTs, 0, 10)
	c.checkDuration("fleet.handshake_work", f.HandshakeWork, 0, time.Second)
	c.checkDuration("fleet.idle_close", f.IdleClose, time.Millisecond, maxDuration)
}

func (c *validator) checkContention(f *Fleet) {
	c.checkNumber("fleet.key_gain", f.CacheSaving, 0, 0.95)
	c.checkDuration("fleet.key_for", f.CacheTTL, 0, maxDuration)
	c.checkNumber("fleet.keys_per_core", float64(f.CacheKeysPerCore), 0, 1e6)
	c.checkNumber("fleet.speed_cv", f.SpeedCV, 0, 0.5)
	c.checkNumber("fleet.crowd_at", f.ContentionAt, 0, 1e6)
	c.checkNumber("fleet.crowd", f.ContentionCost, 0, 10)
	c.checkNumber("fleet.choke_at", f.CollapseAt, 0, 1e6)
	if f.CollapseAt > 0 {
		c.checkNumber("fleet.choke_slower", f.CollapseSlowdown, 1, 100)
		c.checkDuration("fleet.choke_over", f.CollapseAfter, time.Millisecond, time.Hour)
		c.checkDuration("fleet.choke_rest", f.RecoverAfter, time.Millisecond, time.Hour)
		c.checkDuration("fleet.choke_most", f.MaxCollapse, time.Millisecond, time.Hour)
	}
}
