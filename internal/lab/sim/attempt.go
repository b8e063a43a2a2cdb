package sim

import (
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
	"milletramp.example/milletramp/internal/lab/servermodel"
)

// neverSent is the firstByteAt of an attempt that has no connection.
const neverSent time.Duration = -1

// attempt is one attempt of a sidecar to have a request served by a server.
type attempt struct {
	servermodel.Job   // the attempt's job at the server
	request           *request
	number            uint8 // index among the request's attempts, from 0
	server            *server
	serverIncarnation int32 // the server's incarnation when the attempt started
	newConnection     bool  // whether the attempt opened its connection instead of reusing an idle one
	startedAt         time.Duration
	firstByteAt       time.Duration // time at which the first byte is written, or neverSent
	ended             bool          // whether the sidecar has ended the attempt
	endedAt           time.Duration
	atServer          bool // whether the job is queued or running at the server
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

// SetSendTimeout implements balance.Actions. An attempt is cancelled unsent if its connection is not established within
// the time; 0 means no limit.
func (sc *sidecar) SetSendTimeout(id balance.RequestID, attempt int, within time.Duration) {
	r := sc.requests[id]
	if r == nil || attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[attempt]
	if within > 0 && !a.ended && a.firstByteAt > sc.simulation.now+within {
		a.endAfter(within, record.Cancelled)
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

// connect sends the attempt on a new connection. The attempt is cancelled unsent if the handshake takes longer than
// within; 0 means no limit.
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

// drawDelay draws a random one-way delay between the attempt's sidecar and server.
func (a *attempt) drawDelay() time.Duration {
	return a.request.sidecar.simulation.drawDelay(a.request.sidecar, a.server)
}

// isCutOff reports whether the network between the attempt's sidecar and server drops all traffic.
func (a *attempt) isCutOff() bool {
	return a.request.sidecar.simulation.isCutOff(a.request.sidecar, a.server)
}

// isServerAlive reports whether the server process that the attempt was sent to is still running.
func (a *attempt) isServerAlive() bool {
	return a.serverIncarnation == a.server.incarnation && !a.server.down
}

func (a *attempt) noteLoss() {
	a.request.sidecar.noteLoss(a.server, a.request.workload.Class)
}

// endAfter schedules the end of the attempt with the given status and without a response token.
func (a *attempt) endAfter(delay time.Duration, status record.Status) {
	a.request.sidecar.simulation.scheduleAfter(delay, attemptEnded{attempt: a, status: status})
}

// attemptArrived is the event that the last byte of an attempt arrives at its server.
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
	if a.ended && a.newConnection && a.endedAt <= a.firstByteAt { // ended before the connection was established
		return
	}
	a.recordArrival()
	if !a.ended {
		a.server.receive(a)
	}
}

// resetByServer ends an attempt whose server process exited while the attempt was on the network.
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

// attemptEnded is the event that an attempt ends for its sidecar.
type attemptEnded struct {
	attempt *attempt
	status  record.Status
	token   uint64 // identifies the server's response; 0 if there is none
}

func (e attemptEnded) handle(*simulation) { e.attempt.finish(e.status, e.token) }

// finish ends the attempt for its sidecar and reports the result to the policy. It does nothing if the attempt has
// already ended or the sidecar process that received the request no longer runs.
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

// outcomes maps the recorded status of an attempt to the outcome reported to the policy.
var outcomes = [...]balance.Outcome{
	record.Served:     balance.Served,
	record.Rejected:   balance.Saturated,
	record.Failed:     balance.Errored,
	record.Broken:     balance.Reset,
	record.NotReached: balance.ConnectFailed,
	record.Cancelled:  balance.Cancelled,
	record.TimedOut:   balance.TimedOut,
}

// outcome returns the outcome reported to the policy for an attempt that ended with status. As in the real sidecar, an
// attempt that was cancelled or timed out before its first byte was written has a different outcome.
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
