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
// Sidecars do not coordinate, so each keeps to a rate of its own, and the rates add up to one for the
// endpoint. A sidecar selects the endpoint once whenever its credit reaches 1, from a first phase drawn at
// random. A sum of such counts varies no more than a Poisson process of the same mean, whatever the number of
// sidecars and however uneven their traffic. A Poisson count of mean 0.7 N is above the limit with a
// probability of 2 in 100,000 at the least favourable N, which is 30 (mean 21, limit 42.9), and with a lower
// one elsewhere. Hence overloadShare.
//
// The capacity is not disclosed: a sidecar estimates its part of it by what warmed-up endpoints have served
// it for a unit of weight over capacityTimeConstant, which is no more than they can do. Until it knows that,
// it keeps to shares of its own traffic, which a burst may raise to 1.4 times what warmed-up endpoints can
// do. Hence unknownCapacityShare. Where a whole fleet and the sidecars have just started, nothing tells the
// capacity, and shares are all there is.
const (
	overloadShare        = 0.7                 // of N: what all sidecars send in the mean, at most
	unknownCapacityShare = overloadShare / 1.4 // of N, where the capacity is not known
	maxOverflowShares    = 2.0                 // shares that one endpoint gets at most, if all else is full

	capacityTimeConstant = 30 * time.Second // what warmed-up endpoints have served decays to 1/e in this time
	minServedResponses   = 0.5              // answers, and
	minMeasuredSeconds   = 2.0              // seconds, from which on the capacity counts as known

	minCapacity = 1e-9 // keeps a ratio finite where nothing can serve
)

// capacityMeter measures what warmed-up endpoints serve this sidecar a second for each unit of weight.
type capacityMeter struct {
	served         float64    // decaying count of their answers
	seconds        float64    // decaying length of the time
	weightSeconds  [2]float64 // weight of those in use, times seconds: by zone weight, and without it
	warmedUpWeight [2]float64 // weight of those in use now, likewise
}

// advance records that a time has passed with the endpoints in use as they are.
func (m *capacityMeter) advance(period time.Duration) {
	factor := math.Exp(-period.Seconds() / capacityTimeConstant.Seconds())
	m.served *= factor
	m.seconds = m.seconds*factor + period.Seconds()
	for i := range m.weightSeconds {
		m.weightSeconds[i] = m.weightSeconds[i]*factor + m.warmedUpWeight[i]*period.Seconds()
	}
}

// known reports whether enough was served for an estimate.
func (m *capacityMeter) known() bool {
	return m.served >= minServedResponses && m.seconds >= minMeasuredSeconds && m.weightSeconds[0] > 0
}

// selectionCredit is how much of the next selection of an endpoint that is warming up has come due; at 1 it
// may be selected. Credit accumulates at the rates of the time: computed anew from a capacity share that has
// risen since, sidecars with little traffic would all select the endpoint well before its time.
type selectionCredit struct {
	countedSends   float64 // the balancer's count of sends up to which credit is counted
	countedUntil   Time    // and the time
	zoneTraffic    float64 // of the traffic, in the endpoint's zone
	fleetTraffic   float64 // of the traffic, regardless of zones
	zoneAllowance  float64 // of the allowance, in the endpoint's zone
	fleetAllowance float64 // of the allowance, regardless of zones
	// aheadOfRotation is set if the endpoint is due and goes before the rotation. Where the rotation takes
	// longer than the memory to come round, most selections would be missed otherwise.
	aheadOfRotation bool
}

// reset starts the credit for the next selection at a phase from 0 to 1, the same for all parts: they have to
// come due together.
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

// updateCredit brings the credit of an endpoint that is warming up to the present, and returns what the
// request that is being decided adds to its zoneTraffic and fleetTraffic.
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
			// Where each zone keeps to itself, its sidecars alone may use up the allowance, and what all others
			// send ahead of schedule comes on top: one allowance less the own zone's part of the whole.
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

// fleetUsedShare is the part of the fleet that all sidecars use if each uses as much as this one. A few that
// start with small subsets, or keep to a zone each, concentrate their traffic on what they use.
func (b *Balancer) fleetUsedShare(used float64) float64 {
	total := 0.0
	for _, g := range b.groups {
		total += g.capacity[0] + g.capacity[1]
	}
	return min(float64(b.settings.Peers)*used/math.Max(total, minCapacity), 1)
}

// slowStartAllows reports whether an endpoint is warmed up, or due for its next selection by the share of its
// capacity that it has. Sidecars that all select an endpoint that is warming up, as it alone seems free,
// overload it. If each keeps to its schedule, the endpoint gets no more for its capacity than the fleet's
// mean, whatever the number of sidecars.
//
// overflow is set for a request that finds no endpoint with capacity left: it may select one ahead of
// schedule, in any zone. Where the whole fleet is warming up, the schedule alone would leave most requests
// without an endpoint. Selections ahead of schedule are counted over the fleet: all sidecars together make no
// more than maxOverflowShares of the endpoint's share. No selection goes beyond the allowance.
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

// capacityShareAt is the share of its capacity that an endpoint has: it rises linearly from its start.
func (b *Balancer) capacityShareAt(e *endpoint, now Time) float64 {
	age, window, start := now-e.Started, b.settings.SlowStartWindow, b.settings.SlowStartCapacity
	if e.Started <= 0 || age >= window {
		return 1
	}
	return start + (1-start)*max(age.Seconds(), 0)/window.Seconds()
}

// drawFirstSelections draws at random when started endpoints are first due, within one period of their
// schedule. Sidecars that are notified together must not send together. The period of one of many sidecars is
// long: if each started with a whole one, the fleet would leave the endpoint idle until it is warmed up.
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
