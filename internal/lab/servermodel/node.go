// Package servermodel models one tracking node of the emulated service: how long its requests take, given what it holds. It
// is a pure state machine on a clock that its owner moves: the simulated plane moves it by events, a stand-in on real
// sockets by the machine's clock, so both planes serve the same world.
//
// Requests in service share the node's cores evenly (processor sharing, at most a core each); what finds no slot waits
// in order, and what finds no room is turned away. With one slot for each core this is a queue with c servers in order
// of arrival (M/M/c where arrivals and work are exponential).
package servermodel

import (
	"container/heap"
	"math"
	"time"
)

// Time is the owner's clock.
type Time = time.Duration

// Spec is what a node is made of.
type Spec struct {
	Cores       int
	Speed       float64 // of a core against a standard one
	Slots       int     // requests in service at once
	QueueLimit  int     // requests that may wait
	WarmUpShare float64 // share of the speed at the start
	WarmUp      Time    // from the start until the full speed is there, evenly
	StartedAt   Time    // when it started; 0: long ago

	ContentionAt   float64 // requests in service for each core above which each takes more work
	ContentionCost float64 // this share more for each doubling

	CollapseAt       float64 // waiting for each core: more of them for ChokeOver and the node chokes; 0: never
	CollapseAfter    Time
	CollapseSlowdown float64 // it is slower by this factor
	RecoverBelow     float64 // until it holds fewer for each core
	RecoverAfter     Time    // for this time,
	MaxCollapse      Time    // or for this time in any case
}

// Job is a request that a node holds. Its owner may embed it.
type Job struct {
	Work  float64 // seconds on a standard core
	Owner any

	finishAt  float64 // attained service at which it is done
	heapIndex int     // in the heap, or -1
	state     jobState
}

type jobState int

const (
	jobIdle jobState = iota
	jobWaiting
	jobInService
)

// updateInterval is how often the speed of a cold or crowded node is taken anew.
const updateInterval = 50 * time.Millisecond

// Processor is one node.
type Processor struct {
	spec            Spec
	now             Time    // the state is that of this time
	attainedService float64 // attained service of a request that has been in service all along
	serviceRate     float64 // at which it grows, each second
	inService       jobHeap // by end
	queue           []*Job  // in order; cancelled ones are out
	waiting         int     // of those, still waiting
	slowdown        float64 // factor of a trouble
	overloadedSince Time    // more than ChokeAt wait since; -1: not
	collapsedSince  Time    // since; -1: not
	recoveringSince Time    // fewer than ChokeBelow are held since; -1: not
	completedWork   float64 // standard work done
	completed       []*Job
}

// NewProcessor returns an empty node.
func NewProcessor(spec Spec, now Time) *Processor {
	n := &Processor{spec: spec, now: now, slowdown: 1, overloadedSince: -1, collapsedSince: -1, recoveringSince: -1}
	n.updateRate()
	return n
}

// Offer hands a request to the node. It is false if there is no room.
func (n *Processor) Offer(now Time, j *Job) bool {
	n.moveTo(now)
	j.heapIndex = -1
	switch {
	case len(n.inService) < n.spec.Slots:
		n.startService(j)
	case n.waiting < n.spec.QueueLimit:
		j.state = jobWaiting
		n.queue = append(n.queue, j)
		n.waiting++
	default:
		return false
	}
	n.updateRate()
	return true
}

func (n *Processor) startService(j *Job) {
	j.state, j.finishAt = jobInService, n.attainedService+j.Work
	heap.Push(&n.inService, j)
}

// Cancel has the node let go of a request, if it holds it.
func (n *Processor) Cancel(now Time, j *Job) {
	n.moveTo(now)
	switch j.state {
	case jobWaiting:
		n.waiting--
	case jobInService:
		if j.heapIndex >= 0 {
			n.completedWork += j.Work - (j.finishAt - n.attainedService) // what was done so far
			heap.Remove(&n.inService, j.heapIndex)
		}
	}
	j.state = jobIdle
	n.admitWaiting()
	n.updateRate()
}

// Advance moves the clock and returns the requests that are done by then, in order. The slice is valid until the next call.
func (n *Processor) Advance(now Time) []*Job {
	n.completed = n.completed[:0]
	n.moveTo(now)
	n.updateRate()
	return n.completed
}

// NextEvent is when Step has something to do, or -1.
func (n *Processor) NextEvent() Time {
	next := Time(-1)
	if len(n.inService) > 0 && n.serviceRate > 0 {
		// Danger: what is left may round to nothing; a time that does not move on would be asked for for ever.
		next = n.now + max(Time(math.Ceil((n.inService[0].finishAt-n.attainedService)/n.serviceRate*1e9)), 1)
	}
	if n.speedChanges() && (next < 0 || next > n.now+updateInterval) {
		next = n.now + updateInterval
	}
	return next
}

// speedChanges tells whether the speed changes with time alone.
func (n *Processor) speedChanges() bool {
	return (len(n.inService) > 0 && (n.SpeedShare(n.now) < 1 || n.overloadedSince >= 0)) || n.collapsedSince >= 0
}

// SetSlowdown makes the node slower by a factor; 1 ends it.
func (n *Processor) SetSlowdown(now Time, factor float64) {
	n.moveTo(now)
	n.slowdown = factor
	n.updateRate()
}

// InFlight is how many requests the node holds.
func (n *Processor) InFlight() int { return len(n.inService) + n.waiting }

