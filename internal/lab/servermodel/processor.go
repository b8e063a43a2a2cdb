package servermodel

import (
	"container/heap"
	"math"
	"time"
)

const (
	// updateInterval is the interval between updates of the service rate while the rate depends on time.
	updateInterval = 50 * time.Millisecond

	// never marks a time that is not set.
	never time.Duration = -1
)

// Processor shares the cores of a server evenly among the requests in service. It uses virtual time: all requests in
// service attain service at the same rate, so the next one to complete is the minimum of a heap.
type Processor struct {
	spec            Spec
	now             time.Duration // time up to which the state is computed
	attainedService float64       // service attained by a request in service since the start, in standard core seconds
	serviceRate     float64       // increase of attainedService per second
	inService       jobHeap
	queue           []*Job  // in order of arrival; cancelled jobs stay until they reach the front
	waiting         int     // jobs in the queue that are not cancelled
	slowdown        float64 // factor set by a fault; 1: none
	collapse        collapseState
	completedWork   float64 // work done for requests no longer in service, in standard core seconds
	completed       []*Job  // jobs completed since the last call of Advance
}

// NewProcessor returns a processor without requests.
func NewProcessor(spec Spec, now time.Duration) *Processor {
	p := &Processor{spec: spec, now: now, slowdown: 1, collapse: newCollapseState()}
	p.updateRate()
	return p
}

// Offer starts or queues a request. It returns false if there is no free slot and the queue is full.
func (p *Processor) Offer(now time.Duration, job *Job) bool {
	p.moveTo(now)
	job.heapIndex = notInHeap
	switch {
	case len(p.inService) < p.spec.Slots:
		p.startService(job)
	case p.waiting < p.spec.QueueLimit:
		job.state = jobWaiting
		p.queue = append(p.queue, job)
		p.waiting++
	default:
		return false
	}
	p.updateRate()
	return true
}

// isFull reports whether Offer would return false now.
func (p *Processor) isFull(now time.Duration) bool {
	p.moveTo(now)
	return len(p.inService) >= p.spec.Slots && p.waiting >= p.spec.QueueLimit
}

// Cancel removes a request if it is queued or in service.
func (p *Processor) Cancel(now time.Duration, job *Job) {
	p.moveTo(now)
	switch job.state {
	case jobWaiting:
		p.waiting--
	case jobInService:
		if job.heapIndex >= 0 {
			p.completedWork += p.attainedWork(job)
			heap.Remove(&p.inService, job.heapIndex)
		}
	}
	job.state = jobIdle
	p.startWaiting()
	p.updateRate()
}

// Abort removes all requests, as when the server's process ends, and returns them.
func (p *Processor) Abort(now time.Duration) []*Job {
	p.moveTo(now)
	aborted := make([]*Job, 0, p.InFlight())
	for _, job := range p.inService {
		p.completedWork += p.attainedWork(job)
		aborted = append(aborted, job)
	}
	for _, job := range p.queue {
		if job.state == jobWaiting {
			aborted = append(aborted, job)
		}
	}
	for _, job := range aborted {
		job.state = jobIdle
	}
	p.inService, p.queue, p.waiting = nil, nil, 0
	p.updateRate()
	return aborted
}

// Advance moves the clock to now and returns the requests completed by then, in order of completion. The slice is valid
// until the next call.
func (p *Processor) Advance(now time.Duration) []*Job {
	p.completed = p.completed[:0]
	p.moveTo(now)
	p.updateRate()
	return p.completed
}

// NextEvent returns the time at which Advance must be called next, or -1 if there is none.
func (p *Processor) NextEvent() time.Duration {
	next := never
	if len(p.inService) > 0 && p.serviceRate > 0 {
		remaining := p.inService[0].finishAt - p.attainedService
		next = p.now + max(p.serviceTime(remaining), 1) // at least 1 ns: with 0 the event would be due repeatedly
	}
	if p.rateChanges() && (next < 0 || next > p.now+updateInterval) {
		next = p.now + updateInterval
	}
	return next
}

// SetSlowdown makes the processor slower by a factor. A factor of 1 ends the slowdown.
func (p *Processor) SetSlowdown(now time.Duration, factor float64) {
	p.moveTo(now)
	p.slowdown = factor
	p.updateRate()
}

// InFlight returns the number of requests in service and waiting.
func (p *Processor) InFlight() int { return len(p.inService) + p.waiting }

