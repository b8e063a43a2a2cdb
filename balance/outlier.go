package balance

import (
	"cmp"
	"math"
	"time"

	"milletramp.example/milletramp/internal/lossdetect"
)

// This file holds outlier detection: endpoints that fail, and their ejection.

const (
	// ejectFailureShare is the share of failures that ejects an endpoint.
	ejectFailureShare = 0.8
	// ejectionTime is how long an ejection lasts; the next failure after it ejects again.
	ejectionTime = 5 * time.Second
	// classEjectionTime is how long an endpoint that rejected a class gets no request of it.
	classEjectionTime = time.Second
)

// observations is what the sidecar has observed of an endpoint's process.
type observations struct {
	answerSeconds  float64                 // decaying sum of the seconds that answers took
	answerInFlight float64                 // and of the requests that were in flight then
	lastSample     Time                    // when an attempt last showed how fast it is
	endedAttempts  float64                 // decaying count of attempts that ended
	failedAttempts float64                 // and of those that failed
	failureAlarm   lossdetect.Alarm        // rings if it fails much more than the others
	lastFailure    Time                    // when a failure last counted
	ejectedUntil   Time                    // 0: never ejected
	losses         lossdetect.LossRate     // of attempts while it answered others
	silenceAlarm   lossdetect.Alarm        // rings if it loses everything
	lastSilence    Time                    // when a silence last counted
	slowdown       lossdetect.Slowdown     // of its latest answers, against what was expected of them
	classes        []lossdetect.ClassState // by class
}

// newObservations returns those of a process of which nothing is known.
func (b *Balancer) newObservations(now Time) observations {
	return observations{lastSample: now, classes: make([]lossdetect.ClassState, len(b.settings.Classes))}
}

// recordOutcome records what the end of an attempt tells of its endpoint. Where some connections are dead
// or swallow requests, each costs a timeout, of many answers' time. An endpoint that has answered since is
// not slow, as its answers tell, and not silent: what it loses is counted apart. One that is slow or
// overloaded is known by its late answers, a silent one by their lack.
func (b *Balancer) recordOutcome(a *attempt, r Result, now Time) {
	swallowed := r.Outcome == TimedOut && a.endpoint.lastResponse >= a.sent
	if r.Outcome == Served || r.Outcome == TimedOut && !swallowed {
		b.recordSample(a, r, now)
	}
	b.recordFailure(a, r, now)
}

// recordSample records how long an attempt was in flight, as a sample of how fast its endpoint is.
func (b *Balancer) recordSample(a *attempt, r Result, now Time) {
	e, took := a.endpoint, r.Took.Seconds()
	if r.Outcome == Served {
		e.homeGroup.lastResponse = now
	}
	if e.homeGroup.answeredLately(now) {
		b.loadLevel.Ended(took, r.Outcome == Served)
	}
	e.lastSample = now
	e.answerSeconds += took
	e.answerInFlight += a.inFlightThen
	for _, g := range b.groupsWithTimes(e) {
		g.lastSample = now
		g.answerSeconds += took
		g.answerInFlight += a.inFlightThen / e.Weight
	}
}

// groupsWithTimes returns the groups whose answer times include those of an endpoint.
func (b *Balancer) groupsWithTimes(e *endpoint) [3]*group {
	return [...]*group{e.homeGroup, b.allEndpoints, &b.zoneTimes[e.zoneIndex]}
}

// recordFailure counts an attempt for or against its endpoint, and ejects one that fails much more than the
// others: one that fails fast looks idle and draws all requests. Where connections break or answers come
// spoilt from all alike, each would be ejected for what the others do too, so the usual share is taken from
// the others. Connections that break together are one failure: only what is sent after it reports whether it
// lasts.
func (b *Balancer) recordFailure(a *attempt, r Result, now Time) {
	e := a.endpoint
	usual := (b.failedAttempts - e.failedAttempts) / math.Max(b.endedAttempts-e.endedAttempts, 1)
	e.endedAttempts++
	b.endedAttempts++
	switch r.Outcome {
	case Served:
		e.lastResponse = now
		e.failureAlarm.RecordSuccess(usual, ejectFailureShare)
		b.notifyObserver(e, ObservedAnswer)
		return
	case ConnectFailed:
		b.notifyObserver(e, ObservedRefusal)
	case Errored, Reset:
		b.notifyObserver(e, ObservedFailure)
	default:
		return
	}
	e.failedAttempts++
	b.failedAttempts++
	if a.sent < max(e.ejectedUntil, e.lastFailure) {
		return
	}
	e.lastFailure = now
	e.failureAlarm.RecordFailure(0, usual, ejectFailureShare, 0)
	if e.failureAlarm.Raised() {
		b.eject(e, now)
	}
}

// forgetObservations drops what was observed of an endpoint, as its process has restarted. What the servers
// of a lost zone did not answer would otherwise remain in the times of their group and in flight, so that
// they would be taken for slow, and left alone, when they are back.
func (b *Balancer) forgetObservations(e *endpoint, started, now Time) {
	for _, g := range b.groupsWithTimes(e) {
		g.answerSeconds = max(g.answerSeconds-e.answerSeconds, 0)
		g.answerInFlight = max(g.answerInFlight-e.answerInFlight/cmp.Or(e.Weight, 1), 0)
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

// eject keeps all requests from an endpoint for ejectionTime. The next failure after that ejects it again.
func (b *Balancer) eject(e *endpoint, now Time) {
	e.ejectedUntil = now + ejectionTime
	e.failureAlarm.Rearm()
	e.silenceAlarm.Rearm()
	b.actions.Log("ejected " + e.ID)
	b.takeSubsets(now)
}

// ejectForClass keeps a class from an endpoint until a time, after which one request tries it. It is logged
// once until an answer readmits the class.
func (b *Balancer) ejectForClass(e *endpoint, class int, until Time) {
	if e.classes[class].Eject(until) {
		b.actions.Log("shut " + e.ID + " to " + b.settings.Classes[class].Name)
	}
}
