package balance

import (
	"cmp"
	"math"
	"time"

	"milletramp.example/milletramp/internal/repeats"
)

const (
	tickEvery            = 100 * time.Millisecond // housekeeping
	memory               = 6 * time.Second        // what answers have taught fades by 1/e in this time
	recentMemory         = time.Second            // and what tells how long they take just now in this
	fullFactor           = 2.5                    // of the usual time for its size when idle: below it none is full
	unseenRequests       = 1.0                    // requests of others that each endpoint is taken to hold
	priorRequests        = 2.0                    // requests held by which an endpoint's own record outweighs its peers'
	totalLossShare       = 0.95                   // share lost that shuts a class out, or ejects an endpoint
	ejectFailureShare    = 0.8                    // share of faults that ejects it
	lateDeviations       = 4.0                    // mean distances from the mean time: few answers take longer
	lateObjectiveShare   = 0.5                    // of the class's aim: what is out for longer is late in any case
	hedgeProbability     = 0.5                    // probability of loss at which an attempt is made anew
	retryBudgetRatio     = 1.0 / 3                // further attempts that a success pays for: what a quarter lost takes
	retryBudgetMax       = 20.0                   // and that may be put by
	minCheckDelay        = 0.005                  // seconds after which an attempt is looked at again at least
	usualLoss            = 0.001                  // share of attempts lost where nothing is known
	learnMaxLoss         = 0.03                   // share lost under which answers teach how long they take
	partialLossShare     = 0.2                    // share lost that is not silence: so few in a row prove nothing
	minTimeoutLoss       = 0.05                   // share lost at least, for an attempt that outlasts its client
	maxPauseObjectives   = 6.0                    // shortest aims after which a silence is more than a pause
	classKeep            = 0.85                   // what an attempt leaves of its class's record at its endpoint
	endpointKeep         = 0.93                   // of its endpoint's
	fleetKeep            = 0.995                  // and of the fleet's
	shapeMemory          = 20 * time.Second       // the shape of answer times fades by 1/e in this time
	ejectionTime         = 5 * time.Second        // an ejection lasts; the next fault after it is another
	classEjectionTime    = time.Second            // an endpoint that turned a class away is not asked again
	maxSuspectedShare    = 0.5                    // of the ready size: so much at most others' word puts behind the rest
	peerReportLifetime   = 3 * time.Second        // after it was written it counts for nothing
	panicThreshold       = 0.5                    // of the ready size: with more ejected, the fault is likely our own
	spillObjectiveShare  = 0.5                    // of the shortest aim: above it an endpoint is full
	crossZoneObjectives  = 8.0                    // of the crossing charge, in aims: an answer that much sooner pays
	rejectObjectiveShare = 0.85                   // of the shortest aim: no answer expected later is worth its work
	// Of the time for which repeats are dropped, what is left free before a repeat is chosen, and before its last byte
	// is sent: it may be held up after the host has checked its time, and then has its way to go.
	repeatMargin          = time.Second / 2
	arrivalMargin         = SchedulingStall + networkMargin
	networkMargin         = 25 * time.Millisecond
	meanTimeStep          = 0.05    // weight of an answer in the mean time of its class
	overAllowanceFactor   = 0.5     // bar of requests beyond an allowance, as a share of their class's
	maxAttemptsPerRequest = 1 << 12 // of a request, that timers can tell apart
	maxClasses            = 256     // that may come and go by new settings
	minZoneWeight         = 0.001   // weight of other zones at least: enough to know them
	zoneWeightStep        = 0.03    // of the way to go, what a tick moves the weight of other zones
)

// secondsPerRequest is the time to get through a request held for each unit of size: answer times over held.
func (g *group) secondsPerRequest() float64 {
	return g.answerSeconds / math.Max(g.answerInFlight, 1e-9)
}

// zoneSecondsPerRequest is that time in the own zone and in others. Danger: each answer of another zone takes the way there
// and back, and an idle endpoint there would pass for a full one. Where little is known, the fleet's counts.
func (b *Balancer) zoneSecondsPerRequest() (at [2]float64) {
	for i := range at {
		at[i] = (b.zoneTimes[i].answerSeconds + priorRequests*b.allEndpoints.secondsPerRequest()) / (b.zoneTimes[i].answerInFlight + priorRequests)
	}
	return at
}

