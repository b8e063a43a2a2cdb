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

const tokenTick, tokenAsk, tokenLate uint64 = 0, 1, 2 // the last one and an attempt: it may be late

// Request takes in a client's request. One whose class or id cannot be is passed over.
func (b *Balancer) Request(now Time, r Request) {
	if _, twice := b.requests[r.ID]; twice || r.Class < 0 || r.Class >= len(b.set.Classes) {
		return
	}
	q := &request{Request: r, class: cmp.Or(r.Terms, &b.set.Classes[r.Class]), deadline: now + r.Within,
		over: b.overShare(r.Tenant, now)}
	b.requests[r.ID] = q
	if r.Retry {
		b.budget.Charge(r.Class)
	}
	b.try(q, now)
}

// try sends the request's next attempt, or ends the request if none may or should be sent.
func (b *Balancer) try(q *request, now Time) {
	to, late := (*endpoint)(nil), 0.0
	if len(q.attempts) < b.set.MaxAttempts && now < q.deadline {
		to, late = b.pick(q, now)
	}
	// Danger: where all fails, further attempts feed what makes it fail. What never got anywhere is free.
	if to != nil && (!q.reached || q.paid || b.budget.Spend(q.Class)) {
		b.send(q, to, now)
		return
	}
	if b.capacity.warm[1] == 0 {
		b.sends++ // turns go on by what is refused: where all are cold, nothing else would bring the next one
	}
	if b.mayRefuse(q) {
		b.act.Refuse(q.ID, time.Duration(min(max(late, 0), b.aim)*float64(time.Second)))
	} else {
		b.act.Fail(q.ID)
	}
	b.end(q)
}

// pick lets the schedule choose among the endpoints that are not full, else among those where the request
// can still hope for an answer in time, the first of them in late seconds. Lesser classes give way only while
// all are full. Danger: their bar may lie under an idle slow machine: quiet days would lose their even turns.
// What is above their bar alone is not full: a class that gives way would itself keep it tight.
func (b *Balancer) pick(q *request, now Time) (to *endpoint, late float64) {
	late = b.aim
	for pass := range 3 {
		if pass == 2 && b.doubts == 0 {
			break
		}
		var full, free bool
		if to, full, free = b.choose(q, pass, &late, now); to != nil {
			return to, 0
		}
		if full && !free { // a payment's retry, which may go nowhere, tells nothing of the load
			// Danger: what is full now is worked off within an aim, and longer refusals would find idle endpoints.
			b.tight = now + time.Duration(b.aim*float64(time.Second))
		}
	}
	return nil, late
}

// choose takes the turn among those that are open to the request in a pass of pick, and tells whether some of
// the fleet is full and some free.
func (b *Balancer) choose(q *request, pass int, late *float64, now Time) (to *endpoint, full, free bool) {
	bar := refuseAt * b.aim
	own := bar // for this request
	if now < b.tight {
		own = b.tightBar(q.Class)
	}
	// Danger: in a burst what answers have taught is seconds old. All sidecars would go on sending for as long
	// as it takes to jam the fleet, and a jammed one does less.
	own /= b.loadLevel.Level()
	if q.over {
		own *= overBar
	}
	usual := b.usual()
	for _, e := range b.active {
		limit := bar
		if pass == 0 { // full above the zones' bar, but not just because its kind is slow or its zone far
			limit = min(limit, max(spillAt*b.aim, fullAt*(1+unseen)*usual[e.abroad]/e.Size))
		}
		in := now >= e.until || pass > 0 && b.panicking
		in = in && (pass > 1 || !b.doubted(e, now))
		e.open = e.State == Ready && !b.out[e.ID] && in && b.coldRoom(e, pass > 0, now)
		if expect, held := b.expect(e, now), float64(e.inFlight); e.open {
			e.expects = expect
			fits := expect <= limit && e.owed(now) <= bar*held
			full, free = full || !fits, free || fits
			if e.open = e.classes[q.Class].Open(now) && b.mayGo(q, e, now); e.open {
				*late = min(*late, expect-min(limit, own))
				e.open = fits && expect <= own && e.owed(now) <= own*held
			}
		}
	}
	return b.turn(), full, free
}

func (b *Balancer) send(q *request, to *endpoint, now Time) {
	to.classes[q.Class].Sent(now, ejectFor)
	scale := b.scale(to.expects, q.Class)
	to.inFlight++
	to.sent += now
	q.paid = false
	q.out++
	within := q.startWithin(now)
	q.attempts = append(q.attempts, attempt{to: to, sent: now, owed: now, held: float64(to.inFlight) + unseen,
		expected: scale, scale: scale})
	b.sends++
	to.turns.begin(b.sends, now, 0)
	b.act.Send(q.ID, to.ID, within)
	token := tokenLate + uint64(q.ID)*mostTries + uint64(len(q.attempts)-1)
	b.lookAgain(min(b.lateTime(q.Class), b.doubtTime(q, &q.attempts[len(q.attempts)-1])), token)
}

// lookAgain has an attempt be looked at after some seconds.
func (b *Balancer) lookAgain(seconds float64, token uint64) {
	b.act.Timer(time.Duration(max(seconds, leastLook)*float64(time.Second)), token)
}

