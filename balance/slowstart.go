package balance

import (
	"math"
	"slices"
	"time"
)

// Slow start. An endpoint that is warming up is overloaded when all sidecars together send it, within
// OverloadWindow, more than
//
//	N + 2*sqrt(N) + 2 requests of mean work (N under 30: N + 3*sqrt(N) + 3), where
//	N = OverloadMultiple * its present share of its capacity * its full capacity * OverloadWindow.
//
// Sidecars do not coordinate, so each limits its own rate, and these rates add up to one limit for the
// endpoint. A sidecar selects the endpoint once whenever its credit reaches 1, starting from a random phase.
// The variance of the sum of such counts is at most that of a Poisson process of the same mean, whatever the
// number of sidecars and however uneven their traffic. A Poisson count of mean 0.7 N exceeds the limit with a
// probability of 2 in 100,000 at the least favourable N, which is 30 (mean 21, limit 42.9), and with a lower
// probability at any other N. Therefore overloadShare is 0.7.
//
// The capacity is not published. A sidecar estimates its part of the capacity from the responses of warmed-up
// endpoints per unit of weight over capacityTimeConstant. These cannot exceed the true capacity. Without an
// estimate, the sidecar limits an endpoint to a share of the sidecar's own traffic. A burst may raise that
// traffic to 1.4 times the capacity of warmed-up endpoints; hence unknownCapacityShare. Where the whole fleet
// and the sidecars have just started, the capacity cannot be estimated, and only these shares limit the rate.
const (
	overloadShare        = 0.7                 // maximum mean of the requests of all sidecars, as a share of N
	unknownCapacityShare = overloadShare / 1.4 // the same while the capacity is unknown
	maxOverflowShares    = 2.0                 // maximum in shares for an endpoint if all others are at capacity

	capacityTimeConstant = 30 * time.Second // time in which the responses of warmed-up endpoints decay to 1/e
	minServedResponses   = 0.5              // minimum number of responses for a known capacity
	minMeasuredSeconds   = 2.0              // minimum measuring time for a known capacity

	minCapacity = 1e-9 // keeps a ratio finite where no endpoint has capacity
)

// capacityMeter measures the responses of warmed-up endpoints to this sidecar per second and unit of weight.
type capacityMeter struct {
	served         float64    // decaying count of their responses
	seconds        float64    // decaying measuring time
	weightSeconds  [2]float64 // decaying sum of weight times seconds in use, with and without the zone weight
	warmedUpWeight [2]float64 // current weight of warmed-up endpoints in use, with and without the zone weight
}

// advance adds a period with the endpoints that are currently in use.
func (m *capacityMeter) advance(period time.Duration) {
	factor := math.Exp(-period.Seconds() / capacityTimeConstant.Seconds())
	m.served *= factor
	m.seconds = m.seconds*factor + period.Seconds()
	for i := range m.weightSeconds {
		m.weightSeconds[i] = m.weightSeconds[i]*factor + m.warmedUpWeight[i]*period.Seconds()
	}
}

// known reports whether there are enough responses for an estimate.
func (m *capacityMeter) known() bool {
	return m.served >= minServedResponses && m.seconds >= minMeasuredSeconds && m.weightSeconds[0] > 0
}

// selectionCredit is the accumulated credit towards the next selection of an endpoint that is warming up;
// with a credit of 1 it may be selected. Credit accumulates at the rates in force at the time. The capacity
// share rises in the meantime: if the credit were recomputed from the present share, all sidecars with little
// traffic would select the endpoint much too early.
type selectionCredit struct {
	countedSends   float64 // value of Balancer.sentAttempts up to which credit is counted
	countedUntil   Time    // time up to which credit is counted
	zoneTraffic    float64 // from traffic, in the endpoint's zone
	fleetTraffic   float64 // from traffic, regardless of zones
	zoneAllowance  float64 // from the allowance, in the endpoint's zone
	fleetAllowance float64 // from the allowance, regardless of zones
	// aheadOfRotation is set if the endpoint is due and takes precedence over the rotation. Where a rotation
	// takes longer than decayTimeConstant, most selections would otherwise be missed.
	aheadOfRotation bool
}

// reset starts the credit for the next selection at a phase from 0 to 1. All parts have the same phase, as
// they have to become due at the same time.
func (t *selectionCredit) reset(sends float64, now Time, phase float64) {
	*t = selectionCredit{
		countedSends:   sends,
		countedUntil:   now,
		zoneTraffic:    phase,
		fleetTraffic:   phase,
		zoneAllowance:  phase,
		fleetAllowance: phase,
	}
}