// overloadLimit is the expected answer time in seconds above which a class is refused while it is tight. Worth for
// each second that answers take counts: a class that has a quarter of the dearest's waits half as long.
func (b *Balancer) overloadLimit(class int) float64 {
	own := b.settings.Classes[class].Priority / b.meanTime[class]
	dearest := math.SmallestNonzeroFloat64
	for i, c := range b.settings.Classes {
		if !b.removedClasses[i] {
			dearest = math.Max(dearest, c.Priority/b.meanTime[i])
		}
	}
	return rejectObjectiveShare * b.objective * math.Sqrt(own/dearest)
}

// expectedTime is the answer time in seconds that a request sent now can expect, from what the endpoint's answers
// took for each request held. A little-used one is judged by its group, as kinds and zones are not equally
// loaded, and a little-used group by the fleet. Danger: a sidecar that believes the fleet too slow sends
// nothing and never learns better. So what is not tested is believed in less and less, until a request tries
// it, one at a time. Danger: where all is full, each of many sidecars would try each endpoint in turn, and
// such tries alone keep the fleet full. So what is not tested is taken to be like its group, not to be idle,
// and a group like the fleet; the fleet is doubted only when nothing at all has been heard.
// Danger: a cold endpoint can do less at a time, but answers what finds it idle as soon as a warm one.
func (b *Balancer) expectedTime(e *endpoint, now Time) float64 {
	fleet := b.allEndpoints.secondsPerRequest()
	group := (e.homeGroup.answerSeconds + e.homeGroup.waitingSeconds + priorRequests*fleet) / (e.homeGroup.answerInFlight + priorRequests)
	drain := (e.answerSeconds + e.waitingSeconds(now) + priorRequests*group/e.Weight) / (e.answerInFlight + priorRequests)
	if e.inFlight == 0 && drain > rejectObjectiveShare*b.objective/(1+unseenRequests) { // others are tested in turn
		group = regress(group, fleet, now-e.homeGroup.lastSample)
		drain = regress(drain, group/e.Weight, now-e.lastSample)
		drain = regress(drain, 0, now-b.allEndpoints.lastSample)
	}
	return (float64(e.inFlight)/e.warmth + 1 + unseenRequests) * drain
}

// regress is what is left of a belief that has not been tested for some time, where less is believed of the like
// of it.
func regress(belief, like float64, untested time.Duration) float64 {
	return like + max(belief-like, 0)*max(0, 1-untested.Seconds()/memory.Seconds()) + min(belief-like, 0)
}

// waitingSeconds is the sum in seconds of how long the requests in flight have been out. Danger: the first answers to
// come are the quick ones; a slowed endpoint owes answers before its answers tell; a dead one looks idle.
func (e *endpoint) waitingSeconds(now Time) float64 {
	return (now*Time(e.inFlight) - e.dueSinceSum).Seconds()
}

// lateThreshold is the time in seconds after which an answer of the class is late.
func (b *Balancer) lateThreshold(class int) float64 {
	return min(b.meanTime[class]+lateDeviations*b.timeDeviation[class], lateObjectiveShare*b.settings.Classes[class].LatencyObjective.Seconds())
}

// expectedForClass is the time in seconds that an answer of the class can be expected to take, 0 where nothing is known.
func (b *Balancer) expectedForClass(expect float64, class int) float64 {
	return b.meanTime[class] * max(expect/b.meanTimeOfAll, 0.25)
}

// classLossShare is the share of the class lost at e, from the records of the class there, the endpoint and the fleet.
func (b *Balancer) classLossShare(e *endpoint, class int) float64 {
	return e.classes[class].Loss.Share(b.usualLossShare(e))
}

// LossShare is the share of a class that an endpoint is taken to lose: 1 where it gets none of it, 0 if unknown.
func (b *Balancer) LossShare(now Time, id string, class int) float64 {
	e := b.known[id]
	switch {
	case e == nil || class < 0 || class >= len(b.settings.Classes):
		return 0
	case now < e.ejectedUntil || e.classes[class].Shut():
		return 1
	}
	return b.classLossShare(e, class)
}

// usualLossShare is the share of attempts lost at e that is no alarm.
func (b *Balancer) usualLossShare(e *endpoint) float64 {
	return e.losses.Share(b.fleetLosses.Share(usualLoss))
}

