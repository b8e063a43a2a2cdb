package balance

// Here is the life of a request; in endpoints.go the list; in subset.go the part of it that is used; in
// route.go rules and rotation; in health.go what is believed.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const tokenTick, tokenDiscovery, tokenAttempt uint64 = 0, 1, 2 // the last one and an attempt: it may be late

// Request takes in a client's request. One whose class or id cannot be is passed over.
func (b *Balancer) Request(now Time, r Request) {
	if _, twice := b.requests[r.ID]; twice || r.Class < 0 || r.Class >= len(b.settings.Classes) {
		return
	}
	q := &request{Request: r, class: cmp.Or(r.ClassTerms, &b.settings.Classes[r.Class]), deadline: now + r.Timeout,
		overAllowance: b.overAllowance(r.Tenant, now)}
	b.requests[r.ID] = q
	if r.Retry {
		b.retryBudget.Charge(r.Class)
	}
	b.dispatch(q, now)
}

// dispatch sends the request's next attempt, or ends the request if none may or should be sent.
func (b *Balancer) dispatch(q *request, now Time) {
	to, late := (*endpoint)(nil), 0.0
	if len(q.attempts) < b.settings.MaxAttempts && now < q.deadline {
		to, late = b.pickEndpoint(q, now)
	}
	// Danger: where all fails, further attempts feed what makes it fail. What never got anywhere is free.
	if to != nil && (!q.reached || q.prepaid || b.retryBudget.Spend(q.Class)) {
		b.send(q, to, now)
		return
	}
	if b.capacity.warmWeight[1] == 0 {
		b.sends++ // turns go on by what is refused: where all are cold, nothing else would bring the next one
	}
	if b.mayReject(q) {
		b.actions.Reject(q.ID, time.Duration(min(max(late, 0), b.objective)*float64(time.Second)))
	} else {
		b.actions.Fail(q.ID)
	}
	b.end(q)
}

// pickEndpoint lets the schedule choose among the endpoints that are not full, else among those where the request
// can still hope for an answer in time, the first of them in late seconds. Lesser classes give way only while
// all are full. Danger: their bar may lie under an idle slow machine: quiet days would lose their even turns.
// What is above their bar alone is not full: a class that gives way would itself keep it tight.
func (b *Balancer) pickEndpoint(q *request, now Time) (to *endpoint, late float64) {
	late = b.objective
	for pass := range 3 {
		if pass == 2 && b.suspects == 0 {
			break
		}
		var full, free bool
		if to, full, free = b.chooseInPass(q, pass, &late, now); to != nil {
			return to, 0
		}
		if full && !free { // a payment's retry, which may go nowhere, tells nothing of the load
			// Danger: what is full now is worked off within an aim, and longer refusals would find idle endpoints.
			b.overloadedUntil = now + time.Duration(b.objective*float64(time.Second))
		}
	}
	return nil, late
}

// chooseInPass takes the turn among those that are open to the request in a pass of pick, and tells whether some of
// the fleet is full and some free.
func (b *Balancer) chooseInPass(q *request, pass int, late *float64, now Time) (to *endpoint, full, free bool) {
	bar := rejectObjectiveShare * b.objective
	own := bar // for this request
	if now < b.overloadedUntil {
		own = b.overloadLimit(q.Class)
	}
	// Danger: in a burst what answers have taught is seconds old. All sidecars would go on sending for as long
	// as it takes to jam the fleet, and a jammed one does less.
	own /= b.loadLevel.Level()
	if q.overAllowance {
		own *= overAllowanceFactor
	}
	usual := b.zoneSecondsPerRequest()
	for _, e := range b.active {
		limit := bar
		if pass == 0 { // full above the zones' bar, but not just because its kind is slow or its zone far
			limit = min(limit, max(spillObjectiveShare*b.objective, fullFactor*(1+unseenRequests)*usual[e.zoneIndex]/e.Weight))
		}
		in := now >= e.ejectedUntil || pass > 0 && b.panicking
		in = in && (pass > 1 || !b.suspectedByPeers(e, now))
		e.eligible = e.State == Ready && !b.adminDown[e.ID] && in && b.slowStartAllows(e, pass > 0, now)
		if expect, held := b.expectedTime(e, now), float64(e.inFlight); e.eligible {
			e.expectedSeconds = expect
			fits := expect <= limit && e.waitingSeconds(now) <= bar*held
			full, free = full || !fits, free || fits
			if e.eligible = e.classes[q.Class].Open(now) && b.mayAttemptAt(q, e, now); e.eligible {
				*late = min(*late, expect-min(limit, own))
				e.eligible = fits && expect <= own && e.waitingSeconds(now) <= own*held
			}
		}
	}
	return b.nextEndpoint(), full, free
}

