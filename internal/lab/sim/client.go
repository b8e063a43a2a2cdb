package sim

import (
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/workload"
)

// scheduleArrival has the sidecar's next arrival come.
func (c *sidecar) scheduleArrival() {
	if a, ok := c.source.Next(); ok {
		c.nextRequest = a
		c.simulation.scheduleAt(a.At, clientArrived{c})
	}
}

// clientArrived is the next arrival at a sidecar.
type clientArrived struct{ sidecar *sidecar }

func (e clientArrived) happen(s *simulation) {
	s.receiveRequest(e.sidecar, e.sidecar.nextRequest, 0)
	e.sidecar.scheduleArrival()
}

// receiveRequest is a client's try.
func (w *simulation) receiveRequest(c *sidecar, a workload.Request, first uint64) {
	w.requestCount++
	w.result.Requests++
	r := &request{workload: a, id: w.requestCount, firstID: first, sidecar: c, incarnation: c.incarnation}
	if first == 0 {
		r.firstID = r.id
	}
	r.deadline = w.now + a.Timeout - deadlineMargin
	w.record(record.Event{Kind: record.Requested, Request: r.id, FirstRequest: r.firstID, Sidecar: c.index,
		Class: uint8(a.Class), Tenant: int32(a.Tenant), Wait: a.Timeout, Work: a.Work, Effect: r.id})
	if c.down {
		w.record(record.Event{Kind: record.Answered, Request: r.id, Sidecar: c.index, Status: record.NotReached})
		r.completed = true
		w.retryLater(r, workload.Unreachable, 0)
		return
	}
	w.openRequests++
	c.requests[balance.RequestID(r.id)] = r
	w.scheduleAt(r.deadline, deadlineExpired{r})
	if a.LeavesAfter > 0 {
		w.scheduleAfter(a.LeavesAfter, clientLeft{r})
	}
	c.policy.Request(w.now+epoch, balance.Request{ID: balance.RequestID(r.id), Class: a.Class, Tenant: a.Tenant,
		Timeout: a.Timeout - deadlineMargin, Retry: a.RetriesMade > 0})
}

// retryLater has a client make its next try, where it does.
func (w *simulation) retryLater(r *request, how workload.Outcome, after time.Duration) {
	if next, ok := workload.Retry(w.plan.Scenario, r.workload, w.now, how, after, r.sidecar.clientRandom); ok {
		w.openRequests++ // a try that is to come keeps the day open
		w.scheduleAt(next.At, retryDue{r.sidecar, next, r.firstID})
	}
}

// retryDue is a client's retry.
type retryDue struct {
	sidecar  *sidecar
	workload workload.Request
	firstID  uint64
}

func (e retryDue) happen(s *simulation) {
	s.receiveRequest(e.sidecar, e.workload, e.firstID)
	s.openRequests--
}

// clientLeft is a client that no longer waits for its response.
type clientLeft struct{ request *request }

func (e clientLeft) happen(s *simulation) { s.abandon(e.request) }

func (w *simulation) abandon(r *request) {
	if r.completed || r.incarnation != r.sidecar.incarnation || r.sidecar.down {
		return
	}
	r.completed = true
	w.openRequests--
	w.record(record.Event{Kind: record.ClientLeft, Request: r.id, Sidecar: r.sidecar.index})
	r.sidecar.policy.ClientGone(w.now+epoch, balance.RequestID(r.id))
	for _, a := range r.attempts {
		if !a.ended {
			r.sidecar.Cancel(balance.RequestID(r.id), int(a.number))
		}
	}
	r.sidecar.releaseIfDone(r)
	w.retryLater(r, workload.Failed, 0)
}
