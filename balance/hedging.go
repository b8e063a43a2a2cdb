package balance

import (
	"time"

	"milletramp.example/milletramp/internal/lossdetect"
)

// This file contains the checks of late attempts, and hedged requests.

const (
	// hedgeProbability is the probability of loss at which an attempt is hedged.
	hedgeProbability = 0.5
	// retryBudgetRatio is the number of further attempts that a successful one adds to the retry budget: enough
	// for a loss of a quarter of the attempts. retryBudgetMax is the maximum of the budget.
	retryBudgetRatio = 1.0 / 3
	retryBudgetMax   = 20.0
	// minCheckDelay is the minimum time in seconds between two checks of an attempt.
	minCheckDelay = 0.005
	// A response is late once it takes longer than the mean response time plus lateDeviations mean
	// deviations, as few responses do, or than lateObjectiveShare of its class's latency objective.
	lateDeviations     = 4.0
	lateObjectiveShare = 0.5
)

// scheduleAttemptCheck requests a timer for the check of an attempt.
func (b *Balancer) scheduleAttemptCheck(seconds float64, token uint64) {
	b.actions.Timer(time.Duration(max(seconds, minCheckDelay)*float64(time.Second)), token)
}

// checkAttempt checks an attempt that has been in flight for long, and schedules further checks until the
// attempt ends: an endpoint may pause, then respond to other attempts and never to this one. If the endpoint
// responds to others, the connection of this attempt is probably dead. The attempt then no longer counts as
// in flight; otherwise the endpoint would seem slow and at capacity for all requests.
func (b *Balancer) checkAttempt(q *request, n int, token uint64, now Time) {
	if q == nil || n >= len(q.attempts) || q.attempts[n].done || q.ended {
		return
	}
	a, elapsed := &q.attempts[n], (now - q.attempts[n].sent).Seconds()
	answersOthers := a.endpoint.lastResponse >= a.sent
	slowdown := a.endpoint.slowdown.Factor()
	a.expectedNow = max(a.expectedNow, b.expectedWithoutAttempt(a, q.Class, now)*slowdown)
	delay, nextCheck := b.hedgeDelay(q, a), tickInterval.Seconds()
	// The threshold includes the slowdown. Otherwise the late attempts of a slow endpoint would no longer
	// count as in flight, and the endpoint would seem idle and get more requests.
	if answersOthers && elapsed >= min(delay, b.lateThreshold(q.Class)*slowdown) {
		a.releaseInFlight()
	}
	if !answersOthers && !a.reportedLate && elapsed >= b.lateThreshold(q.Class) {
		a.reportedLate = true
		b.notifyObserver(a.endpoint, ObservedLate)
	}
	if delay > elapsed {
		nextCheck = min(nextCheck, delay-elapsed)
	} else {
		if !a.hedged || a.endpoint.lastResponse < a.sent {
			b.recordProbableLoss(q, a, now)
		}
		if !a.hedged {
			b.hedge(q, n, now)
		}
	}
	b.scheduleAttemptCheck(nextCheck, token)
}

// expectedWithoutAttempt returns the response time in seconds currently expected at the endpoint of an
// attempt. The time expected at sending may be too short: if the endpoint has slowed down since then, the
// attempts that it is still processing would count as lost. The waiting time of the attempt itself is
// excluded. With few other attempts in flight there, it would continuously raise the expected time, and the
// attempt would never count as lost.
func (b *Balancer) expectedWithoutAttempt(a *attempt, class int, now Time) float64 {
	waited := now - a.sent
	a.endpoint.waitingSinceSum += waited
	expected := b.expectedForClass(b.expectedTime(a.endpoint, now), class)
	a.endpoint.waitingSinceSum -= waited
	return expected
}

// hedge sends a second attempt for one that is probably lost. The first attempt remains in flight if
// HedgingAllowed is set, and is cancelled otherwise. If responses are merely late, further attempts add to
// the load that delays them. Therefore the second attempt is charged to the retry budget and sent only to an
// endpoint below capacity. If the first endpoint responds to other attempts, the second one must not have a
// higher loss share.
func (b *Balancer) hedge(q *request, n int, now Time) {
	a := &q.attempts[n]
	allowed := b.settings.HedgingAllowed || b.settings.CancelAllowed
	if !allowed || q.outstanding > 1 || len(q.attempts) >= b.settings.MaxAttempts || now >= q.deadline {
		return
	}
	to := b.selectInPass(q, passNormal, now).endpoint
	if to == nil {
		return
	}
	answersOthers := a.endpoint.lastResponse >= a.sent
	if answersOthers && b.classLossShare(to, q.Class) > b.classLossShare(a.endpoint, q.Class) {
		return
	}
	if !b.retryBudget.Spend(q.Class) {
		return
	}
	a.hedged = true
	if b.settings.HedgingAllowed {
		b.send(q, to, now)
		return
	}
	q.retryPaid = true
	a.releaseInFlight()
	b.actions.Cancel(q.ID, n) // its Result triggers the next attempt
}

// ResponseStalled records that a part of the response to an attempt has arrived, and then nothing for long.
// Its endpoint may continue, so the attempt remains in flight. If the settings allow two attempts at a time,
// the request is hedged.
func (b *Balancer) ResponseStalled(now Time, id RequestID, attempt int) {
	q := b.requests[id]
	if q == nil || attempt < 0 || attempt >= len(q.attempts) || q.attempts[attempt].done || q.ended {
		return
	}
	if b.settings.HedgingAllowed && !q.attempts[attempt].hedged {
		b.hedge(q, attempt, now)
	}
}

// hedgeDelay returns the time in seconds after which an attempt is more likely lost than not. An endpoint
// without any previous loss may stop responding, too, so a minimum loss share is assumed while it does not
// respond.
func (b *Balancer) hedgeDelay(q *request, a *attempt) float64 {
	share := b.classLossShare(a.endpoint, q.Class)
	if a.endpoint.lastResponse < a.sent {
		share = max(share, defaultLossShare)
	}
	return a.expectedNow * b.responseTimes.InverseSurvival(lossdetect.SurvivalForLoss(share, hedgeProbability))
}

// lateThreshold returns the time in seconds after which a response of the class is late.
func (b *Balancer) lateThreshold(class int) float64 {
	return min(
		b.meanResponseTime[class]+lateDeviations*b.responseTimeDeviation[class],
		lateObjectiveShare*b.settings.Classes[class].LatencyObjective.Seconds(),
	)
}
