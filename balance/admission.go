package balance

import (
	"math"
	"slices"
	"time"
)

// This file holds which requests are admitted, and which are shed.

const (
	// fullFactor is the multiple of the usual time for its weight, when idle, below which no endpoint is full.
	fullFactor = 2.5
	// spillObjectiveShare is the share of the shortest objective above which an endpoint is full.
	spillObjectiveShare = 0.5
	// rejectObjectiveShare is the share of the shortest objective above which an expected answer is not
	// useful any more.
	rejectObjectiveShare = 0.85
	// overAllowanceFactor scales the limit of requests beyond their tenant's allowance.
	overAllowanceFactor = 0.5
)

// Passes of pickEndpoint over the endpoints. A later pass admits what the former one held back.
const (
	passUsual     = iota // endpoints that are not full and not ejected
	passFull             // also full ones, ones not yet due by slow start, and ejected ones while panicking
	passSuspected        // also those that peers suspect
	numPasses
)

// pickEndpoint lets the schedule choose among the endpoints that are not full, else among those where the
// request can still hope for an answer in time. Where there is none it returns by how many seconds the best
// one would be late. Classes of lower priority give way only while all endpoints are full: their limit may
// lie under what an idle slow machine takes, and endpoints would not be used evenly under low load.
func (b *Balancer) pickEndpoint(q *request, now Time) (to *endpoint, late float64) {
	late = b.objective
	for pass := range numPasses {
		if pass == passSuspected && b.suspects == 0 {
			break
		}
		choice := b.chooseInPass(q, pass, now)
		late = min(late, choice.late)
		if choice.endpoint != nil {
			return choice.endpoint, 0
		}
		// A retry that may go nowhere tells nothing of the load: full and free are both false then.
		if choice.full && !choice.free {
			// What is full now is worked off within an objective; a longer limit would find idle endpoints.
			b.overloadedUntil = now + time.Duration(b.objective*float64(time.Second))
		}
	}
	return nil, late
}

// choice is the outcome of one pass over the endpoints.
type choice struct {
	endpoint *endpoint // nil: none
	late     float64   // seconds by which the best endpoint exceeds its limit; +Inf: there is none
	full     bool      // some endpoint is full
	free     bool      // some endpoint is not
}

// chooseInPass selects among the endpoints that are eligible for a request in a pass. An endpoint
// that exceeds only the limit of the request's own class does not count as full: a class that gives way
// would otherwise prolong the overload by itself.
func (b *Balancer) chooseInPass(q *request, pass int, now Time) choice {
	c := choice{late: math.Inf(1)}
	limit := rejectObjectiveShare * b.objective
	own := b.requestLimit(q, limit, now)
	usual := b.zoneSecondsPerRequest()
	for _, e := range b.active {
		e.eligible = b.inService(e, pass, now)
		if !e.eligible {
			continue
		}
		endpointLimit := limit
		if pass == passUsual { // full by its zone's standard, but not just because its kind is slow or its zone far
			full := fullFactor * (1 + unseenRequests) * usual[e.zoneIndex] / e.Weight
			endpointLimit = min(limit, max(spillObjectiveShare*b.objective, full))
		}
		expected, inFlight := b.expectedTime(e, now), float64(e.inFlight)
		e.expectedSeconds = expected
		fits := expected <= endpointLimit && e.waitingSeconds(now) <= limit*inFlight
		c.full, c.free = c.full || !fits, c.free || fits
		e.eligible = e.classes[q.Class].Admits(now) && b.mayAttemptAt(q, e, now)
		if e.eligible {
			c.late = min(c.late, expected-min(endpointLimit, own))
			e.eligible = fits && expected <= own && e.waitingSeconds(now) <= own*inFlight
		}
	}
	c.endpoint = b.nextEndpoint()
	return c
}

// inService reports whether an endpoint may get any request in a pass.
func (b *Balancer) inService(e *endpoint, pass int, now Time) bool {
	if e.State != Ready || b.adminDown[e.ID] {
		return false
	}
	if now < e.ejectedUntil && (pass == passUsual || !b.panicking) {
		return false
	}
	if pass < passSuspected && b.suspectedByPeers(e, now) {
		return false
	}
	return b.slowStartAllows(e, pass != passUsual, now)
}

// requestLimit is the expected answer time in seconds above which a request is not admitted, where limit is
// that for any request. In a burst what answers have taught is seconds old, and all sidecars would go on
// sending for as long as it takes to jam the fleet; so the limit falls with the load level.
func (b *Balancer) requestLimit(q *request, limit float64, now Time) float64 {
	own := limit
	if now < b.overloadedUntil {
		own = b.overloadLimit(q.Class)
	}
	own /= b.loadLevel.Level()
	if q.overAllowance {
		own *= overAllowanceFactor
	}
	return own
}

// overloadLimit is the expected answer time in seconds above which a class is shed while all endpoints are
// full. Its priority for each second that its answers take counts: a class that has a quarter of the highest
// waits half as long.
func (b *Balancer) overloadLimit(class int) float64 {
	own := b.settings.Classes[class].Priority / b.meanTime[class]
	highest := math.SmallestNonzeroFloat64
	for i, c := range b.settings.Classes {
		if !b.removedClasses[i] {
			highest = math.Max(highest, c.Priority/b.meanTime[i])
		}
	}
	return rejectObjectiveShare * b.objective * math.Sqrt(own/highest)
}

// overAllowance reports whether a request is beyond its tenant's allowance, as far as this sidecar sees. Its
// part is the equal one or, where that is more, the one that goes with its own traffic: of a thousand
// sidecars most carry little and some much more, and an equal part would be under one request a second.
func (b *Balancer) overAllowance(i int, now Time) bool {
	b.arrivals++
	if i < 0 || i >= len(b.tenants) {
		return false
	}
	part := math.Max(1/float64(b.settings.Peers), b.arrivals/memory.Seconds()/math.Max(b.allowances, 1e-9))
	return b.tenants[i].Exceeds(now, b.settings.Tenants[i].Allowance*part, memory)
}

// MayReject reports whether the host may reject a request that has no final answer yet: as its class allows
// repeats, or as none of its attempts may have run. One that is in flight may have. It changes nothing.
func (b *Balancer) MayReject(id RequestID) bool {
	q := b.requests[id]
	return q != nil && !q.ended && b.mayReject(q)
}

// mayReject reports whether a rejection, which invites a retry anywhere, is safe.
func (b *Balancer) mayReject(q *request) bool {
	repeats := q.class.Effect == Idempotent || q.class.Effect == Deduplicated && q.class.Scope == ScopeAll
	return repeats || !slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.done || a.mayHaveRun })
}