// updateCredit updates the credit of an endpoint that is warming up, and returns how much the current request
// adds to its zoneTraffic and fleetTraffic.
func (b *Balancer) updateCredit(e *endpoint, now Time) (inZone, inFleet float64) {
	credit, meter, capacity := &e.slowStart, &b.capacity, e.Weight*e.capacityShare
	inZone, inFleet = 1, maxOverflowShares
	if !meter.known() {
		credit.zoneAllowance = max(credit.zoneAllowance, 1)
		credit.fleetAllowance = max(credit.fleetAllowance, 1)
		inFleet = min(maxOverflowShares, unknownCapacityShare*b.settings.OverloadMultiple)
		inZone, inFleet = min(inFleet, 1)*b.fleetUsedShare(b.zoneWeightedCapacity),
			inFleet*b.fleetUsedShare(b.activeCapacity)
	} else {
		elapsed := max(now-credit.countedUntil, 0).Seconds()
		allowed := overloadShare * b.settings.OverloadMultiple * capacity * meter.served * elapsed
		if meter.warmedUpWeight[1] > 0 {
			// If each zone sends to its own endpoints only, the sidecars of one zone may use the complete
			// allowance. All other sidecars may add requests ahead of schedule, up to one allowance less the
			// own zone's part of the fleet. The total is 2 less that part, in allowances; dividing by it
			// limits the total to one allowance.
			allowed /= 2 - meter.weightSeconds[0]/meter.weightSeconds[1]
		}
		credit.zoneAllowance += allowed * b.zoneWeight[e.zoneIndex] / meter.weightSeconds[0]
		credit.fleetAllowance += allowed / meter.weightSeconds[1]
	}
	sent := b.sentAttempts - credit.countedSends
	inZone *= capacity * b.zoneWeight[e.zoneIndex] / math.Max(b.zoneWeightedCapacity, minCapacity)
	inFleet *= capacity / math.Max(b.activeCapacity, minCapacity)
	credit.zoneTraffic += inZone * sent
	credit.fleetTraffic += inFleet * sent
	credit.countedSends, credit.countedUntil = b.sentAttempts, now
	return inZone, inFleet
}

// fleetUsedShare returns the part of the fleet that all sidecars use if each uses as much as this one. A few
// sidecars that start with small subsets, or use one zone each, concentrate their traffic on those endpoints.
func (b *Balancer) fleetUsedShare(used float64) float64 {
	total := 0.0
	for _, g := range b.groups {
		total += g.capacity[0] + g.capacity[1]
	}
	return min(float64(b.settings.Peers)*used/math.Max(total, minCapacity), 1)
}

// slowStartAllows reports whether an endpoint is warmed up, or due for its next selection according to its
// capacity share. If all sidecars selected an endpoint that is warming up whenever it alone seems to have
// capacity, they would overload it. If each follows its schedule, the traffic of the endpoint in relation to
// its capacity is at most the mean of the fleet, whatever the number of sidecars.
//
// overflow is set for a request for which no endpoint has capacity left. Such a request may select an
// endpoint ahead of schedule, in any zone. Where the whole fleet is warming up, the schedule alone would
// leave most requests without an endpoint. Selections ahead of schedule are counted across the fleet: all
// sidecars together make at most maxOverflowShares times the endpoint's share. No selection exceeds the
// allowance.
func (b *Balancer) slowStartAllows(e *endpoint, overflow bool, now Time) bool {
	if e.capacityShare >= 1 {
		return true
	}
	inZone, inFleet := b.updateCredit(e, now)
	credit := &e.slowStart
	dueInZone := credit.zoneTraffic+inZone >= 1 && credit.zoneAllowance >= 1
	dueInFleet := credit.fleetTraffic+inFleet >= 1 && credit.fleetAllowance >= 1
	credit.aheadOfRotation = dueInZone && b.capacity.known() && b.arrivals < minSubsetSize
	if b.capacity.warmedUpWeight[1] == 0 {
		// All endpoints are warming up: those of the own zone have no more capacity than the others.
		return dueInFleet && (overflow || dueInZone)
	}
	return dueInZone || overflow && dueInFleet
}

// capacityShareAt returns the present share of an endpoint's full capacity. It rises linearly from
// SlowStartCapacity to 1 over SlowStartWindow.
func (b *Balancer) capacityShareAt(e *endpoint, now Time) float64 {
	age, window, start := now-e.Started, b.settings.SlowStartWindow, b.settings.SlowStartCapacity
	if e.Started <= 0 || age >= window {
		return 1
	}
	return start + (1-start)*max(age.Seconds(), 0)/window.Seconds()
}

// drawFirstSelections draws a random phase for the first selection of each started endpoint, within one
// period of its schedule. Sidecars that are notified at the same time must not send at the same time. With
// many sidecars, the period of each is long: if each started with a full period, the endpoint would remain
// idle until it is warmed up.
func (b *Balancer) drawFirstSelections(now Time) {
	for _, e := range b.started {
		if e.awaitsFirstSelection {
			e.slowStart.reset(b.sentAttempts, now, b.random.Float64())
		}
		e.awaitsFirstSelection = false
	}
}

// updateCapacityShares updates the capacity shares of the endpoints that were warming up.
func (b *Balancer) updateCapacityShares(now Time) {
	b.capacitySharesUpdated = now
	b.endpointsVisited += len(b.warmingUp)
	b.warmingUp = slices.DeleteFunc(b.warmingUp, func(e *endpoint) bool {
		e.capacityShare = b.capacityShareAt(e, now)
		if e.usable {
			for _, g := range b.groupsOfEndpoint(e) {
				g.capacity[e.zoneIndex] += e.Weight * (e.capacityShare - e.countedCapacityShare)
			}
		}
		e.countedCapacityShare = e.capacityShare
		e.inWarmingUp = e.listed && e.capacityShare < 1
		return !e.inWarmingUp
	})
}
