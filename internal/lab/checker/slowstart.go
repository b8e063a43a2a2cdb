package checker

import (
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

// warmingNode is a node that started during the run.
type warmingNode struct {
	bootedAt   time.Duration
	capacity   float64   // work per second when warmed up, in seconds on a standard core
	arrivals   []arrival // arrivals within the overload window
	work       float64   // total work of these arrivals, in seconds on a standard core
	overloaded bool      // the overload was reported; later arrivals are not checked
}

// arrival is an attempt that reached a node.
type arrival struct {
	at   time.Duration
	work float64
}

// add adds an arrival and drops those that are older than the window.
func (n *warmingNode) add(a arrival, window time.Duration) {
	n.arrivals = append(n.arrivals, a)
	n.work += a.work
	expired := 0
	for n.arrivals[expired].at < a.at-window {
		n.work -= n.arrivals[expired].work
		expired++
	}
	n.arrivals = n.arrivals[expired:]
}

// nodeStarted starts tracking a node that started during the run.
func (c *Checker) nodeStarted(e *record.Event) {
	if e.Boot > 0 {
		c.warming[e.Node] = &warmingNode{bootedAt: e.Boot, capacity: e.Capacity}
	}
}

// checkSlowStart checks that a starting node is not overloaded: the work that reaches it within any OverloadWindow must
// not exceed OverloadMultiple times the work it can do in that window, plus OverloadSlack.
func (c *Checker) checkSlowStart(e *record.Event) {
	node := c.warming[e.Node]
	if node == nil || node.overloaded || e.At < node.bootedAt {
		return
	}
	if e.At > node.bootedAt+c.limits.SlowStartWindow+c.limits.OverloadWindow {
		return
	}
	node.add(arrival{e.At, e.Work}, c.limits.OverloadWindow)
	uptime := e.At - node.bootedAt
	possible := node.capacity * c.limits.capacityShare(uptime) * c.limits.OverloadWindow.Seconds()
	if node.work > c.limits.OverloadMultiple*possible+c.limits.OverloadSlack {
		node.overloaded = true
		c.addViolation(e.At, RuleSlowStart,
			"node %d, up for %v, got %.2f s of work within %v, %.1f times what it can do",
			e.Node, uptime, node.work, c.limits.OverloadWindow, node.work/possible)
	}
}

// capacityShare returns the share of its full capacity that a node has at the given uptime. The share grows linearly
// during the slow-start window.
func (l *Limits) capacityShare(uptime time.Duration) float64 {
	if l.SlowStartWindow <= 0 || uptime >= l.SlowStartWindow {
		return 1
	}
	return l.SlowStartCapacity + (1-l.SlowStartCapacity)*uptime.Seconds()/l.SlowStartWindow.Seconds()
}
