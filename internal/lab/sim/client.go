package sim

import (
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/workload"
)

// clientSeedSalt separates the random stream of client retries from the other streams derived from the plan's seed.
const clientSeedSalt = 0xc11e47

// notRetry is the firstID passed to receive for a request that is not a retry.
const notRetry = 0

// scheduleArrival draws the next client request at the sidecar and schedules its arrival.
func (sc *sidecar) scheduleArrival() {
	if next, ok := sc.source.Next(); ok {
		sc.nextRequest = next
		sc.simulation.scheduleAt(next.At, clientArrived{sc})
	}
}

// clientArrived is the event that the next client request arrives at a sidecar.
type clientArrived struct{ sidecar *sidecar }

func (e clientArrived) handle(*simulation) {
	e.sidecar.receive(e.sidecar.nextRequest, notRetry)
	e.sidecar.scheduleArrival()
}

// retryDue is the event that a client retries a request.
type retryDue struct {
	sidecar  *sidecar
	workload workload.Request
	firstID  uint64
}

func (e retryDue) handle(s *simulation) {
	e.sidecar.receive(e.workload, e.firstID)
	s.openRequests-- // the retry is no longer pending
}

// receive handles the arrival of a client's request. firstID is the request that it retries, or notRetry.
func (sc *sidecar) receive(requested workload.Request, firstID uint64) {
	s := sc.simulation
	s.result.Requests++
	r := &request{
		id:          s.result.Requests,
		firstID:     firstID,
		workload:    requested,
		sidecar:     sc,
		incarnation: sc.incarnation,
		deadline:    s.now + requested.Timeout - deadlineMargin,
	}
	if firstID == notRetry {
		r.firstID = r.id
	}
	s.record(record.Event{Kind: record.Requested, Request: r.id, FirstRequest: r.firstID, Sidecar: sc.index,
		Class: uint8(requested.Class), Tenant: int32(requested.Tenant), Wait: requested.Timeout, Work: requested.Work,
		Effect: r.id})
	if sc.down {
		s.record(record.Event{Kind: record.Answered, Request: r.id, Sidecar: sc.index, Status: record.NotReached})
		r.completed = true
		r.scheduleRetry(workload.Unreachable, 0)
		return
	}
	r.start()
}

// start registers the request, schedules its deadline and passes it to the policy.
func (r *request) start() {
	sc, s := r.sidecar, r.sidecar.simulation
	id := balance.RequestID(r.id)
	s.openRequests++
	sc.requests[id] = r
	s.scheduleAt(r.deadline, deadlineExpired{r})
	if r.workload.LeavesAfter > 0 {
		s.scheduleAfter(r.workload.LeavesAfter, clientLeft{r})
	}
	sc.policy.Request(s.policyNow(), balance.Request{
		ID:      id,
		Class:   r.workload.Class,
		Tenant:  r.workload.Tenant,
		Timeout: r.workload.Timeout - deadlineMargin,
		Retry:   r.workload.RetriesMade > 0,
	})
}

// scheduleRetry schedules the client's retry of a completed request, if the client retries.
func (r *request) scheduleRetry(outcome workload.Outcome, retryAfter time.Duration) {
	s := r.sidecar.simulation
	retry, ok := workload.Retry(s.plan.Scenario, r.workload, s.now, outcome, retryAfter, r.sidecar.clientRandom)
	if !ok {
		return
	}
	s.openRequests++ // a pending retry keeps the run from ending
	s.scheduleAt(retry.At, retryDue{r.sidecar, retry, r.firstID})
}

// clientLeft is the event that a client stops waiting for its response.
type clientLeft struct{ request *request }

func (e clientLeft) handle(s *simulation) {
	r, sc := e.request, e.request.sidecar
	if r.completed || !r.isCurrent() {
		return
	}
	r.complete()
	s.record(record.Event{Kind: record.ClientLeft, Request: r.id, Sidecar: sc.index})
	sc.policy.ClientGone(s.policyNow(), balance.RequestID(r.id))
	for _, a := range r.attempts {
		sc.Cancel(balance.RequestID(r.id), int(a.number))
	}
	r.releaseIfDone()
	r.scheduleRetry(workload.Failed, 0)
}