// hedgeDelay is the time in seconds after which an attempt is more likely lost than not. Danger: an endpoint
// that never lost anything may fall silent all the same.
func (b *Balancer) hedgeDelay(q *request, a *attempt) float64 {
	share := b.classLossShare(a.endpoint, q.Class)
	if a.endpoint.lastResponse < a.sent {
		share = max(share, usualLoss)
	}
	return a.expectedNow * b.answerTimes.Beyond(repeats.Until(share, hedgeProbability))
}

// countLikelyLoss has an attempt that is still out count as lost by its probability, so that losses are known long
// before a client gives up.
func (b *Balancer) countLikelyLoss(q *request, a *attempt, now Time) {
	survival := b.answerTimes.Survival((now - a.sent).Seconds() / a.expectedNow)
	b.recordUnanswered(q.Class, a, survival, repeats.Lost(b.classLossShare(a.endpoint, q.Class), survival), now)
}

// recordEnd takes in what the end of an attempt tells of losses.
func (b *Balancer) recordEnd(q *request, a *attempt, r Result, now Time) {
	e, out, share := a.endpoint, r.Took.Seconds()/a.expectedNow, b.classLossShare(a.endpoint, q.Class)
	switch {
	case r.Outcome == Served:
		if share < learnMaxLoss {
			b.answerTimes.Answered(out)
		}
		e.silenceAlarm = 0
		if a.expectedAtSend > 0 {
			e.slowdown.Answered(r.Took.Seconds() / a.expectedAtSend)
		}
		e.classes[q.Class].Served(b.usualLossShare(e), totalLossShare)
		b.recordLoss(q.Class, a, 0)
	case r.Outcome == TimedOut || r.Outcome == Cancelled && e.lastResponse >= a.sent:
		if r.Outcome == TimedOut { // few answers outlast a client
			share = max(share, minTimeoutLoss)
		}
		survival := b.answerTimes.Survival(out)
		lost := repeats.Lost(share, survival)
		if share < learnMaxLoss {
			b.answerTimes.CalledOff(out, 1-lost)
		}
		b.recordUnanswered(q.Class, a, survival, lost, now)
	case a.lossProbability > 0:
		b.recordLoss(q.Class, a, 0)
	}
}

// recordUnanswered enters an attempt that has had no answer. An endpoint that loses all it gets is ejected, one
// that loses all of a class is shut to it. Danger: one that loses a part has the rest of its capacity, and
// what is taken away from it crowds the others, which then look late. So both ask for evidence that all is
// lost, against the share usual there, and what was sent before tells nothing new.
func (b *Balancer) recordUnanswered(class int, a *attempt, survival, lost float64, now Time) {
	e := a.endpoint
	if e.lastResponse < a.sent { // slow or silent: it tells nothing of what it loses
		// Danger: a pause of the endpoint holds up all that is out there. That is one silence, not many: at first
		// only what is sent after it was noticed tells whether it lasts.
		news := a.sent >= e.lastSilence
		if !a.countsAsSilence && (a.done || news || (now-e.lastSilence).Seconds() >= maxPauseObjectives*b.objective) {
			if a.countsAsSilence = true; news {
				e.lastSilence = now
			}
			b.notifyObserver(e, ObservedSilence)
			e.silenceAlarm.Bad(survival, max(b.usualLossShare(e), partialLossShare), totalLossShare, 0)
		}
		if e.silenceAlarm.Rings() && a.sent >= e.ejectedUntil {
			b.eject(e, now)
		}
		return
	}
	var wait Time
	a.alarmWeight, wait = e.classes[class].Unanswered(a.sent, now, classEjectionTime, survival, b.usualLossShare(e), totalLossShare, a.alarmWeight)
	if b.recordLoss(class, a, lost); wait > 0 {
		b.ejectForClass(e, class, now+Time((0.75+b.random.Float64()/2)*float64(wait)))
	}
}