func (b *Balancer) send(q *request, to *endpoint, now Time) {
	to.classes[q.Class].Sent(now, ejectionTime)
	scale := b.expectedForClass(to.expectedSeconds, q.Class)
	to.inFlight++
	to.dueSinceSum += now
	q.prepaid = false
	q.outstanding++
	within := q.latestStart(now)
	q.attempts = append(q.attempts, attempt{endpoint: to, sent: now, dueSince: now, inFlightThen: float64(to.inFlight) + unseenRequests,
		expectedAtSend: scale, expectedNow: scale})
	b.sends++
	to.turns.reset(b.sends, now, 0)
	b.actions.Send(q.ID, to.ID, within)
	token := tokenAttempt + uint64(q.ID)*maxAttemptsPerRequest + uint64(len(q.attempts)-1)
	b.scheduleCheck(min(b.lateThreshold(q.Class), b.hedgeDelay(q, &q.attempts[len(q.attempts)-1])), token)
}

// scheduleCheck has an attempt be looked at after some seconds.
func (b *Balancer) scheduleCheck(seconds float64, token uint64) {
	b.actions.Timer(time.Duration(max(seconds, minCheckDelay)*float64(time.Second)), token)
}

// checkAttempt looks at an attempt that has been out for long. Danger: where its endpoint answers others, its
// connection is dead, and to count it would make the endpoint look slow and full for all. It looks again
// until the end: an endpoint may be silent for a while, answer others later and never this one.
func (b *Balancer) checkAttempt(q *request, n int, token uint64, now Time) {
	if q == nil || n >= len(q.attempts) || q.attempts[n].done || q.ended {
		return
	}
	a, out := &q.attempts[n], (now - q.attempts[n].sent).Seconds()
	answers := a.endpoint.lastResponse >= a.sent
	// Danger: an endpoint that has slowed since would be thought to lose what it still owes. What this attempt
	// itself has waited says nothing of that: it would never be in doubt where little else is out.
	a.endpoint.dueSinceSum += now - a.sent
	slowdown := a.endpoint.slowdown.Factor()
	a.expectedNow = max(a.expectedNow, b.expectedForClass(b.expectedTime(a.endpoint, now), q.Class)*slowdown)
	a.endpoint.dueSinceSum -= now - a.sent
	doubt, next := b.hedgeDelay(q, a), tickEvery.Seconds()
	// A slow endpoint whose late attempts count no more looks idle, and draws requests.
	if answers && out >= min(doubt, b.lateThreshold(q.Class)*slowdown) {
		a.uncount()
	}
	if !answers && !a.reportedLate && out >= b.lateThreshold(q.Class) {
		a.reportedLate = true
		b.notifyObserver(a.endpoint, ObservedLate)
	}
	if doubt > out {
		next = min(next, doubt-out)
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

// hedge makes an attempt that seems lost anew elsewhere, while the first is still out where that is allowed.
// Danger: where answers just come late, repeats add to the load that makes them late. So it goes only where
// there is room, to an endpoint that loses no more, and is paid for by successes.
func (b *Balancer) hedge(q *request, n int, now Time) {
	a, late := &q.attempts[n], b.objective
	if !b.settings.HedgingAllowed && !b.settings.CancelAllowed || q.outstanding > 1 || len(q.attempts) >= b.settings.MaxAttempts ||
		now >= q.deadline {
		return
	}
	to, _, _ := b.chooseInPass(q, 0, &late, now)
	worse := to != nil && a.endpoint.lastResponse >= a.sent && b.classLossShare(to, q.Class) > b.classLossShare(a.endpoint, q.Class)
	if to == nil || worse || !b.retryBudget.Spend(q.Class) {
		return
	}
	if a.hedged = true; b.settings.HedgingAllowed {
		b.send(q, to, now)
	} else {
		q.prepaid = true
		a.uncount()
		b.actions.Cancel(q.ID, n) // and its result leads to the next attempt
	}
}

// mayAttemptAt tells whether the request may be sent to e. Danger: an effect that happens twice. What may have run
// is repeated only as its class allows: never, anywhere, or where repeats are dropped, and in good time.
func (b *Balancer) mayAttemptAt(q *request, e *endpoint, now Time) bool {
	c := q.class
	for i := range q.attempts {
		switch a := &q.attempts[i]; {
		case a.endpoint == e:
			return false
		case a.done && !a.mayHaveRun || c.Effect == Idempotent:
		case c.Effect == AtMostOnce || now-a.sent >= c.DedupeWindow-repeatMargin,
			c.Scope == ScopeZone && a.endpoint.Zone != e.Zone, c.Scope == ScopePodGroup && a.endpoint.PodGroup != e.PodGroup:
			return false
		}
	}
	return true
}

// latestStart is how long the next attempt may take to begin, 0: any time. Where its connection came up late,
// a repeat would arrive after the time for which the first attempt's repeats are dropped.
func (q *request) latestStart(now Time) (within time.Duration) {
	for _, a := range q.attempts {
		if q.class.Effect == Deduplicated && (!a.done || a.mayHaveRun) {
			left := max(a.sent+q.class.DedupeWindow-arrivalMargin-now, 1)
			within = min(cmp.Or(within, left), left)
		}
	}
	return within
}

// mayReject tells whether a refusal, which invites a retry anywhere, is safe.
func (b *Balancer) mayReject(q *request) bool {
	repeats := q.class.Effect == Idempotent || q.class.Effect == Deduplicated && q.class.Scope == ScopeAll
	return repeats || !slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.done || a.mayHaveRun })
}

