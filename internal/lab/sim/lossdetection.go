package sim

import (
	"math"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
)

// LossEstimator is a decider that says which share of a class's attempts it takes a node to lose.
type LossEstimator interface {
	LossShare(now balance.Time, endpoint string, class int) float64
}

// The module is told of observations and asked for its beliefs by interfaces: a method that is renamed must not pass
// for one that is not there.
var (
	_ LossEstimator = (*balance.Balancer)(nil)
	_ sharingPolicy = (*balance.Balancer)(nil)
)

// detectionShare is the part of a node's true share of losses from which on a sidecar that believes it knows of them.
const detectionShare = 0.5

// loss is what a sidecar may know of a node: requests of its are lost there.
type loss struct {
	server   int32
	class    int
	share    float64 // truly lost
	since    time.Duration
	attempts uint8 // that something was lost
	detected bool
}

// trueLossShare is the share of a class's requests that a node loses now.
func (w *simulation) trueLossShare(c *sidecar, n int32, class int) float64 {
	m := w.servers[n]
	if w.isCutOff(c, n) || m.Faults.Swallow[class] {
		return 1
	}
	return m.Faults.Stray
}

// noteLoss has a sidecar's request be lost at a node. The first one there starts the clock.
func (c *sidecar) noteLoss(n int32, class int) {
	share := c.simulation.trueLossShare(c, n, class)
	if _, ok := c.policy.(LossEstimator); !ok || share == 0 {
		return
	}
	for i := range c.losses {
		if l := &c.losses[i]; l.server == n {
			if l.attempts < math.MaxUint8 {
				l.attempts++
			}
			return
		}
	}
	c.losses = append(c.losses, loss{server: n, class: class, share: share, since: c.simulation.now, attempts: 1})
}

// detectLosses looks whether the sidecar knows by now what it loses, and forgets what is mended.
func (c *sidecar) detectLosses() {
	if len(c.losses) == 0 || c.down {
		return
	}
	w, left := c.simulation, c.losses[:0]
	for _, l := range c.losses {
		mended := w.trueLossShare(c, l.server, l.class) == 0
		kind := record.LossDetected
		switch {
		case l.detected: // it stays, so that it is counted once
		case mended:
			kind = record.LossUndetected
			fallthrough
		case c.member != nil && c.member.suspected[w.servers[l.server].ID], c.policy.(LossEstimator).LossShare(w.now+epoch, w.servers[l.server].ID, l.class) >= detectionShare*l.share:
			l.detected = true
			w.record(record.Event{Kind: kind, Sidecar: c.index, Node: l.server, Wait: w.now - l.since, Attempt: l.attempts})
		}
		if !mended {
			left = append(left, l)
		}
	}
	c.losses = left
}
