package balance

import (
	"time"

	"milletramp.example/milletramp/internal/lossdetect"
)

// This file holds attempts that take too long, and hedged requests.

const (
	// hedgeProbability is the probability of loss at which an attempt is made anew.
	hedgeProbability = 0.5
	// retryBudgetRatio is how many further attempts a success pays for: what a quarter lost takes.
	// retryBudgetMax is how many may be saved up.
	retryBudgetRatio = 1.0 / 3
	retryBudgetMax   = 20.0
	// minCheckDelay is the least time in seconds between two looks at an attempt.
	minCheckDelay = 0.005
	// lateDeviations is after how many mean deviations from the mean time an answer is late: few take
	// longer. In any case it is late after lateObjectiveShare of its class's objective.
	lateDeviations     = 4.0
	lateObjectiveShare = 0.5
)

// scheduleCheck asks for a timer by which an attempt is looked at.
func (b *Balancer) scheduleCheck(seconds float64, token uint64) {
	b.actions.Timer(time.Duration(max(seconds, minCheckDelay)*float64(time.Second)), token)
}

// checkAttempt looks at an attempt that has been in flight for long, and again until its end: an endpoint may
// be silent for a while, answer others later and never this one. Where the endpoint answers others, the
// attempt's connection is dead, and counting it would make the endpoint look slow and full for all.
func (b *Balancer) checkAttempt(q *request, n int, token uint64, now Time) {
	if q == nil || n >= len(q.attempts) || q.attempts[n].done || q.ended {
		return
	}
	a, out := &q.attempts[n], (now - q.attempts[n].sent).Seconds()
	answers := a.endpoint.lastResponse >= a.sent
	slowdown := a.endpoint.slowdown.Factor()
	a.expectedNow = max(a.expectedNow, b.expectedWithout(a, q.Class, now)*slowdown)
	delay, next := b.hedgeDelay(q, a), tickEvery.Seconds()
	// A slow endpoint whose late attempts do not count any more looks idle, and draws requests.
	if answers && out >= min(delay, b.lateThreshold(q.Class)*slowdown) {
		a.releaseInFlight()
	}
	if !answers && !a.reportedLate && out >= b.lateThreshold(q.Class) {
		a.reportedLate = true
		b.notifyObserver(a.endpoint, ObservedLate)
	}
	if delay > out {
		next = min(next, delay-out)
	} else {
		if !a.hedged || a.endpoint.lastResponse < a.sent {
			b.countLikelyLoss(q, a, now)
		}
		if !a.hedged {
			b.hedge(q, n, now)
		}
	}
	b.scheduleCheck(next, token)
}

// expectedWithout is the answer time in seconds that can be expected now at an attempt's endpoint. One that
// has slowed since the sending would otherwise be taken to lose what it still owes. The wait of the attempt
// itself does not count: it would never look lost where little else is in flight.
func (b *Balancer) expectedWithout(a *attempt, class int, now Time) float64 {
	waited := now - a.sent
	a.endpoint.dueSinceSum += waited
	expected := b.expectedForClass(b.expectedTime(a.endpoint, now), class)
	a.endpoint.dueSinceSum -= waited
	return expected
}

// hedge makes an attempt that seems lost anew elsewhere, while the first is still in flight where that is
// allowed. Where answers just come late, further attempts add to the load that makes them late. So a hedge
// goes only where there is capacity, to an endpoint that loses no more, and is paid from the retry budget.
func (b *Balancer) hedge(q *request, n int, now Time) {
	a := &q.attempts[n]
	allowed := b.settings.HedgingAllowed || b.settings.CancelAllowed
	if !allowed || q.outstanding > 1 || len(q.attempts) >= b.settings.MaxAttempts || now >= q.deadline {
		return
	}
	to := b.chooseInPass(q, passUsual, now).endpoint
	if to == nil {
		return
	}
	answers := a.endpoint.lastResponse >= a.sent
	if answers && b.classLossShare(to, q.Class) > b.classLossShare(a.endpoint, q.Class) {
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
	q.prepaid = true
	a.releaseInFlight()
	b.actions.Cancel(q.ID, n) // its result leads to the next attempt
}

// hedgeDelay is the time in seconds after which an attempt is more likely lost than not. An endpoint that
// never lost anything may fall silent all the same, so some loss is assumed while it does not answer.
func (b *Balancer) hedgeDelay(q *request, a *attempt) float64 {
	share := b.classLossShare(a.endpoint, q.Class)
	if a.endpoint.lastResponse < a.sent {
		share = max(share, usualLoss)
	}
	return a.expectedNow * b.answerTimes.InverseSurvival(lossdetect.SurvivalForLoss(share, hedgeProbability))
}

// lateThreshold is the time in seconds after which an answer of the class is late.
func (b *Balancer) lateThreshold(class int) float64 {
	return min(
		b.meanTime[class]+lateDeviations*b.timeDeviation[class],
		lateObjectiveShare*b.settings.Classes[class].LatencyObjective.Seconds(),
	)
}