// Result takes in how an attempt ended.
func (b *Balancer) Result(now Time, r Result) {
	q := b.requests[r.ID]
	if q == nil || r.Attempt < 0 || r.Attempt >= len(q.attempts) || q.attempts[r.Attempt].done {
		return
	}
	a := &q.attempts[r.Attempt]
	a.done = true
	a.mayHaveRun = r.Outcome != Saturated && r.Outcome != ConnectFailed && r.Outcome != NotSent
	a.uncount()
	q.reached = q.reached || a.mayHaveRun || r.Outcome == Saturated
	q.outstanding--
	switch r.Outcome {
	case Saturated:
		// Danger: some endpoints serve one class and turn another away, or swallow it. That makes them neither
		// slow nor full for what they serve, so they are shut to that class alone.
		b.ejectForClass(a.endpoint, q.Class, now+classEjectionTime)
	case Served:
		off := max(r.Took.Seconds(), 1e-6) - b.meanTime[q.Class]
		b.meanTime[q.Class] += meanTimeStep * off
		b.timeDeviation[q.Class] += meanTimeStep * (math.Abs(off) - b.timeDeviation[q.Class])
		b.meanTimeOfAll += meanTimeStep * (max(r.Took.Seconds(), 1e-6) - b.meanTimeOfAll)
		b.retryBudget.Earn(q.Class)
		if a.endpoint.warmth >= 1 {
			b.capacity.served++
		}
	}
	if a.sent >= a.endpoint.Started { // what a former process did tells nothing of this one
		b.recordEnd(q, a, r, now)
		b.recordOutcome(a, r, now)
	}
	switch {
	case r.Finished || q.ended:
		b.end(q)
	case q.outstanding == 0:
		b.dispatch(q, now)
	}
}

// AnswerStarted takes in that a streamed answer has begun.
func (b *Balancer) AnswerStarted(now Time, id RequestID, attempt int) {
	if q := b.requests[id]; q != nil && attempt >= 0 && attempt < len(q.attempts) && !q.attempts[attempt].done {
		q.attempts[attempt].restartWait(now) // no answer is owed for the time it streams
	}
}

// ClientGone takes in that the client has left: nothing more is owed or sent.
func (b *Balancer) ClientGone(now Time, id RequestID) {
	if q := b.requests[id]; q != nil && !q.ended {
		b.end(q)
	}
}

// end marks a request as over, calls off what is still out for it, and forgets it once nothing is.
func (b *Balancer) end(q *request) {
	for i := range q.attempts {
		if !q.attempts[i].done && !q.ended && b.settings.CancelAllowed {
			b.actions.Cancel(q.ID, i)
		}
	}
	if q.ended = true; q.outstanding == 0 {
		delete(b.requests, q.ID)
	}
}

