package servermodel

// Job is a request that a server queues and serves. Its owner may embed it.
type Job struct {
	Work  float64 // in seconds on a standard core
	Owner any

	finishAt  float64 // the job completes when the processor's attained service reaches this value
	heapIndex int     // index in the heap of jobs in service, or notInHeap
	state     jobState
}

// notInHeap is the heapIndex of a job that is not in service.
const notInHeap = -1

type jobState int

const (
	jobIdle jobState = iota // neither queued nor in service
	jobWaiting
	jobInService
)

// jobHeap is a min-heap of jobs, ordered by finishAt. It implements heap.Interface.
type jobHeap []*Job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].finishAt < h[j].finishAt }

func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *jobHeap) Push(x any) {
	job := x.(*Job)
	job.heapIndex = len(*h)
	*h = append(*h, job)
}

func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	job := (*h)[last]
	(*h)[last] = nil // releases the job for garbage collection
	*h = (*h)[:last]
	job.heapIndex = notInHeap
	return job
}
