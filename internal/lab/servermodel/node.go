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
	Cores    int
	Speed    float64 // of a core against a standard one
	Slots    int     // requests in service at once
	Room     int     // requests that may wait
	ColdFrom float64 // share of the speed at the start
	Cold     Time    // from the start until the full speed is there, evenly
	Started  Time    // when it started; 0: long ago

	CrowdAt float64 // requests in service for each core above which each takes more work
	Crowd   float64 // this share more for each doubling

	ChokeAt     float64 // waiting for each core: more of them for ChokeOver and the node chokes; 0: never
	ChokeOver   Time
	ChokeSlower float64 // it is slower by this factor
	ChokeBelow  float64 // until it holds fewer for each core
	ChokeRest   Time    // for this time,
	ChokeMost   Time    // or for this time in any case
}

// Job is a request that a node holds. Its owner may embed it.
type Job struct {
	Work  float64 // seconds on a standard core
	Owner any

	end   float64 // attained service at which it is done
	place int     // in the heap, or -1
	state jobState
}

type jobState int

const (
	out jobState = iota
	waiting
	serving
)

// reviewEvery is how often the speed of a cold or crowded node is taken anew.
const reviewEvery = 50 * time.Millisecond

// Node is one node.
type Node struct {
	spec     Spec
	at       Time    // the state is that of this time
	served   float64 // attained service of a request that has been in service all along
	rate     float64 // at which it grows, each second
	inWork   jobs    // by end
	queue    []*Job  // in order; cancelled ones are out
	waits    int     // of those, still waiting
	slow     float64 // factor of a trouble
	over     Time    // more than ChokeAt wait since; -1: not
	choked   Time    // since; -1: not
	rested   Time    // fewer than ChokeBelow are held since; -1: not
	done     float64 // standard work done
	finished []*Job
}

// New returns an empty node.
func New(spec Spec, now Time) *Node {
	n := &Node{spec: spec, at: now, slow: 1, over: -1, choked: -1, rested: -1}
	n.review()
	return n
}

// Offer hands a request to the node. It is false if there is no room.
func (n *Node) Offer(now Time, j *Job) bool {
	n.advance(now)
	j.place = -1
	switch {
	case len(n.inWork) < n.spec.Slots:
		n.begin(j)
	case n.waits < n.spec.Room:
		j.state = waiting
		n.queue = append(n.queue, j)
		n.waits++
	default:
		return false
	}
	n.review()
	return true
}

func (n *Node) begin(j *Job) {
	j.state, j.end = serving, n.served+j.Work
	heap.Push(&n.inWork, j)
}

// Cancel has the node let go of a request, if it holds it.
func (n *Node) Cancel(now Time, j *Job) {
	n.advance(now)
	switch j.state {
	case waiting:
		n.waits--
	case serving:
		if j.place >= 0 {
			n.done += j.Work - (j.end - n.served) // what was done so far
			heap.Remove(&n.inWork, j.place)
		}
	}
	j.state = out
	n.fill()
	n.review()
}

// Step moves the clock and returns the requests that are done by then, in order. The slice is valid until the next call.
func (n *Node) Step(now Time) []*Job {
	n.finished = n.finished[:0]
	n.advance(now)
	n.review()
	return n.finished
}

// Next is when Step has something to do, or -1.
func (n *Node) Next() Time {
	next := Time(-1)
	if len(n.inWork) > 0 && n.rate > 0 {
		// Danger: what is left may round to nothing; a time that does not move on would be asked for for ever.
		next = n.at + max(Time(math.Ceil((n.inWork[0].end-n.served)/n.rate*1e9)), 1)
	}
	if n.restless() && (next < 0 || next > n.at+reviewEvery) {
		next = n.at + reviewEvery
	}
	return next
}

// restless tells whether the speed changes with time alone.
func (n *Node) restless() bool {
	return (len(n.inWork) > 0 && (n.Warmth(n.at) < 1 || n.over >= 0)) || n.choked >= 0
}

// Slow makes the node slower by a factor; 1 ends it.
func (n *Node) Slow(now Time, factor float64) {
	n.advance(now)
	n.slow = factor
	n.review()
}

// Held is how many requests the node holds.
func (n *Node) Held() int { return len(n.inWork) + n.waits }

// Done is the work done so far, in seconds on a standard core.
func (n *Node) Done() float64 {
	sum := n.done
	for _, j := range n.inWork {
		sum += j.Work - (j.end - n.served)
	}
	return sum
}

