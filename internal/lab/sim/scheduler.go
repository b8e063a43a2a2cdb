package sim

import "time"

// event is a scheduled event. Each kind of event is a type, declared in the file with the state that it changes.
type event interface {
	// handle carries out the event at the current simulated time.
	handle(s *simulation)
}

// scheduler owns the clock and the event queue. Only the scheduler advances the clock.
type scheduler struct {
	now   time.Duration // simulated time since the start of the run
	queue eventQueue
}

// scheduleAt schedules an event at a time.
func (s *scheduler) scheduleAt(at time.Duration, e event) { s.queue.push(at, e) }

// scheduleAfter schedules an event after a delay.
func (s *scheduler) scheduleAfter(delay time.Duration, e event) { s.queue.push(s.now+delay, e) }

// nextTime returns the time of the next event, and whether there is one.
func (s *scheduler) nextTime() (time.Duration, bool) {
	if len(s.queue.heap) == 0 {
		return 0, false
	}
	return s.queue.heap[0].at, true
}

// advance removes the next event from the queue, sets the clock to its time and returns it. The queue must not be
// empty.
func (s *scheduler) advance() event {
	next := s.queue.pop()
	s.now = next.at
	return next.event
}

// scheduledEvent is an event in the queue.
type scheduledEvent struct {
	at       time.Duration
	sequence uint64 // orders events with equal times as they were scheduled
	event    event
}

func (e *scheduledEvent) isBefore(other *scheduledEvent) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// heapArity is the number of children of a heap node. A heap with four children per node is half as deep as a binary
// heap.
const heapArity = 4

// eventQueue is a heap of events ordered by time, then by the order in which they were scheduled.
type eventQueue struct {
	heap         []scheduledEvent
	lastSequence uint64
}

func (q *eventQueue) push(at time.Duration, e event) {
	q.lastSequence++
	pushed := scheduledEvent{at: at, sequence: q.lastSequence, event: e}
	q.heap = append(q.heap, pushed)
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / heapArity
		if !pushed.isBefore(&q.heap[parent]) {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = pushed
}

func (q *eventQueue) pop() scheduledEvent {
	first := q.heap[0]
	last := len(q.heap) - 1
	moved := q.heap[last]
	q.heap[last] = scheduledEvent{} // allows the event to be garbage collected
	q.heap = q.heap[:last]
	if last > 0 {
		q.siftDown(moved)
	}
	return first
}

// siftDown inserts an event at the root and moves it down until it precedes all its children.
func (q *eventQueue) siftDown(moved scheduledEvent) {
	i := 0
	for {
		child := q.firstChild(i)
		if child < 0 || !q.heap[child].isBefore(&moved) {
			break
		}
		q.heap[i] = q.heap[child]
		i = child
	}
	q.heap[i] = moved
}

// firstChild returns the index of the earliest child of a node, or -1 if it has no children.
func (q *eventQueue) firstChild(parent int) int {
	first := -1
	firstIndex := heapArity*parent + 1
	for i := firstIndex; i < firstIndex+heapArity && i < len(q.heap); i++ {
		if first < 0 || q.heap[i].isBefore(&q.heap[first]) {
			first = i
		}
	}
	return first
}
