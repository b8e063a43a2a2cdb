package balance

import (
	"cmp"
	"math"
	"time"

	"milletramp.example/milletramp/internal/lossdetect"
)

// This file contains outlier detection and ejection.

const (
	// ejectFailureShare is the failure share at which an endpoint is ejected.
	ejectFailureShare = 0.8
	// ejectionTime is the duration of an ejection; the next failure after it ejects the endpoint again.
	ejectionTime = 5 * time.Second
	// classEjectionTime is the duration of an ejection for a class after a rejection. After lost attempts,
	// the first ejection takes about as long, and each failed probe doubles the time, up to four times.
	classEjectionTime = time.Second
)

// observations is what the sidecar has observed of the current process of an endpoint.
type observations struct {
	responseSeconds  float64                 // decaying sum of response times, in seconds
	responseInFlight float64                 // decaying sum, over these, of the requests in flight when sent
	lastSample       Time                    // when an attempt last yielded a response time
	endedAttempts    float64                 // decaying count of attempts that ended
	failedAttempts   float64                 // decaying count of attempts that failed
	failureAlarm     lossdetect.Alarm        // raised if the endpoint fails much more than the others
	lastFailure      Time                    // when a failure was last counted
	ejectedUntil     Time                    // 0: never ejected
	losses           lossdetect.LossRate     // losses while the endpoint responded to other attempts
	silenceAlarm     lossdetect.Alarm        // raised if the endpoint loses all attempts
	lastSilence      Time                    // when the endpoint was last detected as silent
	slowdown         lossdetect.Slowdown     // of recent response times relative to the expected ones
	classes          []lossdetect.ClassState // by class
}

// newObservations returns the observations of a process without any history.
func (b *Balancer) newObservations(now Time) observations {
	return observations{lastSample: now, classes: make([]lossdetect.ClassState, len(b.settings.Classes))}
}

// recordOutcome records the end of an attempt at its endpoint. On a dead connection, an attempt ends with a
// timeout, which is many times the response time. An endpoint that has responded since the attempt was sent
// is neither slow nor silent. Therefore such a timeout is no sample of its response time, and its losses are
// counted separately. A slow or overloaded endpoint is detected by late responses, and a silent one by
// missing responses.
func (b *Balancer) recordOutcome(a *attempt, r Result, now Time) {
	lost := r.Outcome == TimedOut && a.endpoint.lastResponse >= a.sent
	if r.Outcome == Served || r.Outcome == TimedOut && !lost {
		b.recordTimeSample(a, r, now)
	}
	if r.Outcome == Served && r.Streaming {
		b.recordResponse(a.endpoint, now)
		return
	}
	b.recordFailure(a.endpoint, a.sent, r.Outcome, now)
}

// StreamEnded records the end of a streamed response. An endpoint whose responses begin and then break counts
// as failing, like one whose attempts fail: the beginning of a response is no success.
func (b *Balancer) StreamEnded(now Time, end StreamEnd) {
	e := b.known[end.Endpoint]
	if e != nil && end.Sent >= e.Started { // responses of a previous process do not apply to the current one
		b.recordFailure(e, end.Sent, end.Outcome, now)
	}
}

// recordResponse records that an endpoint has responded.
func (b *Balancer) recordResponse(e *endpoint, now Time) {
	e.lastResponse = now
	b.notifyObserver(e, ObservedResponse)
}

// recordTimeSample records the time that an attempt was in flight as a sample of its endpoint's response
// time.
func (b *Balancer) recordTimeSample(a *attempt, r Result, now Time) {
	e, took := a.endpoint, r.Took.Seconds()
	if r.Outcome == Served {
		e.homeGroup.lastResponse = now
	}
	if e.homeGroup.respondedRecently(now) {
		b.loadLevel.Ended(took, r.Outcome == Served)
	}
	e.lastSample = now
	e.responseSeconds += took
	e.responseInFlight += a.inFlightAtSend
	for _, g := range b.responseTimeGroups(e) {
		g.lastSample = now
		g.responseSeconds += took
		g.responseInFlight += a.inFlightAtSend / e.Weight
	}
}

// responseTimeGroups returns the groups whose response times include those of an endpoint.
func (b *Balancer) responseTimeGroups(e *endpoint) [3]*group {
	return [...]*group{e.homeGroup, b.allEndpoints, &b.zoneResponseTimes[e.zoneIndex]}
}

// recordFailure counts the outcome of an attempt as a success or a failure of its endpoint, and ejects an
// endpoint that fails much more often than the others. An endpoint that fails fast would otherwise seem idle
// and get all requests. The failure share is compared with that of the other endpoints: if connections break
// or responses are invalid at all endpoints alike, an absolute limit would eject each of them. Connections
// that break together count as one failure. Only attempts sent after that failure show whether the fault
// persists.
func (b *Balancer) recordFailure(e *endpoint, sent Time, outcome Outcome, now Time) {
	othersShare := (b.failedAttempts - e.failedAttempts) / math.Max(b.endedAttempts-e.endedAttempts, 1)
	e.endedAttempts++
	b.endedAttempts++
	switch outcome {
	case Served:
		e.failureAlarm.RecordSuccess(othersShare, ejectFailureShare)
		b.recordResponse(e, now)
		return
	case ConnectFailed:
		b.notifyObserver(e, ObservedConnectFailure)
	case Errored, Reset:
		b.notifyObserver(e, ObservedFailure)
	default:
		return
	}
	e.failedAttempts++
	b.failedAttempts++
	if sent < max(e.ejectedUntil, e.lastFailure) {
		return
	}
	e.lastFailure = now
	e.failureAlarm.RecordFailure(0, othersShare, ejectFailureShare, 0)
	if e.failureAlarm.Raised() {
		b.eject(e, now)
	}
}

// forgetObservations discards the observations of an endpoint whose process has restarted. Otherwise, when a
// failed zone returns, the requests to its servers that had no response would remain in the response times of
// their group and in the in-flight counts. The servers would count as slow and get no requests.
func (b *Balancer) forgetObservations(e *endpoint, started, now Time) {
	for _, g := range b.responseTimeGroups(e) {
		g.responseSeconds = max(g.responseSeconds-e.responseSeconds, 0)
		g.responseInFlight = max(g.responseInFlight-e.responseInFlight/cmp.Or(e.Weight, 1), 0)
	}
	e.observations = b.newObservations(now)
	for _, q := range b.requests {
		for i := range q.attempts {
			if a := &q.attempts[i]; a.endpoint == e && !a.done && a.sent < started {
				a.releaseInFlight()
			}
		}
	}
}

// eject stops all requests to an endpoint for ejectionTime. The next failure after that ejects it again.
func (b *Balancer) eject(e *endpoint, now Time) {
	e.ejectedUntil = now + ejectionTime
	e.failureAlarm.Rearm()
	e.silenceAlarm.Rearm()
	b.actions.Log("ejected " + e.ID)
	b.chooseSubsets(now)
}

// ejectForClass stops the requests of a class to an endpoint until the given time, after which a single
// request probes it. The ejection is logged once until a response readmits the class.
func (b *Balancer) ejectForClass(e *endpoint, class int, until Time) {
	if e.classes[class].Eject(until) {
		b.actions.Log("server " + e.ID + " ejected for class " + b.settings.Classes[class].Name)
	}
}