// Drop empties the node, as when its process dies, and returns what it held.
func (n *Node) Drop(now Time) []*Job {
	n.advance(now)
	held := make([]*Job, 0, n.Held())
	for _, j := range n.inWork {
		n.done += j.Work - (j.end - n.served)
		held = append(held, j)
	}
	for _, j := range n.queue {
		if j.state == waiting {
			held = append(held, j)
		}
	}
	for _, j := range held {
		j.state = out
	}
	n.inWork, n.queue, n.waits = nil, nil, 0
	n.review()
	return held
}

// Warmth is the share of its speed that the node has.
func (n *Node) Warmth(now Time) float64 {
	age := now - n.spec.Started
	if n.spec.Started <= 0 || age >= n.spec.Cold {
		return 1
	}
	return n.spec.ColdFrom + (1-n.spec.ColdFrom)*age.Seconds()/n.spec.Cold.Seconds()
}

// Capacity is the standard work that the node can do each second now, troubles of its speed left out.
func (n *Node) Capacity(now Time) float64 {
	return float64(n.spec.Cores) * n.spec.Speed * n.Warmth(now)
}

// Choked tells whether the node is choked.
func (n *Node) Choked() bool { return n.choked >= 0 }

// advance moves the state to now.
func (n *Node) advance(now Time) {
	for now > n.at {
		to := now
		if n.restless() {
			to = min(to, n.at+reviewEvery)
		}
		if len(n.inWork) > 0 && n.rate > 0 {
			first := n.inWork[0]
			if end := n.at + Time(math.Ceil(math.Max(first.end-n.served, 0)/n.rate*1e9)); end <= to {
				n.at, n.served = end, first.end
				heap.Pop(&n.inWork)
				first.state = out
				n.done += first.Work
				n.finished = append(n.finished, first)
				n.fill()
				n.review()
				continue
			}
			n.served += n.rate * (to - n.at).Seconds()
		}
		n.at = to
		n.review()
	}
}

// fill takes what waits into service.
func (n *Node) fill() {
	for len(n.queue) > 0 && (len(n.inWork) < n.spec.Slots || n.queue[0].state != waiting) {
		j := n.queue[0]
		n.queue[0] = nil
		n.queue = n.queue[1:]
		if j.state == waiting {
			n.waits--
			n.begin(j)
		}
	}
}

// review takes the speed anew, and whether the node chokes.
func (n *Node) review() {
	cores, in := float64(n.spec.Cores), float64(len(n.inWork))
	if n.spec.ChokeAt > 0 {
		n.choke(cores)
	}
	rate := n.spec.Speed * n.Warmth(n.at) / n.slow
	if in > cores {
		rate *= cores / in
	}
	if per := in / cores; n.spec.CrowdAt > 0 && per > n.spec.CrowdAt {
		rate /= 1 + n.spec.Crowd*math.Log2(per/n.spec.CrowdAt)
	}
	if n.choked >= 0 {
		rate /= n.spec.ChokeSlower
	}
	n.rate = rate
}

func (n *Node) choke(cores float64) {
	// What has no core waits, be it in a slot or in the waiting room.
	held := float64(n.Held())
	if n.choked < 0 {
		switch {
		case held-cores <= n.spec.ChokeAt*cores:
			n.over = -1
		case n.over < 0:
			n.over = n.at
		case n.at-n.over >= n.spec.ChokeOver:
			n.choked, n.over, n.rested = n.at, -1, -1
		}
		return
	}
	switch {
	case held > n.spec.ChokeBelow*cores:
		n.rested = -1
	case n.rested < 0:
		n.rested = n.at
	}
	if n.at-n.choked >= n.spec.ChokeMost || n.rested >= 0 && n.at-n.rested >= n.spec.ChokeRest {
		n.choked = -1
	}
}

// jobs is a heap by end.
type jobs []*Job

func (h jobs) Len() int           { return len(h) }
func (h jobs) Less(i, j int) bool { return h[i].end < h[j].end }
func (h jobs) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *jobs) Push(x any) {
	j := x.(*Job)
	j.place = len(*h)
	*h = append(*h, j)
}
func (h *jobs) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	j.place = -1
	return j
}

// Backlog is how long, in seconds, a request of some work would take if it came now and nothing after it.
func (n *Node) Backlog(work float64) float64 {
	left := work
	for _, j := range n.inWork {
		left += math.Max(j.end-n.served, 0)
	}
	for _, j := range n.queue {
		if j.state == waiting {
			left += j.Work
		}
	}
	speed := n.spec.Speed * n.Warmth(n.at) / n.slow
	if n.choked >= 0 {
		speed /= n.spec.ChokeSlower
	}
	return math.Max(work/speed, left/(speed*float64(n.spec.Cores)))
}
