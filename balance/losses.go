package balance

import (
	"math"
	"time"

	"milletramp.example/milletramp/internal/lossdetect"
)

// This file contains loss detection, based on the estimates of package lossdetect.

const (
	// defaultLossShare is the share of attempts assumed lost without any record.
	defaultLossShare = 0.001
	// maxLossShareForTimes is the loss share from which response times are not added to the distribution.
	maxLossShareForTimes = 0.03
	// partialLossShare is the loss share assumed for an endpoint with a partial loss. Such an endpoint still
	// responds, and a few consecutive losses are no evidence of a total loss.
	partialLossShare = 0.2
	// minTimeoutLossShare is the minimum loss share assumed for an attempt that ends with TimedOut.
	minTimeoutLossShare = 0.05
	// totalLossShare is the loss share at which an endpoint is ejected, altogether or for a class.
	totalLossShare = 0.95
	// maxPauseObjectives is the maximum length of a pause, as a multiple of the shortest latency objective.
	// If an endpoint does not respond for longer, it is not merely paused.
	maxPauseObjectives = 6.0
)

// Factors by which a new attempt decays the loss records of its class at its endpoint, of its endpoint and of
// the fleet.
const (
	classLossDecay    = 0.85
	endpointLossDecay = 0.93
	fleetLossDecay    = 0.995
)

// distributionTimeConstant is the time in which the distribution of response times decays to 1/e.
const distributionTimeConstant = 20 * time.Second

// classLossShare returns the estimated share of the class's attempts lost at e, from the records of the class
// at e, of e and of the fleet.
func (b *Balancer) classLossShare(e *endpoint, class int) float64 {
	return e.classes[class].Loss.Share(b.baselineLossShare(e))
}

// LossShare returns the estimated share of a class's attempts lost at an endpoint: 1 where the endpoint is
// ejected altogether or for the class, 0 if the endpoint or the class is unknown.
func (b *Balancer) LossShare(now Time, id string, class int) float64 {
	e := b.known[id]
	switch {
	case e == nil || class < 0 || class >= len(b.settings.Classes):
		return 0
	case now < e.ejectedUntil || e.classes[class].Ejected():
		return 1
	}
	return b.classLossShare(e, class)
}

// baselineLossShare returns the share of attempts lost at e that counts as normal.
func (b *Balancer) baselineLossShare(e *endpoint) float64 {
	return e.losses.Share(b.fleetLosses.Share(defaultLossShare))
}

// recordProbableLoss records an attempt in flight as lost with its current probability of loss, so that
// losses are detected long before a client times out.
func (b *Balancer) recordProbableLoss(q *request, a *attempt, now Time) {
	survival := b.responseTimes.Survival((now - a.sent).Seconds() / a.expectedNow)
	b.recordNoResponse(
		q.Class,
		a,
		survival,
		lossdetect.LossProbability(b.classLossShare(a.endpoint, q.Class), survival),
		now,
	)
}

// recordLossOutcome updates the loss records at the end of an attempt.
func (b *Balancer) recordLossOutcome(q *request, a *attempt, r Result, now Time) {
	e, multiple, share := a.endpoint, r.Took.Seconds()/a.expectedNow, b.classLossShare(a.endpoint, q.Class)
	switch {
	case r.Outcome == Served:
		if share < maxLossShareForTimes {
			b.responseTimes.Add(multiple)
		}
		e.silenceAlarm = 0
		if a.expectedAtSend > 0 {
			e.slowdown.Add(r.Took.Seconds() / a.expectedAtSend)
		}
		e.classes[q.Class].Served(b.baselineLossShare(e), totalLossShare)
		b.recordLoss(q.Class, a, 0)
	case r.Outcome == TimedOut || r.Outcome == Cancelled && e.lastResponse >= a.sent:
		if r.Outcome == TimedOut { // few responses take longer than the client waits
			share = max(share, minTimeoutLossShare)
		}
		survival := b.responseTimes.Survival(multiple)
		lost := lossdetect.LossProbability(share, survival)
		if share < maxLossShareForTimes {
			b.responseTimes.AddCancelled(multiple, 1-lost)
		}
		b.recordNoResponse(q.Class, a, survival, lost, now)
	case a.lossProbability > 0:
		b.recordLoss(q.Class, a, 0)
	}
}

// recordNoResponse records an attempt without a response; lost is its probability of loss. An endpoint that
// loses all attempts is ejected, and one that loses all attempts of a class is ejected for that class. An
// endpoint that loses a part of its attempts still has the rest of its capacity. Ejecting it would overload
// the other endpoints and delay their responses. Therefore both ejections require evidence of a total loss,
// tested against the baseline loss share of the endpoint. Attempts sent before an ejection are no new
// evidence.
func (b *Balancer) recordNoResponse(class int, a *attempt, survival, lost float64, now Time) {
	e := a.endpoint
	if e.lastResponse < a.sent { // the endpoint is slow or not responding; this is no evidence of loss
		b.recordSilence(a, survival, now)
		return
	}
	var wait Time
	a.alarmWeight, wait = e.classes[class].Unanswered(
		a.sent,
		now,
		classEjectionTime,
		survival,
		b.baselineLossShare(e),
		totalLossShare,
		a.alarmWeight,
	)
	if b.recordLoss(class, a, lost); wait > 0 {
		b.ejectForClass(e, class, now+Time((0.75+b.random.Float64()/2)*float64(wait)))
	}
}

// recordSilence records an attempt whose endpoint has been silent, which means without any response, since
// the attempt was sent. A pause of the endpoint delays all attempts in flight there and has to count as one
// silence. Therefore an attempt counts only if it was sent after the last silence was detected, if it has
// ended, or if that silence was detected at least maxPauseObjectives ago.
func (b *Balancer) recordSilence(a *attempt, survival float64, now Time) {
	e := a.endpoint
	first := a.sent >= e.lastSilence
	persists := (now - e.lastSilence).Seconds() >= maxPauseObjectives*b.objective
	if !a.countedAsSilence && (a.done || first || persists) {
		a.countedAsSilence = true
		if first {
			e.lastSilence = now
		}
		b.notifyObserver(e, ObservedNoResponse)
		e.silenceAlarm.RecordFailure(survival, max(b.baselineLossShare(e), partialLossShare), totalLossShare, 0)
	}
	if e.silenceAlarm.Raised() && a.sent >= e.ejectedUntil {
		b.eject(e, now)
	}
}

// recordLoss records the probability that an attempt is lost. It replaces a probability recorded earlier for
// the same attempt.
func (b *Balancer) recordLoss(class int, a *attempt, lost float64) {
	for _, r := range []struct {
		record *lossdetect.LossRate
		decay  float64
	}{
		{&a.endpoint.classes[class].Loss, classLossDecay},
		{&a.endpoint.losses, endpointLossDecay},
		{&b.fleetLosses, fleetLossDecay},
	} {
		if a.lossProbability > 0 {
			r.record.Correct(a.lossProbability, lost)
		} else {
			r.record.Add(lost, r.decay)
		}
	}
	a.lossProbability = max(lost, math.SmallestNonzeroFloat64)
}
