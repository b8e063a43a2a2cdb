package sim

import (
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/node"
	"milletramp.example/milletramp/internal/lab/record"
)

type attempt struct {
	node.Job
	request           *request
	server            int32
	number            uint8
	ended             bool // for its sidecar
	newConnection     bool // on a new connection
	serverIncarnation int32
	startedAt         time.Duration
	firstByteAt       time.Duration // first byte
	endedAt           time.Duration // ended at
	known             bool
	atServer          bool
}

// Send implements balance.Actions, as do the methods after it.
func (c *sidecar) Send(id balance.RequestID, endpoint string, within time.Duration) {
	w := c.simulation
	r := c.requests[id]
	if r == nil {
		return
	}
	a := &attempt{request: r, server: w.serverByID[endpoint], number: uint8(len(r.attempts)), startedAt: w.now, firstByteAt: -1}
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	m := w.servers[a.server]
	way := w.drawDelay(c, a.server)
	a.serverIncarnation = m.incarnation
	end := r.deadline
	if r.completed || w.now >= end {
		w.scheduleAfter(0, attemptEnded{attempt: a, status: record.Cancelled})
		return
	}
	if c.acquireIdle(a.server) {
		a.firstByteAt = w.now
		w.scheduleAfter(way, attemptArrived{a})
		return
	}
	a.newConnection = true
	up := time.Duration(w.plan.Scenario.Fleet.HandshakeRTTs * 2 * float64(way))
	switch connect := w.plan.Scenario.Network.Connect.Std(); {
	case within > 0 && up > within:
		w.scheduleAfter(within, attemptEnded{attempt: a, status: record.Cancelled})
	case w.isCutOff(c, a.server):
		c.noteLoss(a.server, r.workload.Class)
		w.scheduleAfter(connect, attemptEnded{attempt: a, status: record.NotReached})
	case m.down || m.connections >= w.plan.Scenario.Fleet.ConnCap:
		w.scheduleAfter(2*way, attemptEnded{attempt: a, status: record.NotReached})
	default:
		m.connections++
		a.firstByteAt = w.now + up
		w.scheduleAfter(up+way, attemptArrived{a})
	}
}

// attemptEnded is the end of an attempt for its sidecar.
type attemptEnded struct {
	attempt *attempt
	status  record.Status
	token   uint64 // names the response; 0 without one
}

func (e attemptEnded) happen(s *simulation) { s.completeAttempt(e.attempt, e.status, e.token) }

// cutShort ends an attempt from the sidecar's side.
func (w *simulation) cutShort(a *attempt, s record.Status) { w.completeAttempt(a, s, 0) }

// completeAttempt is the end of an attempt for its sidecar.
func (w *simulation) completeAttempt(a *attempt, s record.Status, token uint64) {
	c := a.request.sidecar
	if a.ended || a.request.incarnation != c.incarnation || c.down {
		return
	}
	a.ended, a.endedAt = true, w.now
	r := a.request
	r.attemptsInFlight--
	m := w.servers[a.server]
	alive := a.serverIncarnation == m.incarnation && !m.down
	outcome := balance.Served
	switch s {
	case record.Served:
		c.lastResponse[a.server] = w.now
		c.respond(r, record.Served, token, 0)
	case record.Rejected:
		outcome = balance.Saturated
		c.lastResponse[a.server] = w.now
	case record.Failed:
		outcome = balance.Errored
		c.lastResponse[a.server] = w.now
	case record.Broken:
		outcome = balance.Reset
		c.closeIdle(a.server)
	case record.NotReached:
		outcome = balance.ConnectFailed
		c.closeIdle(a.server)
	case record.Cancelled:
		outcome = balance.Cancelled
	case record.TimedOut:
		outcome = balance.TimedOut
		if c.lastResponse[a.server] < a.startedAt {
			c.closeIdle(a.server)
		}
	}
	switch {
	case s == record.Served || s == record.Rejected || s == record.Failed:
		if alive {
			c.idle[a.server] = append(c.idle[a.server], idleConnection{w.now, a.serverIncarnation})
		}
	case s == record.Broken:
		if alive {
			m.connections--
		}
	case s == record.Cancelled || s == record.TimedOut:
		if alive && a.firstByteAt >= 0 {
			m.connections--
		}
		w.scheduleAfter(w.drawDelay(c, a.server), cancelArrived{a})
	}
	if (s == record.Cancelled || s == record.TimedOut) && (a.firstByteAt < 0 || a.firstByteAt > w.now) {
		// Not a byte of it was written: the real sidecar tells these apart.
		if outcome = balance.ConnectFailed; s == record.Cancelled {
			outcome = balance.NotSent
		}
	}
	w.record(record.Event{Kind: record.AttemptEnded, Request: r.id, Attempt: a.number, Sidecar: c.index, Node: a.server, Status: s})
	c.policy.Result(w.now+epoch, balance.Result{ID: balance.RequestID(r.id), Attempt: int(a.number), Endpoint: m.ID,
		Outcome: outcome, Took: w.now - a.startedAt, Finished: r.completed})
	c.detectLosses()
	c.releaseIfDone(r)
}