// recordLoss counts an attempt as lost by a probability, in place of the one that it counted with before.
func (b *Balancer) recordLoss(class int, a *attempt, lost float64) {
	for i, r := range [...]*repeats.Record{&a.endpoint.classes[class].Loss, &a.endpoint.losses, &b.fleetLosses} {
		if a.lossProbability > 0 {
			r.Correct(a.lossProbability, lost)
		} else {
			r.Add(lost, [...]float64{classKeep, endpointKeep, fleetKeep}[i])
		}
	}
	a.lossProbability = max(lost, math.SmallestNonzeroFloat64)
}

// recordOutcome takes in how an attempt ended. Danger: where some connections are dead or swallow requests, each
// costs a time-out, of many answers' time. An endpoint that has answered since is not slow, as its answers
// tell, and not silent: what it loses is counted apart. One that is slow or overloaded is known by its late
// answers, a silent one by their lack.
func (b *Balancer) recordOutcome(a *attempt, r Result, now Time) {
	e := a.endpoint
	swallowed := r.Outcome == TimedOut && e.lastResponse >= a.sent
	if r.Outcome == Served || r.Outcome == TimedOut && !swallowed {
		if r.Outcome == Served {
			e.homeGroup.lastResponse = now
		}
		if e.homeGroup.answeredLately(now) {
			b.loadLevel.Ended(r.Took.Seconds(), r.Outcome == Served)
		}
		e.lastSample = now
		e.answerSeconds += r.Took.Seconds()
		e.answerInFlight += a.inFlightThen
		for _, g := range [...]*group{e.homeGroup, b.allEndpoints, &b.zoneTimes[e.zoneIndex]} {
			g.lastSample = now
			g.answerSeconds += r.Took.Seconds()
			g.answerInFlight += a.inFlightThen / e.Weight
		}
	}
	// Danger: an endpoint that fails fast looks idle and draws all requests. Where connections break or answers
	// come spoilt from all alike, each would be ejected for what the others do too: what is usual is taken from
	// them. Connections that break together are one fault: only what is sent after it tells whether it lasts.
	usual := (b.failedAttempts - e.failedAttempts) / math.Max(b.endedAttempts-e.endedAttempts, 1)
	e.endedAttempts, b.endedAttempts = e.endedAttempts+1, b.endedAttempts+1
	switch r.Outcome {
	case Served:
		e.lastResponse = now
		e.failureAlarm.Good(usual, ejectFailureShare)
		b.notifyObserver(e, ObservedAnswer)
	case Errored, ConnectFailed, Reset:
		b.notifyObserver(e, map[bool]Observation{true: ObservedRefusal, false: ObservedFailure}[r.Outcome == ConnectFailed])
		e.failedAttempts, b.failedAttempts = e.failedAttempts+1, b.failedAttempts+1
		if a.sent >= max(e.ejectedUntil, e.lastFailure) {
			e.lastFailure = now
			if e.failureAlarm.Bad(0, usual, ejectFailureShare, 0); e.failureAlarm.Rings() {
				b.eject(e, now)
			}
		}
	}
}

func (b *Balancer) notifyObserver(e *endpoint, s Observation) {
	if b.observer != nil {
		b.observer.Observe(e.ID, s)
	}
}

// suspectedByPeers tells whether the word of others stands against e. Danger: it may be false, or old. An own answer
// since goes before it, and so does a start; it never opens what the own eyes have shut.
func (b *Balancer) suspectedByPeers(e *endpoint, now Time) bool {
	return e.reportedAt > max(e.lastResponse, e.Started) && now-e.reportedAt < peerReportLifetime
}

// forgetObservations lets go of what was seen of an endpoint. Danger: what the servers of a lost zone did not answer is
// still in what is known of their group, and out. They would be taken for slow, and left alone, when back.
func (b *Balancer) forgetObservations(e *endpoint, started, now Time) {
	for _, g := range [...]*group{e.homeGroup, b.allEndpoints, &b.zoneTimes[e.zoneIndex]} {
		g.answerSeconds = max(g.answerSeconds-e.answerSeconds, 0)
		g.answerInFlight = max(g.answerInFlight-e.answerInFlight/cmp.Or(e.Weight, 1), 0)
	}
	e.observations = b.newObservations(now)
	for _, q := range b.requests {
		for i := range q.attempts {
			if a := &q.attempts[i]; a.endpoint == e && !a.done && a.sent < started {
				a.uncount()
			}
		}
	}
}

