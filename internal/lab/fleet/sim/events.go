package sim

import (
	"container/heap"
	"time"
)

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (f *Fleet) schedule(at time.Duration, run func()) {
	f.scheduled++
	heap.Push(&f.events, event{at, f.scheduled, run})
}