// CompletedWork is the work done so far, in seconds on a standard core.
func (n *Processor) CompletedWork() float64 {
	sum := n.completedWork
	for _, j := range n.inService {
		sum += j.Work - (j.finishAt - n.attainedService)
	}
	return sum
}

// Abort empties the node, as when its process dies, and returns what it held.
func (n *Processor) Abort(now Time) []*Job {
	n.moveTo(now)
	held := make([]*Job, 0, n.InFlight())
	for _, j := range n.inService {
		n.completedWork += j.Work - (j.finishAt - n.attainedService)
		held = append(held, j)
	}
	for _, j := range n.queue {
		if j.state == jobWaiting {
			held = append(held, j)
		}
	}
	for _, j := range held {
		j.state = jobIdle
	}
	n.inService, n.queue, n.waiting = nil, nil, 0
	n.updateRate()
	return held
}

// SpeedShare is the share of its speed that the node has.
func (n *Processor) SpeedShare(now Time) float64 {
	age := now - n.spec.StartedAt
	if n.spec.StartedAt <= 0 || age >= n.spec.WarmUp {
		return 1
	}
	return n.spec.WarmUpShare + (1-n.spec.WarmUpShare)*age.Seconds()/n.spec.WarmUp.Seconds()
}

// Capacity is the standard work that the node can do each second now, troubles of its speed left out.
func (n *Processor) Capacity(now Time) float64 {
	return float64(n.spec.Cores) * n.spec.Speed * n.SpeedShare(now)
}

// Collapsed tells whether the node is choked.
func (n *Processor) Collapsed() bool { return n.collapsedSince >= 0 }

// moveTo moves the state to now.
func (n *Processor) moveTo(now Time) {
	for now > n.now {
		to := now
		if n.speedChanges() {
			to = min(to, n.now+updateInterval)
		}
		if len(n.inService) > 0 && n.serviceRate > 0 {
			first := n.inService[0]
			if end := n.now + Time(math.Ceil(math.Max(first.finishAt-n.attainedService, 0)/n.serviceRate*1e9)); end <= to {
				n.now, n.attainedService = end, first.finishAt
				heap.Pop(&n.inService)
				first.state = jobIdle
				n.completedWork += first.Work
				n.completed = append(n.completed, first)
				n.admitWaiting()
				n.updateRate()
				continue
			}
			n.attainedService += n.serviceRate * (to - n.now).Seconds()
		}
		n.now = to
		n.updateRate()
	}
}

// admitWaiting takes what waits into service.
func (n *Processor) admitWaiting() {
	for len(n.queue) > 0 && (len(n.inService) < n.spec.Slots || n.queue[0].state != jobWaiting) {
		j := n.queue[0]
		n.queue[0] = nil
		n.queue = n.queue[1:]
		if j.state == jobWaiting {
			n.waiting--
			n.startService(j)
		}
	}
}

// updateRate takes the speed anew, and whether the node chokes.
func (n *Processor) updateRate() {
	cores, in := float64(n.spec.Cores), float64(len(n.inService))
	if n.spec.CollapseAt > 0 {
		n.updateCollapse(cores)
	}
	rate := n.spec.Speed * n.SpeedShare(n.now) / n.slowdown
	if in > cores {
		rate *= cores / in
	}
	if per := in / cores; n.spec.ContentionAt > 0 && per > n.spec.ContentionAt {
		rate /= 1 + n.spec.ContentionCost*math.Log2(per/n.spec.ContentionAt)
	}
	if n.collapsedSince >= 0 {
		rate /= n.spec.CollapseSlowdown
	}
	n.serviceRate = rate
}

func (n *Processor) updateCollapse(cores float64) {
	// What has no core waits, be it in a slot or in the waiting room.
	held := float64(n.InFlight())
	if n.collapsedSince < 0 {
		switch {
		case held-cores <= n.spec.CollapseAt*cores:
			n.overloadedSince = -1
		case n.overloadedSince < 0:
			n.overloadedSince = n.now
		case n.now-n.overloadedSince >= n.spec.CollapseAfter:
			n.collapsedSince, n.overloadedSince, n.recoveringSince = n.now, -1, -1
		}
		return
	}
	switch {
	case held > n.spec.RecoverBelow*cores:
		n.recoveringSince = -1
	case n.recoveringSince < 0:
		n.recoveringSince = n.now
	}
	if n.now-n.collapsedSince >= n.spec.MaxCollapse || n.recoveringSince >= 0 && n.now-n.recoveringSince >= n.spec.RecoverAfter {
		n.collapsedSince = -1
	}
}

// jobHeap is a heap by end.
type jobHeap []*Job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].finishAt < h[j].finishAt }
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *jobHeap) Push(x any) {
	j := x.(*Job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	j.heapIndex = -1
	return j
}

// Backlog is how long, in seconds, a request of some work would take if it came now and nothing after it.
func (n *Processor) Backlog(work float64) float64 {
	left := work
	for _, j := range n.inService {
		left += math.Max(j.finishAt-n.attainedService, 0)
	}
	for _, j := range n.queue {
		if j.state == jobWaiting {
			left += j.Work
		}
	}
	speed := n.spec.Speed * n.SpeedShare(n.now) / n.slowdown
	if n.collapsedSince >= 0 {
		speed /= n.spec.CollapseSlowdown
	}
	return math.Max(work/speed, left/(speed*float64(n.spec.Cores)))
}