// overdue looks at an attempt that has been out for long. Danger: where its endpoint answers others, its
// connection is dead, and to count it would make the endpoint look slow and full for all. It looks again
// until the end: an endpoint may be silent for a while, answer others later and never this one.
func (b *Balancer) overdue(q *request, n int, token uint64, now Time) {
	if q == nil || n >= len(q.attempts) || q.attempts[n].done || q.ended {
		return
	}
	a, out := &q.attempts[n], (now - q.attempts[n].sent).Seconds()
	answers := a.to.heard >= a.sent
	// Danger: an endpoint that has slowed since would be thought to lose what it still owes. What this attempt
	// itself has waited says nothing of that: it would never be in doubt where little else is out.
	a.to.sent += now - a.sent
	slowdown := a.to.slowdown.Factor()
	a.scale = max(a.scale, b.scale(b.expect(a.to, now), q.Class)*slowdown)
	a.to.sent -= now - a.sent
	doubt, next := b.doubtTime(q, a), tickEvery.Seconds()
	// A slow endpoint whose late attempts count no more looks idle, and draws requests.
	if answers && out >= min(doubt, b.lateTime(q.Class)*slowdown) {
		a.drop()
	}
	if !answers && !a.late && out >= b.lateTime(q.Class) {
		a.late = true
		b.saw(a.to, SawLate)
	}
	if doubt > out {
		next = min(next, doubt-out)
	} else {
		if !a.copied || a.to.heard < a.sent {
			b.suspect(q, a, now)
		}
		if !a.copied {
			b.again(q, n, now)
		}
	}
	b.lookAgain(next, token)
}

// again makes an attempt that seems lost anew elsewhere, while the first is still out where that is allowed.
// Danger: where answers just come late, repeats add to the load that makes them late. So it goes only where
// there is room, to an endpoint that loses no more, and is paid for by successes.
func (b *Balancer) again(q *request, n int, now Time) {
	a, late := &q.attempts[n], b.aim
	if !b.set.CopiesAllowed && !b.set.CancelAllowed || q.out > 1 || len(q.attempts) >= b.set.MaxAttempts ||
		now >= q.deadline {
		return
	}
	to, _, _ := b.choose(q, 0, &late, now)
	worse := to != nil && a.to.heard >= a.sent && b.loses(to, q.Class) > b.loses(a.to, q.Class)
	if to == nil || worse || !b.budget.Spend(q.Class) {
		return
	}
	if a.copied = true; b.set.CopiesAllowed {
		b.send(q, to, now)
	} else {
		q.paid = true
		a.drop()
		b.act.Cancel(q.ID, n) // and its result leads to the next attempt
	}
}

// mayGo tells whether the request may be sent to e. Danger: an effect that happens twice. What may have run
// is repeated only as its class allows: never, anywhere, or where repeats are dropped, and in good time.
func (b *Balancer) mayGo(q *request, e *endpoint, now Time) bool {
	c := q.class
	for i := range q.attempts {
		switch a := &q.attempts[i]; {
		case a.to == e:
			return false
		case a.done && !a.mayRun || c.Effect == Idempotent:
		case c.Effect == AtMostOnce || now-a.sent >= c.DedupeWindow-repeatMargin,
			c.Scope == ScopeZone && a.to.Zone != e.Zone, c.Scope == ScopeCell && a.to.Cell != e.Cell:
			return false
		}
	}
	return true
}

// startWithin is how long the next attempt may take to begin, 0: any time. Where its connection came up late,
// a repeat would arrive after the time for which the first attempt's repeats are dropped.
func (q *request) startWithin(now Time) (within time.Duration) {
	for _, a := range q.attempts {
		if q.class.Effect == Deduplicated && (!a.done || a.mayRun) {
			left := max(a.sent+q.class.DedupeWindow-arrivalMargin-now, 1)
			within = min(cmp.Or(within, left), left)
		}
	}
	return within
}

// mayRefuse tells whether a refusal, which invites a retry anywhere, is safe.
func (b *Balancer) mayRefuse(q *request) bool {
	repeats := q.class.Effect == Idempotent || q.class.Effect == Deduplicated && q.class.Scope == ScopeAll
	return repeats || !slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.done || a.mayRun })
}

// Result takes in how an attempt ended.
func (b *Balancer) Result(now Time, r Result) {
	q := b.requests[r.ID]
	if q == nil || r.Attempt < 0 || r.Attempt >= len(q.attempts) || q.attempts[r.Attempt].done {
		return
	}
	a := &q.attempts[r.Attempt]
	a.done = true
	a.mayRun = r.Outcome != Saturated && r.Outcome != ConnectFailed && r.Outcome != NotSent
	a.drop()
	q.reached = q.reached || a.mayRun || r.Outcome == Saturated
	q.out--
	switch r.Outcome {
	case Saturated:
		// Danger: some endpoints serve one class and turn another away, or swallow it. That makes them neither
		// slow nor full for what they serve, so they are shut to that class alone.
		b.shut(a.to, q.Class, now+shutFor)
	case Served:
		off := max(r.Took.Seconds(), 1e-6) - b.work[q.Class]
		b.work[q.Class] += workStep * off
		b.spread[q.Class] += workStep * (math.Abs(off) - b.spread[q.Class])
		b.mean += workStep * (max(r.Took.Seconds(), 1e-6) - b.mean)
		b.budget.Earn(q.Class)
		if a.to.warm >= 1 {
			b.capacity.served++
		}
	}
	if a.sent >= a.to.Started { // what a former process did tells nothing of this one
		b.settle(q, a, r, now)
		b.learn(a, r, now)
	}
	switch {
	case r.Finished || q.ended:
		b.end(q)
	case q.out == 0:
		b.try(q, now)
	}
}

