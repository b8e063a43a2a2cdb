package servermodel

// Job is a request that a server holds. Its owner may embed it.
type Job struct {
	Work  float64 // seconds on a standard core
	Owner any

	finishAt  float64 // attained service at which it is done
	heapIndex int     // in the heap of jobs in service, or notInHeap
	state     jobState
}

// notInHeap is the heapIndex of a job that is not in service.
const notInHeap = -1

type jobState int

const (
	jobIdle jobState = iota // not held
	jobWaiting
	jobInService
)

// jobHeap is a heap of jobs by the attained service at which they are done. It implements heap.Interface.
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
	(*h)[last] = nil // lets go of the job
	*h = (*h)[:last]
	job.heapIndex = notInHeap
	return job
}
