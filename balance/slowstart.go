package balance

import (
	"math"
	"slices"
	"time"
)

// Slow start. A cold endpoint falls when all sidecars together send it, within FallTime, more than
//
//	N + 2*sqrt(N) + 2 requests of mean work (N under 30: N + 3*sqrt(N) + 3), where
//	N = FallMultiple * its present share of its capacity * its warm capacity * FallTime.
//
// Sidecars share nothing, so each keeps to a rate of its own, and the rates add up to one for the endpoint.
// Each sends one request a turn, and draws for itself when its first turn is. A sum of such counts varies
// no more than a Poisson process of the same mean, whatever the number of sidecars and however uneven their
// traffic; that of one sidecar hardly varies at all. A Poisson count of mean 0.7 N is above the budget with
// a probability of 2 in 100,000 at the least favourable N, which is 30 (mean 21, budget 42.9), and with a
// lower one elsewhere. That gives fallChance.
//
// The capacity is not disclosed: a sidecar takes for its part of it what warm endpoints have served it for
// a unit of size over capacityMemory, which is no more than they can do. While it does not know that, it
// keeps to shares of its own traffic, which a burst may raise to 1.4 times what warm endpoints can do. That
// gives coldSafe. Where a whole fleet has started cold, and the sidecars as well, nothing tells the
// capacity, and shares are all there is.
const (
	overloadShare        = 0.7                 // of N: what all sidecars send in the mean, at most
	unknownCapacityShare = overloadShare / 1.4 // of N, where the capacity is not known
	maxOverflowShares    = 2.0                 // shares that a cold endpoint gets at most, if all else is full

	capacityMemory = 30 * time.Second // what warm endpoints have served decays by 1/e in this time
	minServed      = 0.5              // answers, and
	minMeasured    = 2.0              // seconds, from which on the capacity counts as known
)

// capacityMeter measures what warm endpoints serve this sidecar a second for each unit of weight.
type capacityMeter struct {
	served         float64    // decaying count of their answers
	seconds        float64    // decaying length of the time
	weightSeconds  [2]float64 // size of those in use, by seconds: for their zone, and regardless of it
	warmedUpWeight [2]float64 // size of those in use now
}

// advance records that a time has passed with the endpoints in use as they are.
func (m *capacityMeter) advance(d time.Duration) {
	keep := math.Exp(-d.Seconds() / capacityMemory.Seconds())
	m.served *= keep
	m.seconds = m.seconds*keep + d.Seconds()
	for i := range m.weightSeconds {
		m.weightSeconds[i] = m.weightSeconds[i]*keep + m.warmedUpWeight[i]*d.Seconds()
	}
}

// known reports whether enough was served to go by.
func (m *capacityMeter) known() bool {
	return m.served >= minServed && m.seconds >= minMeasured && m.weightSeconds[0] > 0
}

// selectionCredit are parts of the next turn of a cold endpoint that have come due, 1 or more where the turn
// is there. They add up as warmth, traffic and capacity go: what has come due is not counted anew by a warmth
// that has risen since, or sidecars with little traffic would all have their turn well before its time.
type selectionCredit struct {
	countedSends   float64 // the balancer's count of sends up to which they are counted
	countedUntil   Time    // and the time
	zoneTraffic    float64 // of the traffic, in the endpoint's zone
	fleetTraffic   float64 // of the traffic, regardless of zones
	zoneAllowance  float64 // of the allowance, in the endpoint's zone
	fleetAllowance float64 // of the allowance, regardless of zones
	// ahead has the endpoint go before the rotation, once its turn has come. Where that takes longer than the
	// memory to come round, most turns would pass before it does.
	aheadOfRotation bool
}

// reset begins a turn at a phase from 0 to 1. It is the same for all parts: they have to come due together.
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