func (b *Balancer) eject(e *endpoint, now Time) {
	e.ejectedUntil = now + ejectionTime
	e.failureAlarm.Again()
	e.silenceAlarm.Again()
	b.actions.Log("ejected " + e.ID)
	b.takeSubsets(now)
}

// ejectForClass keeps a class from an endpoint until then, but for one request that tries it after that. It is logged
// once until an answer opens the endpoint.
func (b *Balancer) ejectForClass(e *endpoint, class int, until Time) {
	if e.classes[class].Close(until) {
		b.actions.Log("shut " + e.ID + " to " + b.settings.Classes[class].Name)
	}
}

// decay lets go of old knowledge, but for what is to be kept, and recounts warmth and the share ejected.
// Danger: where most endpoints seem bad, the fault is likely our own; then ejection is suspended.
func (b *Balancer) decay(now Time, keep float64) {
	var out, all, owed float64
	b.arrivals, b.zonedCapacity, b.activeCapacity, b.endedAttempts, b.failedAttempts = b.arrivals*keep, 0, 0, b.endedAttempts*keep, b.failedAttempts*keep
	b.capacity.warmWeight = [2]float64{}
	b.fleetLosses.Fade(keep)
	b.answerTimes.Fade(math.Pow(keep, memory.Seconds()/shapeMemory.Seconds()))
	for _, g := range b.groups {
		g.answerSeconds, g.answerInFlight, g.waitingSeconds = g.answerSeconds*keep, g.answerInFlight*keep, 0
	}
	for i := range b.zoneTimes {
		b.zoneTimes[i].answerSeconds, b.zoneTimes[i].answerInFlight = b.zoneTimes[i].answerSeconds*keep, b.zoneTimes[i].answerInFlight*keep
	}
	b.endpointsVisited += len(b.active)
	for _, e := range b.active {
		if now >= e.ejectedUntil && e.homeGroup.answeredLately(now) {
			owed += e.waitingSeconds(now)
		}
		e.answerSeconds, e.answerInFlight, e.endedAttempts, e.failedAttempts = e.answerSeconds*keep, e.answerInFlight*keep, e.endedAttempts*keep, e.failedAttempts*keep
		e.losses.Fade(keep)
		e.slowdown.Fade(keep)
		for i := range e.classes {
			e.classes[i].Loss.Fade(keep)
		}
		e.warmth = b.warmth(e, now)
		e.homeGroup.waitingSeconds += e.waitingSeconds(now)
		b.zonedCapacity += e.Weight * e.warmth * b.zoneWeight[e.zoneIndex]
		b.activeCapacity += e.Weight * e.warmth
		if all += e.Weight; now < e.ejectedUntil {
			out += e.Weight
		} else if e.warmth >= 1 {
			b.capacity.warmWeight[0] += e.Weight * b.zoneWeight[e.zoneIndex]
			b.capacity.warmWeight[1] += e.Weight
		}
	}
	// Danger: where attempts are lost, that they are out tells nothing of how long answers take.
	owed *= max(0, 1-b.fleetLosses.Share(usualLoss)/partialLossShare)
	b.loadLevel.Decay(math.Pow(keep, memory.Seconds()/recentMemory.Seconds()), keep, owed)
	b.panicking = out > panicThreshold*all
}

// answeredLately tells whether any of the group has answered of late.
func (g *group) answeredLately(now Time) bool { return now-g.lastResponse <= recentMemory }

// warmth is the share of its capacity that an endpoint has: it rises evenly from its start.
func (b *Balancer) warmth(e *endpoint, now Time) float64 {
	age := now - e.Started
	if e.Started <= 0 || age >= b.settings.SlowStartWindow {
		return 1
	}
	return b.settings.SlowStartCapacity + (1-b.settings.SlowStartCapacity)*max(age.Seconds(), 0)/b.settings.SlowStartWindow.Seconds()
}

// drawFirstTurns draws when started endpoints have their first turn: within the time in which each has one.
// Sidecars that are told at once must not send at once. That time is long for one of many sidecars, and where
// each began it with the start, the fleet would leave what started idle until it is warm.
func (b *Balancer) drawFirstTurns(now Time) {
	for _, e := range b.started {
		if e.awaitsFirstTurn {
			e.turns.reset(b.sends, now, b.random.Float64())
		}
		e.awaitsFirstTurn = false
	}
}
