package sim

import (
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/workload"
)

// deadlineMargin is the time between a request's deadline and the client's timeout, as in the real sidecar.
const deadlineMargin = 5 * time.Millisecond

// request is a client's request at its sidecar.
type request struct {
	id               uint64
	firstID          uint64 // id of the original request if this is a retry, otherwise its own id
	workload         workload.Request
	sidecar          *sidecar
	incarnation      int32         // the sidecar's incarnation when it received the request
	deadline         time.Duration // time by which the final response is due
	completed        bool          // whether the final response was sent, the client has left or the sidecar crashed
	attempts         []*attempt
	attemptsInFlight int
}

// isCurrent reports whether the sidecar process that received the request is still running.
func (r *request) isCurrent() bool {
	return r.incarnation == r.sidecar.incarnation && !r.sidecar.down
}

// complete marks the request as completed. No response is sent after that.
func (r *request) complete() {
	r.completed = true
	r.sidecar.simulation.openRequests--
}

// releaseIfDone removes a completed request from the sidecar if none of its attempts is in flight.
func (r *request) releaseIfDone() {
	if r.completed && r.attemptsInFlight == 0 {
		delete(r.sidecar.requests, balance.RequestID(r.id))
	}
}

// respond sends the final response to the client, unless the request is completed.
func (r *request) respond(status record.Status, token uint64, retryAfter time.Duration) {
	if r.completed {
		return
	}
	r.complete()
	s := r.sidecar.simulation
	defects := &s.options.Defects
	s.defectCounts.responses++
	if isEvery(defects.LoseEvery, s.defectCounts.responses) {
		return
	}
	s.record(record.Event{Kind: record.Answered, Request: r.id, Sidecar: r.sidecar.index, Status: status,
		Token: token, RetryAfter: retryAfter})
	if isEvery(defects.DuplicateEvery, s.defectCounts.responses) {
		s.record(record.Event{Kind: record.Answered, Request: r.id, Sidecar: r.sidecar.index, Status: record.Failed})
	}
	switch status {
	case record.Rejected:
		r.scheduleRetry(workload.Rejected, retryAfter)
	case record.Failed:
		r.scheduleRetry(workload.Failed, 0)
	}
}

// respondLocally sends a final response that the policy decided on, without a response from a server.
func (sc *sidecar) respondLocally(id balance.RequestID, status record.Status, retryAfter time.Duration) {
	r := sc.requests[id]
	if r == nil || r.completed {
		return
	}
	s := sc.simulation
	defects := &s.options.Defects
	s.defectCounts.localResponses++
	switch {
	case isEvery(defects.InventEvery, s.defectCounts.localResponses):
		r.respond(record.Served, inventedToken, 0)
	case defects.HoldBack:
		s.scheduleAt(max(s.now, r.deadline-deadlineMargin), delayedResponse{r, status})
		return
	case defects.Delay > 0:
		s.scheduleAt(r.deadline+deadlineMargin+defects.Delay, delayedResponse{r, status})
		return
	default:
		r.respond(status, 0, retryAfter)
	}
	r.releaseIfDone()
}

// deadlineExpired is the event that a request's deadline passes.
type deadlineExpired struct{ request *request }

// handle times out the attempts in flight, and fails the request if it still has no response.
func (e deadlineExpired) handle(s *simulation) {
	r := e.request
	if !r.isCurrent() {
		return
	}
	for _, a := range r.attempts {
		a.finish(record.TimedOut, 0)
	}
	if !r.completed && s.options.Defects.Delay == 0 {
		r.respond(record.Failed, 0, 0)
		r.sidecar.policy.ClientGone(s.policyNow(), balance.RequestID(r.id))
	}
	r.releaseIfDone()
}