// overAllowance tells whether a request is beyond its tenant's allowance, as far as this sidecar sees. Its part
// is the equal one or, where that is more, the one that goes with its own traffic. Danger: of a thousand
// sidecars most carry little and some much more; an equal part would be under one request a second.
func (b *Balancer) overAllowance(i int, now Time) bool {
	b.arrivals++
	if i < 0 || i >= len(b.tenants) {
		return false
	}
	part := math.Max(1/float64(b.settings.Peers), b.arrivals/memory.Seconds()/math.Max(b.allowances, 1e-9))
	return b.tenants[i].Over(now, b.settings.Tenants[i].Allowance*part, memory)
}

// SetAdminDown takes an endpoint out by hand, or puts it back, and tells whether it is known: listed, or out. Both
// may be asked for again. Nothing is sent to one that is out, whatever discovery says of it meanwhile.
func (b *Balancer) SetAdminDown(now Time, id string, out bool) (known bool) {
	e := b.known[id]
	switch listed := e != nil && e.State != Removed; {
	case !listed && !b.adminDown[id]:
		return false
	case b.adminDown[id] == out:
		return true
	case out:
		b.setBarred(now, id, true)
		b.actions.Log("taken out by hand " + id)
	default:
		// Danger: it was restarted while it was out, and discovery may say so late, or never.
		b.restored[id] = now
		if e != nil {
			b.forgetObservations(e, now, now)
			e.Started, e.awaitsFirstTurn = now, true
			b.started = append(b.started, e)
		}
		b.setBarred(now, id, false)
		b.actions.Log("put back by hand " + id)
	}
	b.refreshAfterChange(now)
	return true
}

// AdoptAdminDown takes out what was out by hand where this Balancer takes over, listed or not.
func (b *Balancer) AdoptAdminDown(now Time, ids []string) {
	for _, id := range ids {
		b.setBarred(now, id, true)
	}
	b.refreshAfterChange(now)
}

// SetObserver has a witness be told what is seen at endpoints from now on. Nothing is decided by that.
func (b *Balancer) SetObserver(w Observer) { b.observer = w }

// SetSuspected takes in of which endpoints others speak ill, the worst first, in place of what they said before.
// These stay in use, behind all others. Danger: false word; a share of the ready size is the most it moves.
func (b *Balancer) SetSuspected(words []PeerReport) {
	if len(words) == 0 && b.suspects == 0 {
		return
	}
	room := 0.0
	for _, e := range b.listed {
		if e.reportedAt = 0; e.State == Ready {
			room += maxSuspectedShare * e.Weight
		}
	}
	b.suspects = 0
	for _, w := range words {
		if e := b.known[w.ID]; e != nil && e.State == Ready && e.Weight <= room {
			e.reportedAt, room = w.WrittenAt, room-e.Weight
			b.suspects++
		}
	}
}

// AdminDown lists the endpoints that are out by hand, in order.
func (b *Balancer) AdminDown() []string { return slices.Sorted(maps.Keys(b.adminDown)) }

// CountEndpoints tells how many endpoints are listed, and how many of them are avoided, by hand or as they seem bad.
func (b *Balancer) CountEndpoints(now Time) (listed, avoided int) {
	for _, e := range b.listed {
		if b.adminDown[e.ID] || now < e.ejectedUntil && !b.panicking {
			avoided++
		}
	}
	return len(b.listed), avoided
}

// Timer takes in that a timer is due.
func (b *Balancer) Timer(now Time, token uint64) {
	switch token {
	case tokenDiscovery:
		if !b.subscribed {
			b.subscribed = true
			b.actions.Subscribe()
		}
	case tokenTick:
		b.actions.Timer(tickEvery, tokenTick)
		b.capacity.advance(tickEvery)
		b.decay(now, math.Exp(-tickEvery.Seconds()/memory.Seconds()))
		b.updateZoneWeight(now)
		if now >= b.subsetsTaken+subsetInterval {
			b.takeSubsets(now)
		}
	default:
		b.checkAttempt(b.requests[RequestID((token-tokenAttempt)/maxAttemptsPerRequest)], int((token-tokenAttempt)%maxAttemptsPerRequest), token, now)
	}
}