// updateCredit brings the turns of a cold endpoint up to date, and returns what the request in hand adds to
// its share and to its early one.
func (b *Balancer) updateCredit(e *endpoint, now Time) (share, early float64) {
	t, m, able := &e.slowStart, &b.capacity, e.Weight*e.capacityShare
	share, early = 1, maxOverflowShares
	if !m.known() {
		t.zoneAllowance, t.fleetAllowance = max(t.zoneAllowance, 1), max(t.fleetAllowance, 1)
		early = min(maxOverflowShares, unknownCapacityShare*b.settings.OverloadMultiple)
		share, early = min(early, 1)*b.usedShare(b.zonedCapacity), early*b.usedShare(b.activeCapacity)
	} else {
		elapsed := max(now-t.countedUntil, 0).Seconds()
		allowed := overloadShare * b.settings.OverloadMultiple * able * m.served * elapsed
		if m.warmedUpWeight[1] > 0 {
			// Where each zone keeps to itself, its sidecars alone may use up the allowance, and the early turns of
			// all others come on top: one allowance less what is near of the whole.
			allowed /= 2 - m.weightSeconds[0]/m.weightSeconds[1]
		}
		t.zoneAllowance += allowed * b.zoneWeight[e.zoneIndex] / m.weightSeconds[0]
		t.fleetAllowance += allowed / m.weightSeconds[1]
	}
	sent := b.sends - t.countedSends
	share *= able * b.zoneWeight[e.zoneIndex] / math.Max(b.zonedCapacity, 1e-9)
	early *= able / math.Max(b.activeCapacity, 1e-9)
	t.zoneTraffic, t.fleetTraffic = t.zoneTraffic+share*sent, t.fleetTraffic+early*sent
	t.countedSends, t.countedUntil = b.sends, now
	return share, early
}

// usedShare is the part of the fleet that all sidecars use if each uses as much as this one. A few that
// begin with small subsets, or keep to a zone each, crowd what they use.
func (b *Balancer) usedShare(used float64) float64 {
	whole := 0.0
	for _, g := range b.groups {
		whole += g.capacity[0] + g.capacity[1]
	}
	return min(float64(b.settings.Peers)*used/math.Max(whole, 1e-9), 1)
}

// slowStartAllows reports whether an endpoint is warm, or has its next turn for the share of its capacity
// that it has. Sidecars that all turn to a cold endpoint, as it alone seems free, push it over. When each
// keeps to its turns, it gets no more for its warmth than the fleet's mean, whatever the number of
// sidecars. A request that finds no other place may have an early turn, in any zone: where the whole fleet
// is cold, turns kept to the letter leave most requests none, and other zones have next to none as long as
// the own one is thought to do. Early turns are counted over the fleet: all sidecars together give some
// times its share. No turn goes beyond the allowance.
func (b *Balancer) slowStartAllows(e *endpoint, early bool, now Time) bool {
	if e.capacityShare >= 1 {
		return true
	}
	share, earlyShare := b.updateCredit(e, now)
	t := &e.slowStart
	inZone := t.zoneTraffic+share >= 1 && t.zoneAllowance >= 1
	anywhere := t.fleetTraffic+earlyShare >= 1 && t.fleetAllowance >= 1
	t.aheadOfRotation = inZone && b.capacity.known() && b.arrivals < minSubset
	if b.capacity.warmedUpWeight[1] == 0 {
		return anywhere && (early || inZone) // all are cold: the own zone's have no more than the others
	}
	return inZone || early && anywhere
}

// capacityShareAt is the share of its capacity that an endpoint has: it rises evenly from its start.
func (b *Balancer) capacityShareAt(e *endpoint, now Time) float64 {
	age, window, start := now-e.Started, b.settings.SlowStartWindow, b.settings.SlowStartCapacity
	if e.Started <= 0 || age >= window {
		return 1
	}
	return start + (1-start)*max(age.Seconds(), 0)/window.Seconds()
}

// drawFirstSelections draws when started endpoints have their first turn, within the time in which each has
// one. Sidecars that are notified together must not send together. That time is long for one of many
// sidecars, and if each began it with the start, the fleet would leave what started idle until it is warm.
func (b *Balancer) drawFirstSelections(now Time) {
	for _, e := range b.started {
		if e.awaitsFirstSelection {
			e.slowStart.reset(b.sends, now, b.random.Float64())
		}
		e.awaitsFirstSelection = false
	}
}

// updateCapacityShares records how warm the endpoints have become that were cold.
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
