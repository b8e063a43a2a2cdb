package sim

import (
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/workload"
)

type request struct {
	workload         workload.Request
	id               uint64
	firstID          uint64
	sidecar          *sidecar
	incarnation      int32
	deadline         time.Duration // the final answer is due
	completed        bool
	attemptsInFlight int
	attempts         []*attempt
}

// deadlineExpired is the end of the time for a request's final response.
type deadlineExpired struct{ request *request }

func (e deadlineExpired) happen(s *simulation) { s.expire(e.request) }

// expire ends what is out for a request, and answers for a decider that left it without.
func (w *simulation) expire(r *request) {
	if r.incarnation != r.sidecar.incarnation || r.sidecar.down {
		return
	}
	for _, a := range r.attempts {
		if !a.ended {
			w.cutShort(a, record.TimedOut)
		}
	}
	if !r.completed && w.options.Defects.Delay == 0 {
		r.sidecar.respond(r, record.Failed, 0, 0)
		r.sidecar.policy.ClientGone(w.now+epoch, balance.RequestID(r.id))
	}
	r.sidecar.releaseIfDone(r)
}

// respond gives a request its final answer. The first counts.
func (c *sidecar) respond(r *request, s record.Status, token uint64, after time.Duration) {
	w := c.simulation
	if r.completed {
		return
	}
	w.counts.answers++
	host := &w.options.Defects
	if host.LoseEvery > 0 && w.counts.answers%host.LoseEvery == 0 {
		r.completed = true
		w.openRequests--
		return
	}
	r.completed = true
	w.openRequests--
	w.record(record.Event{Kind: record.Answered, Request: r.id, Sidecar: c.index, Status: s, Token: token, RetryAfter: after})
	if host.DuplicateEvery > 0 && w.counts.answers%host.DuplicateEvery == 0 {
		w.record(record.Event{Kind: record.Answered, Request: r.id, Sidecar: c.index, Status: record.Failed})
	}
	switch s {
	case record.Rejected:
		w.retryLater(r, workload.Rejected, after)
	case record.Failed:
		w.retryLater(r, workload.Failed, 0)
	}
}

// reject is an answer that the decider words itself.
func (c *sidecar) reject(id balance.RequestID, s record.Status, after time.Duration) {
	r := c.requests[id]
	if r == nil || r.completed {
		return
	}
	host := &c.simulation.options.Defects
	c.simulation.counts.refusals++
	switch {
	case host.InventEvery > 0 && c.simulation.counts.refusals%host.InventEvery == 0:
		c.respond(r, record.Served, 1<<63, 0)
	case host.HoldBack:
		c.simulation.scheduleAt(max(c.simulation.now, r.deadline-deadlineMargin), delayedResponse{r, s})
		return
	case host.Delay > 0:
		c.simulation.scheduleAt(r.deadline+deadlineMargin+host.Delay, delayedResponse{r, s})
		return
	default:
		c.respond(r, s, 0, after)
	}
	c.releaseIfDone(r)
}

func (c *sidecar) releaseIfDone(r *request) {
	if r.completed && r.attemptsInFlight == 0 {
		delete(c.requests, balance.RequestID(r.id))
	}
}
