package report

import (
	"time"

	"milletramp.example/milletramp/internal/lab/record"
)

// outcome is how a first request stands, its client's retries included.
type outcome uint8

const (
	outcomeOpen outcome = iota
	outcomeInTime
	outcomeLate
	outcomeRejected
	outcomeFailed
	outcomeLeft // the client gave up
)

// served reports whether the client got what it asked for.
func (o outcome) served() bool { return o == outcomeInTime || o == outcomeLate }

// operation is a first request and its client's retries.
type operation struct {
	startedAt time.Duration
	class     uint8
	priority  float64 // of its class times its work
	outcome   outcome
	second    int // of the run
}

// addOutcome adds to the count that an operation of an outcome belongs to.
func (s *Second) addOutcome(operation *operation, outcome outcome, count float64) {
	switch outcome {
	case outcomeInTime:
		s.InTime += count
		s.EarnedPriority += count * operation.priority
	case outcomeLate:
		s.Late += count
	case outcomeRejected:
		s.Rejected += count
	case outcomeOpen, outcomeFailed, outcomeLeft:
		s.Failed += count
	}
}

// setOutcome moves an operation from one outcome to another.
func (m *Meter) setOutcome(operation *operation, to outcome) {
	second := &m.seconds[operation.second]
	second.addOutcome(operation, operation.outcome, -1)
	second.addOutcome(operation, to, 1)
	operation.outcome = to
}

// requested counts a client's request; a first one begins an operation.
func (m *Meter) requested(e *record.Event) {
	index := m.secondOf(e.At)
	second := &m.seconds[index]
	second.Requests++
	if e.Request == e.FirstRequest {
		priority := m.priorities[e.Class] * e.Work
		m.operations[e.FirstRequest] = &operation{startedAt: e.At, class: e.Class, priority: priority, second: index}
		second.FirstRequests++
		second.Priority += priority
		second.Failed++ // an open operation counts as failed
	}
	m.firstRequests[e.Request] = e.FirstRequest
	m.addInFlight(e.At, 1)
}

// requestEnded counts a response, or a client that left.
func (m *Meter) requestEnded(e *record.Event) {
	first, known := m.firstRequests[e.Request]
	if !known {
		return // the checker reports it
	}
	delete(m.firstRequests, e.Request)
	m.addInFlight(e.At, -1)
	operation := m.operations[first]
	if operation == nil {
		return
	}
	to := m.outcomeOf(operation, e)
	if !operation.outcome.served() {
		m.setOutcome(operation, to)
	}
	if to.served() {
		delete(m.operations, first)
	}
}

// outcomeOf is the outcome of an operation after an event that ended one of its requests. It counts what was served.
func (m *Meter) outcomeOf(operation *operation, e *record.Event) outcome {
	switch {
	case e.Kind == record.ClientLeft:
		return outcomeLeft
	case e.Status == record.Rejected:
		return outcomeRejected
	case e.Status == record.Served:
		return m.served(operation, e)
	}
	return outcomeFailed
}

// served counts a served response.
func (m *Meter) served(operation *operation, e *record.Event) outcome {
	to, stay := outcomeLate, e.At-operation.startedAt
	if stay <= m.latencyObjectives[operation.class] {
		to = outcomeInTime
		m.usefulWork += m.responseWork[e.Token]
	}
	delete(m.responseWork, e.Token)
	if operation.startedAt >= m.warmup {
		recordDuration(m.classLatencies[operation.class], stay)
		m.staySeconds += stay.Seconds()
		m.stays++
	}
	second := m.secondOf(e.At)
	if m.secondLatencies[second] == nil {
		m.secondLatencies[second] = newHistogram()
	}
	recordDuration(m.secondLatencies[second], stay)
	return to
}
