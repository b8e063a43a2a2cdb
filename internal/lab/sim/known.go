package sim

import (
	"math"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
)

// Believer is a decider that says which share of a class's attempts it takes a node to lose.
type Believer interface {
	LossShare(now balance.Time, endpoint string, class int) float64
}

// The module is told of observations and asked for its beliefs by interfaces: a method that is renamed must not pass
// for one that is not there.
var (
	_ Believer = (*balance.Balancer)(nil)
	_ hearer   = (*balance.Balancer)(nil)
)

// knownAt is the part of a node's true share of losses from which on a sidecar that believes it knows of them.
const knownAt = 0.5

// loss is what a sidecar may know of a node: requests of its are lost there.
type loss struct {
	node  int32
	class int
	share float64 // truly lost
	since time.Duration
	times uint8 // that something was lost
	known bool
}

// trueLoss is the share of a class's requests that a node loses now.
func (w *world) trueLoss(c *sidecar, n int32, class int) float64 {
	m := w.nodes[n]
	if w.mute(c, n) || m.Faults.Swallow[class] {
		return 1
	}
	return m.Faults.Stray
}

// lost has a sidecar's request be lost at a node. The first one there starts the clock.
func (c *sidecar) lost(n int32, class int) {
	share := c.w.trueLoss(c, n, class)
	if _, ok := c.decider.(Believer); !ok || share == 0 {
		return
	}
	for i := range c.losses {
		if l := &c.losses[i]; l.node == n {
			if l.times < math.MaxUint8 {
				l.times++
			}
			return
		}
	}
	c.losses = append(c.losses, loss{node: n, class: class, share: share, since: c.w.now, times: 1})
}

// learn looks whether the sidecar knows by now what it loses, and forgets what is mended.
func (c *sidecar) learn() {
	if len(c.losses) == 0 || c.down {
		return
	}
	w, left := c.w, c.losses[:0]
	for _, l := range c.losses {
		mended := w.trueLoss(c, l.node, l.class) == 0
		kind := record.LossDetected
		switch {
		case l.known: // it stays, so that it is counted once
		case mended:
			kind = record.LossUndetected
			fallthrough
		case c.member != nil && c.member.doubted[w.nodes[l.node].ID], c.decider.(Believer).LossShare(w.now+epoch, w.nodes[l.node].ID, l.class) >= knownAt*l.share:
			l.known = true
			w.emit(record.Event{Kind: kind, Sidecar: c.i, Node: l.node, Wait: w.now - l.since, Attempt: l.times})
		}
		if !mended {
			left = append(left, l)
		}
	}
	c.losses = left
}
