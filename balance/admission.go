package balance

import (
	"math"
	"slices"
	"time"
)

// This file contains admission control and load shedding.

const (
	// atCapacityFactor limits the expected response time of an endpoint below capacity, as a multiple of the
	// mean expected response time of idle endpoints of the same zone and weight.
	atCapacityFactor = 2.5
	// spilloverObjectiveShare is the minimum of that limit, as a share of the shortest latency objective.
	spilloverObjectiveShare = 0.5
	// rejectObjectiveShare is the share of the shortest latency objective above which an expected response is
	// too late to be useful.
	rejectObjectiveShare = 0.85
	// overAllowanceFactor scales the limit of the expected response time for requests beyond their tenant's
	// allowance.
	overAllowanceFactor = 0.5
)

// Passes of selectEndpoint over the endpoints. Each pass admits more endpoints than the one before.
const (
	passNormal     = iota // endpoints that are neither at capacity nor ejected
	passAtCapacity        // also those at capacity or not due by slow start, and ejected ones while panicking
	passSuspected         // also endpoints that peers suspect
	numPasses
)

// selectEndpoint selects an endpoint that is below capacity, or else one from which a timely response can
// still be expected. If there is none, it returns by how many seconds the best endpoint exceeds its limit.
// Classes of lower priority are shed only while all endpoints are at capacity. Their limit may be below the
// response time of a slow endpoint that is idle; applied at low load, it would distribute requests unevenly.
func (b *Balancer) selectEndpoint(q *request, now Time) (to *endpoint, excessSeconds float64) {
	excessSeconds = b.objective
	for pass := range numPasses {
		if pass == passSuspected && b.suspectedCount == 0 {
			break
		}
		result := b.selectInPass(q, pass, now)
		excessSeconds = min(excessSeconds, result.excessSeconds)
		if result.endpoint != nil {
			return result.endpoint, 0
		}
		// If no endpoint is in service, anyAtCapacity and anyAvailable are both false, and this is no
		// evidence of overload.
		if result.anyAtCapacity && !result.anyAvailable {
			// The present backlog is processed within one latency objective. Shedding for longer would leave
			// endpoints idle.
			b.overloadedUntil = now + time.Duration(b.objective*float64(time.Second))
		}
	}
	return nil, excessSeconds
}

// passResult is the result of one pass over the endpoints.
type passResult struct {
	endpoint      *endpoint // nil: none selected
	excessSeconds float64   // by which the best endpoint exceeds its limit; +Inf: no endpoint
	anyAtCapacity bool      // some endpoint is at capacity
	anyAvailable  bool      // some endpoint is below capacity
}

// selectInPass selects among the endpoints that are eligible for a request in a pass. An endpoint that
// exceeds only the limit of the request's own class does not count as at capacity. Otherwise the class that
// is shed would prolong the overload.
func (b *Balancer) selectInPass(q *request, pass int, now Time) passResult {
	result := passResult{excessSeconds: math.Inf(1)}
	limit := rejectObjectiveShare * b.objective
	classLimit := b.requestTimeLimit(q, limit, now)
	zoneMean := b.zoneSecondsPerRequest()
	for _, e := range b.active {
		e.eligible = b.inService(e, pass, now)
		if !e.eligible {
			continue
		}
		endpointLimit := limit
		if pass == passNormal { // relative to the zone's mean: a slow kind or a remote zone alone is no overload
			zoneLimit := atCapacityFactor * (1 + assumedOtherRequests) * zoneMean[e.zoneIndex] / e.Weight
			endpointLimit = min(limit, max(spilloverObjectiveShare*b.objective, zoneLimit))
		}
		expected, inFlight := b.expectedTime(e, now), float64(e.inFlight)
		e.expectedSeconds = expected
		fits := expected <= endpointLimit && e.waitingSeconds(now) <= limit*inFlight
		result.anyAtCapacity, result.anyAvailable = result.anyAtCapacity || !fits, result.anyAvailable || fits
		e.eligible = e.classes[q.Class].Admits(now) && b.mayAttemptAt(q, e, now)
		if e.eligible {
			result.excessSeconds = min(result.excessSeconds, expected-min(endpointLimit, classLimit))
			e.eligible = fits && expected <= classLimit && e.waitingSeconds(now) <= classLimit*inFlight
		}
	}
	result.endpoint = b.nextEndpoint()
	return result
}

// inService reports whether an endpoint may receive any request in a pass.
func (b *Balancer) inService(e *endpoint, pass int, now Time) bool {
	if e.State != Ready || b.adminDown[e.ID] {
		return false
	}
	if now < e.ejectedUntil && (pass == passNormal || !b.panicking) {
		return false
	}
	if pass < passSuspected && b.suspectedByPeers(e, now) {
		return false
	}
	return b.slowStartAllows(e, pass != passNormal, now)
}

// requestTimeLimit returns the expected response time in seconds above which a request is not admitted, where
// limit is the limit for any request. In a burst the observed response times are seconds old, and all
// sidecars would continue to send until the fleet is congested. Therefore the limit is divided by the load
// level.
func (b *Balancer) requestTimeLimit(q *request, limit float64, now Time) float64 {
	classLimit := limit
	if now < b.overloadedUntil {
		classLimit = b.overloadTimeLimit(q.Class)
	}
	classLimit /= b.loadLevel.Level()
	if q.overAllowance {
		classLimit *= overAllowanceFactor
	}
	return classLimit
}

// overloadTimeLimit returns the expected response time in seconds above which a class is shed while all
// endpoints are at capacity. It depends on the class's priority weight per second of mean response time: a
// class with a quarter of the highest value has half the limit.
func (b *Balancer) overloadTimeLimit(class int) float64 {
	own := b.settings.Classes[class].Priority / b.meanResponseTime[class]
	highest := math.SmallestNonzeroFloat64
	for i, c := range b.settings.Classes {
		if !b.removedClasses[i] {
			highest = math.Max(highest, c.Priority/b.meanResponseTime[i])
		}
	}
	return rejectObjectiveShare * b.objective * math.Sqrt(own/highest)
}

// overAllowance reports whether a request exceeds this sidecar's part of its tenant's allowance. That part is
// the larger of an equal part and a part in proportion to the sidecar's own traffic. In a fleet of a thousand
// sidecars, most have little traffic and some have much more; an equal part would be less than one request
// per second.
func (b *Balancer) overAllowance(i int, now Time) bool {
	b.arrivals++
	if i < 0 || i >= len(b.tenants) {
		return false
	}
	share := math.Max(
		1/float64(b.settings.Peers),
		b.arrivals/decayTimeConstant.Seconds()/math.Max(b.totalAllowance, 1e-9),
	)
	return b.tenants[i].Exceeds(now, b.settings.Tenants[i].Allowance*share, decayTimeConstant)
}

// MayReject reports whether the host may reject a request that has had no final response yet: either the
// class allows repeats, or none of its attempts may have been executed. An attempt in flight may have been
// executed. MayReject has no side effects.
func (b *Balancer) MayReject(id RequestID) bool {
	q := b.requests[id]
	return q != nil && !q.ended && b.mayReject(q)
}

// mayReject reports whether a rejection, which allows the client to retry at any endpoint, is safe.
func (b *Balancer) mayReject(q *request) bool {
	repeats := q.class.Effect == Idempotent || q.class.Effect == Deduplicated && q.class.Scope == ScopeAll
	return repeats || !slices.ContainsFunc(q.attempts, func(a attempt) bool { return !a.done || a.mayHaveRun })
}
