package balance

import (
	"math"
	"time"

	"milletramp.example/milletramp/internal/lossdetect"
)

// This file holds which attempts are taken to be lost, with the estimates of package lossdetect.

const (
	// usualLoss is the share of attempts lost where nothing is known.
	usualLoss = 0.001
	// learnMaxLoss is the share lost under which answers teach how long they take.
	learnMaxLoss = 0.03
	// partialLossShare is a share lost that is not silence: few losses in a row prove nothing.
	partialLossShare = 0.2
	// minTimeoutLoss is the least share lost for an attempt that outlasts its client.
	minTimeoutLoss = 0.05
	// totalLossShare is the share lost that ejects an endpoint, or ejects it for a class.
	totalLossShare = 0.95
	// maxPauseObjectives is after how many shortest objectives a silence is more than a pause.
	maxPauseObjectives = 6.0
)

// What an attempt leaves of the record of its class at its endpoint, of its endpoint and of the fleet.
const (
	classKeep    = 0.85
	endpointKeep = 0.93
	fleetKeep    = 0.995
)

// shapeMemory is the time in which the shape of answer times decays to 1/e.
const shapeMemory = 20 * time.Second

// classLossShare is the share of the class's attempts lost at e, from the records of the class there, of the
// endpoint and of the fleet.
func (b *Balancer) classLossShare(e *endpoint, class int) float64 {
	return e.classes[class].Loss.Share(b.usualLossShare(e))
}

// LossShare returns the share of a class that an endpoint is taken to lose: 1 where it is ejected for it, 0
// if the endpoint or the class is unknown.
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

// usualLossShare is the share of attempts lost at e that gives no alarm.
func (b *Balancer) usualLossShare(e *endpoint) float64 {
	return e.losses.Share(b.fleetLosses.Share(usualLoss))
}

// countLikelyLoss counts an attempt that is still in flight as lost by its probability, so that losses are
// known long before a client gives up.
func (b *Balancer) countLikelyLoss(q *request, a *attempt, now Time) {
	survival := b.answerTimes.Survival((now - a.sent).Seconds() / a.expectedNow)
	b.recordUnanswered(
		q.Class,
		a,
		survival,
		lossdetect.LossProbability(b.classLossShare(a.endpoint, q.Class), survival),
		now,
	)
}

// recordEnd records what the end of an attempt tells of losses.
func (b *Balancer) recordEnd(q *request, a *attempt, r Result, now Time) {
	e, out, share := a.endpoint, r.Took.Seconds()/a.expectedNow, b.classLossShare(a.endpoint, q.Class)
	switch {
	case r.Outcome == Served:
		if share < learnMaxLoss {
			b.answerTimes.Add(out)
		}
		e.silenceAlarm = 0
		if a.expectedAtSend > 0 {
			e.slowdown.Add(r.Took.Seconds() / a.expectedAtSend)
		}
		e.classes[q.Class].Served(b.usualLossShare(e), totalLossShare)
		b.recordLoss(q.Class, a, 0)
	case r.Outcome == TimedOut || r.Outcome == Cancelled && e.lastResponse >= a.sent:
		if r.Outcome == TimedOut { // few answers outlast a client
			share = max(share, minTimeoutLoss)
		}
		survival := b.answerTimes.Survival(out)
		lost := lossdetect.LossProbability(share, survival)
		if share < learnMaxLoss {
			b.answerTimes.AddCancelled(out, 1-lost)
		}
		b.recordUnanswered(q.Class, a, survival, lost, now)
	case a.lossProbability > 0:
		b.recordLoss(q.Class, a, 0)
	}
}

// recordUnanswered records an attempt that has had no answer; lost is the probability with which it counts as
// lost. An endpoint that loses all it gets is ejected, one that loses all of a class is ejected for it. One
// that loses a part has the rest of its capacity, and what is taken away from it would crowd the others,
// which then look late. So both ask for evidence that everything is lost, against the share usual there, and
// what was sent before an ejection tells nothing new.
func (b *Balancer) recordUnanswered(class int, a *attempt, survival, lost float64, now Time) {
	e := a.endpoint
	if e.lastResponse < a.sent { // slow or silent: it tells nothing of what it loses
		b.recordSilence(a, survival, now)
		return
	}
	var wait Time
	a.alarmWeight, wait = e.classes[class].Unanswered(
		a.sent,
		now,
		classEjectionTime,
		survival,
		b.usualLossShare(e),
		totalLossShare,
		a.alarmWeight,
	)
	if b.recordLoss(class, a, lost); wait > 0 {
		b.ejectForClass(e, class, now+Time((0.75+b.random.Float64()/2)*float64(wait)))
	}
}

// recordSilence records an attempt whose endpoint has answered nothing since it was sent. A pause of the
// endpoint holds up everything in flight there. That is one silence, not many: at first only what is sent
// after it was noticed reports whether it lasts.
func (b *Balancer) recordSilence(a *attempt, survival float64, now Time) {
	e := a.endpoint
	first := a.sent >= e.lastSilence
	lasts := (now - e.lastSilence).Seconds() >= maxPauseObjectives*b.objective
	if !a.countsAsSilence && (a.done || first || lasts) {
		a.countsAsSilence = true
		if first {
			e.lastSilence = now
		}
		b.notifyObserver(e, ObservedSilence)
		e.silenceAlarm.RecordFailure(survival, max(b.usualLossShare(e), partialLossShare), totalLossShare, 0)
	}
	if e.silenceAlarm.Raised() && a.sent >= e.ejectedUntil {
		b.eject(e, now)
	}
}

// recordLoss counts an attempt as lost by a probability, in place of the one that it counted with before.
func (b *Balancer) recordLoss(class int, a *attempt, lost float64) {
	for _, r := range []struct {
		record *lossdetect.LossRate
		keep   float64
	}{
		{&a.endpoint.classes[class].Loss, classKeep},
		{&a.endpoint.losses, endpointKeep},
		{&b.fleetLosses, fleetKeep},
	} {
		if a.lossProbability > 0 {
			r.record.Correct(a.lossProbability, lost)
		} else {
			r.record.Add(lost, r.keep)
		}
	}
	a.lossProbability = max(lost, math.SmallestNonzeroFloat64)
}
