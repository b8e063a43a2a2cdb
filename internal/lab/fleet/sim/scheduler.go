package sim

import (
	"container/heap"
	"time"
)

// scheduler holds the simulated time and the pending events.
type scheduler struct {
	now       time.Duration // since the plan's start
	queue     eventQueue
	scheduled int // number of events scheduled so far
}

// at schedules an event. Events with the same time run in the order in which they were scheduled.
func (s *scheduler) at(when time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.queue, event{at: when, order: s.scheduled, run: run})
}

// after schedules an event at a delay from now.
func (s *scheduler) after(delay time.Duration, run func()) {
	s.at(s.now+delay, run)
}

// runUntil runs the events due up to a time, including those scheduled meanwhile, and sets the simulated time to it.
func (s *scheduler) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// event is a function to run at a simulated time.
type event struct {
	at    time.Duration
	order int // sequence number that orders events with the same time
	run   func()
}

// eventQueue implements heap.Interface with the earliest event first.
type eventQueue []event

// Len implements heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

// Swap implements heap.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