// CompletedWork returns the work done so far, in seconds on a standard core.
func (p *Processor) CompletedWork() float64 {
	sum := p.completedWork
	for _, job := range p.inService {
		sum += p.attainedWork(job)
	}
	return sum
}

// Backlog returns the time, in seconds, that a request of the given work would take if it arrived now and no request
// followed it.
func (p *Processor) Backlog(work float64) float64 {
	total := work
	for _, job := range p.inService {
		total += math.Max(job.finishAt-p.attainedService, 0)
	}
	for _, job := range p.queue {
		if job.state == jobWaiting {
			total += job.Work
		}
	}
	speed := p.spec.Speed * p.spec.speedShare(p.now) / p.slowdown
	if p.collapse.isCollapsed() {
		speed /= p.spec.CollapseSlowdown
	}
	return math.Max(work/speed, total/(speed*float64(p.spec.Cores)))
}

// attainedWork returns the work done so far for a job in service.
func (p *Processor) attainedWork(job *Job) float64 {
	return job.Work - (job.finishAt - p.attainedService)
}

// serviceTime returns how long it takes to attain the given service at the current rate, rounded up.
func (p *Processor) serviceTime(service float64) time.Duration {
	return time.Duration(math.Ceil(service / p.serviceRate * float64(time.Second)))
}

// moveTo moves the state to now and completes the requests that finish by then.
func (p *Processor) moveTo(now time.Duration) {
	for now > p.now {
		until := now
		if p.rateChanges() {
			until = min(until, p.now+updateInterval)
		}
		if p.completeUntil(until) {
			continue
		}
		if len(p.inService) > 0 && p.serviceRate > 0 {
			p.attainedService += p.serviceRate * (until - p.now).Seconds()
		}
		p.now = until
		p.updateRate()
	}
}

// completeUntil completes the next request and moves the state to that time if it is no later than limit. It reports
// whether a request was completed.
func (p *Processor) completeUntil(limit time.Duration) bool {
	if len(p.inService) == 0 || p.serviceRate <= 0 {
		return false
	}
	first := p.inService[0]
	doneAt := p.now + p.serviceTime(math.Max(first.finishAt-p.attainedService, 0))
	if doneAt > limit {
		return false
	}
	p.now, p.attainedService = doneAt, first.finishAt
	heap.Pop(&p.inService)
	first.state = jobIdle
	p.completedWork += first.Work
	p.completed = append(p.completed, first)
	p.startWaiting()
	p.updateRate()
	return true
}

func (p *Processor) startService(job *Job) {
	job.state, job.finishAt = jobInService, p.attainedService+job.Work
	heap.Push(&p.inService, job)
}

// startWaiting starts waiting requests while slots are free and removes cancelled ones at the front of the queue.
func (p *Processor) startWaiting() {
	for len(p.queue) > 0 && (len(p.inService) < p.spec.Slots || p.queue[0].state != jobWaiting) {
		job := p.queue[0]
		p.queue[0] = nil // releases the job for garbage collection
		p.queue = p.queue[1:]
		if job.state == jobWaiting {
			p.waiting--
			p.startService(job)
		}
	}
}

// rateChanges reports whether the service rate can change without an arrival or a completion.
func (p *Processor) rateChanges() bool {
	warmsUpOrOverloaded := p.spec.speedShare(p.now) < 1 || p.collapse.overloadedSince >= 0
	return len(p.inService) > 0 && warmsUpOrOverloaded || p.collapse.isCollapsed()
}

// updateRate updates the service rate and the collapse state.
func (p *Processor) updateRate() {
	cores, inService := float64(p.spec.Cores), float64(len(p.inService))
	if p.spec.CollapseAt > 0 {
		p.collapse.update(&p.spec, p.now, float64(p.InFlight()))
	}
	rate := p.spec.Speed * p.spec.speedShare(p.now) / p.slowdown
	if inService > cores {
		rate *= cores / inService
	}
	if perCore := inService / cores; p.spec.ContentionAt > 0 && perCore > p.spec.ContentionAt {
		rate /= 1 + p.spec.ContentionCost*math.Log2(perCore/p.spec.ContentionAt)
	}
	if p.collapse.isCollapsed() {
		rate /= p.spec.CollapseSlowdown
	}
	p.serviceRate = rate
}