// AnswerStarted takes in that a streamed answer has begun.
func (b *Balancer) AnswerStarted(now Time, id RequestID, attempt int) {
	if q := b.requests[id]; q != nil && attempt >= 0 && attempt < len(q.attempts) && !q.attempts[attempt].done {
		q.attempts[attempt].forgive(now) // no answer is owed for the time it streams
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
		if !q.attempts[i].done && !q.ended && b.set.CancelAllowed {
			b.act.Cancel(q.ID, i)
		}
	}
	if q.ended = true; q.out == 0 {
		delete(b.requests, q.ID)
	}
}

// overShare tells whether a request is beyond its tenant's allowance, as far as this sidecar sees. Its part
// is the equal one or, where that is more, the one that goes with its own traffic. Danger: of a thousand
// sidecars most carry little and some much more; an equal part would be under one request a second.
func (b *Balancer) overShare(i int, now Time) bool {
	b.arrived++
	if i < 0 || i >= len(b.tenants) {
		return false
	}
	part := math.Max(1/float64(b.set.Peers), b.arrived/memory.Seconds()/math.Max(b.allowed, 1e-9))
	return b.tenants[i].Over(now, b.set.Tenants[i].Allowance*part, memory)
}

// TakeOut takes an endpoint out by hand, or puts it back, and tells whether it is known: listed, or out. Both
// may be asked for again. Nothing is sent to one that is out, whatever discovery says of it meanwhile.
func (b *Balancer) TakeOut(now Time, id string, out bool) (known bool) {
	e := b.known[id]
	switch listed := e != nil && e.State != Removed; {
	case !listed && !b.out[id]:
		return false
	case b.out[id] == out:
		return true
	case out:
		b.bar(now, id, true)
		b.act.Log("taken out by hand " + id)
	default:
		// Danger: it was restarted while it was out, and discovery may say so late, or never.
		b.back[id] = now
		if e != nil {
			b.forget(e, now, now)
			e.Started, e.fresh = now, true
			b.started = append(b.started, e)
		}
		b.bar(now, id, false)
		b.act.Log("put back by hand " + id)
	}
	b.recount(now)
	return true
}

// HandedOut takes out what was out by hand where this Balancer takes over, listed or not.
func (b *Balancer) HandedOut(now Time, ids []string) {
	for _, id := range ids {
		b.bar(now, id, true)
	}
	b.recount(now)
}

// Watch has a witness be told what is seen at endpoints from now on. Nothing is decided by that.
func (b *Balancer) Watch(w Witness) { b.witness = w }

// Doubted takes in of which endpoints others speak ill, the worst first, in place of what they said before.
// These stay in use, behind all others. Danger: false word; a share of the ready size is the most it moves.
func (b *Balancer) Doubted(words []Word) {
	if len(words) == 0 && b.doubts == 0 {
		return
	}
	room := 0.0
	for _, e := range b.endpoints {
		if e.word = 0; e.State == Ready {
			room += wordMost * e.Size
		}
	}
	b.doubts = 0
	for _, w := range words {
		if e := b.known[w.ID]; e != nil && e.State == Ready && e.Size <= room {
			e.word, room = w.Since, room-e.Size
			b.doubts++
		}
	}
}

// Out lists the endpoints that are out by hand, in order.
func (b *Balancer) Out() []string { return slices.Sorted(maps.Keys(b.out)) }

// Count tells how many endpoints are listed, and how many of them are avoided, by hand or as they seem bad.
func (b *Balancer) Count(now Time) (listed, avoided int) {
	for _, e := range b.endpoints {
		if b.out[e.ID] || now < e.until && !b.panicking {
			avoided++
		}
	}
	return len(b.endpoints), avoided
}

// Timer takes in that a timer is due.
func (b *Balancer) Timer(now Time, token uint64) {
	switch token {
	case tokenAsk:
		if !b.subscribed {
			b.subscribed = true
			b.act.Subscribe()
		}
	case tokenTick:
		b.act.Timer(tickEvery, tokenTick)
		b.capacity.elapsed(tickEvery)
		b.fade(now, math.Exp(-tickEvery.Seconds()/memory.Seconds()))
		b.shift(now)
		if now >= b.grouped+groupTime {
			b.regroup(now)
		}
	default:
		b.overdue(b.requests[RequestID((token-tokenLate)/mostTries)], int((token-tokenLate)%mostTries), token, now)
	}
}
