package sim

import (
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/servermodel"
)

// neverSent is the firstByteAt of an attempt without a connection.
const neverSent time.Duration = -1

// attempt is one try of a sidecar to have a request served by a server.
type attempt struct {
	servermodel.Job   // at the server
	request           *request
	number            uint8 // among the request's attempts, from 0
	server            *server
	serverIncarnation int32 // of the server when the attempt started
	newConnection     bool  // not one that was idle
	startedAt         time.Duration
	firstByteAt       time.Duration // when its first byte is written, or neverSent
	ended             bool          // for its sidecar
	endedAt           time.Duration
	atServer          bool // the server holds its job
}

// Send implements balance.Actions.
func (sc *sidecar) Send(id balance.RequestID, endpoint string, within time.Duration) {
	s := sc.simulation
	r := sc.requests[id]
	if r == nil {
		return
	}
	a := r.newAttempt(s.serverByID[endpoint])
	delay := a.drawDelay()
	switch {
	case r.completed || s.now >= r.deadline:
		a.endAfter(0, record.Cancelled)
	case sc.acquireIdle(a.server):
		a.firstByteAt = s.now
		s.scheduleAfter(delay, attemptArrived{a})
	default:
		a.connect(delay, within)
	}
}

func (r *request) newAttempt(srv *server) *attempt {
	a := &attempt{
		request:           r,
		number:            uint8(len(r.attempts)),
		server:            srv,
		serverIncarnation: srv.incarnation,
		startedAt:         r.sidecar.simulation.now,
		firstByteAt:       neverSent,
	}
	r.attempts = append(r.attempts, a)
	r.attemptsInFlight++
	return a
}

// connect sends the attempt on a new connection. It ends unsent if that takes longer than within; 0 is no limit.
func (a *attempt) connect(delay, within time.Duration) {
	s := a.request.sidecar.simulation
	scenario := s.plan.Scenario
	a.newConnection = true
	handshake := time.Duration(scenario.Fleet.HandshakeRTTs * 2 * float64(delay))
	switch {
	case within > 0 && handshake > within:
		a.endAfter(within, record.Cancelled)
	case a.isCutOff():
		a.noteLoss()
		a.endAfter(scenario.Network.ConnectTimeout.Std(), record.NotReached)
	case a.server.down || a.server.connections >= scenario.Fleet.MaxConns:
		a.endAfter(2*delay, record.NotReached)
	default:
		a.server.connections++
		a.firstByteAt = s.now + handshake
		s.scheduleAfter(handshake+delay, attemptArrived{a})
	}
}

// drawDelay draws a one-way delay between the attempt's sidecar and server.
func (a *attempt) drawDelay() time.Duration {
	return a.request.sidecar.simulation.drawDelay(a.request.sidecar, a.server)
}

// isCutOff reports whether nothing passes between the attempt's sidecar and server.
func (a *attempt) isCutOff() bool {
	return a.request.sidecar.simulation.isCutOff(a.request.sidecar, a.server)
}

// isServerAlive reports whether the process to which the attempt was sent still runs.
func (a *attempt) isServerAlive() bool {
	return a.serverIncarnation == a.server.incarnation && !a.server.down
}

func (a *attempt) noteLoss() {
	a.request.sidecar.noteLoss(a.server, a.request.workload.Class)
}

// endAfter has the attempt end without a response that has a token.
func (a *attempt) endAfter(delay time.Duration, status record.Status) {
	a.request.sidecar.simulation.scheduleAfter(delay, attemptEnded{attempt: a, status: status})
}

// attemptArrived is the arrival of an attempt's last byte at its server.
type attemptArrived struct{ attempt *attempt }

func (e attemptArrived) handle(*simulation) {
	a := e.attempt
	if !a.isServerAlive() {
		a.resetByServer()
		return
	}
	if a.isCutOff() {
		a.noteLoss()
		return
	}
	if a.ended && a.newConnection && a.endedAt <= a.firstByteAt { // given up before it had a connection
		return
	}
	a.recordArrival()
	if !a.ended {
		a.server.receive(a)
	}
}

// resetByServer ends an attempt whose server's process has ended on its way.
func (a *attempt) resetByServer() {
	if a.ended || a.isCutOff() {
		return
	}
	status := record.Broken
	if a.newConnection {
		status = record.NotReached
	}
	a.endAfter(a.drawDelay(), status)
}

func (a *attempt) recordArrival() {
	r := a.request
	s := r.sidecar.simulation
	a.Work = r.workload.Work
	s.record(record.Event{At: a.firstByteAt, Kind: record.Sent, Request: r.id, Attempt: a.number,
		Sidecar: r.sidecar.index, Node: a.server.index})
	s.record(record.Event{Kind: record.Arrived, Request: r.id, Attempt: a.number, Sidecar: r.sidecar.index,
		Node: a.server.index, Work: a.Work, Effect: r.id})
}

// attemptEnded is the end of an attempt for its sidecar.
type attemptEnded struct {
	attempt *attempt
	status  record.Status
	token   uint64 // names the server's response; 0: there is none
}

func (e attemptEnded) handle(*simulation) { e.attempt.finish(e.status, e.token) }

// finish ends the attempt for its sidecar, unless it has ended.
func (a *attempt) finish(status record.Status, token uint64) {
	r := a.request
	if a.ended || !r.isCurrent() {
		return
	}
	sc, s := r.sidecar, r.sidecar.simulation
	a.ended, a.endedAt = true, s.now
	r.attemptsInFlight--
	if status == record.Served {
		r.respond(record.Served, token, 0)
	}
	a.releaseConnection(status)
	s.record(record.Event{Kind: record.AttemptEnded, Request: r.id, Attempt: a.number, Sidecar: sc.index,
		Node: a.server.index, Status: status})
	sc.policy.Result(s.policyNow(), balance.Result{
		ID:       balance.RequestID(r.id),
		Attempt:  int(a.number),
		Endpoint: a.server.ID,
		Outcome:  a.outcome(status),
		Took:     s.now - a.startedAt,
		Finished: r.completed,
	})
	sc.detectLosses()
	r.releaseIfDone()
}

// outcomes are the policies' words for how an attempt ended.
var outcomes = [...]balance.Outcome{
	record.Served:     balance.Served,
	record.Rejected:   balance.Saturated,
	record.Failed:     balance.Errored,
	record.Broken:     balance.Reset,
	record.NotReached: balance.ConnectFailed,
	record.Cancelled:  balance.Cancelled,
	record.TimedOut:   balance.TimedOut,
}

// outcome returns the policies' word for the attempt's end. As in the real sidecar, an attempt of which no byte was
// written has outcomes of its own.
func (a *attempt) outcome(status record.Status) balance.Outcome {
	if a.firstByteAt >= 0 && a.firstByteAt <= a.request.sidecar.simulation.now {
		return outcomes[status]
	}
	switch status {
	case record.Cancelled:
		return balance.NotSent
	case record.TimedOut:
		return balance.ConnectFailed
	default:
		return outcomes[status]
	}
}
