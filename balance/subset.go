package balance

// This file holds which part of the fleet a sidecar uses.

import (
	"math"
	"time"
)

const (
	// minSubsetSize is how many endpoints of a group a sidecar uses at least: some may fail.
	minSubsetSize = 4
	// subsetInterval is how often the subsets are chosen anew at least.
	subsetInterval = time.Second

	// A fleet becomes wide gradually from usualFleetMax usable endpoints on, and is so fully from wideFleet on.
	// There a sidecar's traffic is the same, and so is the number of endpoints that it can know and keep
	// connections to: it uses no more than wideFleetUsed of them, or for each request within the memory that
	// share of normalFleetSize, and no more than wideFleetBase and a further one for each wideFleetStep listed.
	normalFleetSize     = 200
	maxNormalFleetSize  = 300
	wideFleetSize       = 400
	wideFleetSubsetSize = 150
	wideFleetBase       = 25
	wideFleetStep       = 7
	// maxDriftShare is how far a long subset may be from its place in such a fleet, as a share of its length,
	// and longSubset the length from which on a subset is long. A few short ones out of place would spread
	// the sidecars unevenly.
	maxDriftShare  = 1.0 / 8
	longSubsetSize = 16
)

// chooseSubsets chooses this sidecar's subset of each group. Where endpoints are ready but none is in a group
// of the rule, all ready ones form one group, as without a rule.
func (b *Balancer) chooseSubsets(now Time) {
	// In a wide fleet, what one change does to lengths and places may move members of all groups.
	normal := b.wideFleetFactor() == 0
	resize := !b.subsetsStale || b.resetSubsets || normal
	b.subsetsStale, b.resetSubsets = false, false
	if now >= b.capacitySharesUpdated+subsetInterval || normal {
		b.updateCapacityShares(now)
	}
	for _, e := range b.active {
		e.active = false
	}
	b.active = b.active[:0]
	for _, g := range b.groups[:len(b.groups)-1] {
		g.inUse = !b.allEndpoints.inUse
	}
	if resize {
		b.resizeSubsets(now)
	}
	for _, g := range b.groups {
		if g.subset = g.subset[:0]; g.inUse {
			g.maxTotalWeight = math.Max(g.maxTotalWeight, g.totalWeight)
			b.chooseSubset(g, resize, now)
		}
	}
	b.endpointsVisited += len(b.active)
}

// resizeSubsets updates how long the subsets should be.
func (b *Balancer) resizeSubsets(now Time) {
	b.subsetsChosenAt = now
	share := b.subsetShare()
	for _, g := range b.groups {
		g.subsetSize = g.sizeFor(share)
	}
}

// subsetShare is the share of each group that this sidecar uses, if that is enough of it: so much that each
// member gets a request within the memory.
func (b *Balancer) subsetShare() float64 {
	share := b.arrivals / math.Max(
		float64(b.listedByZone[0])*b.zoneWeight[0]+float64(b.listedByZone[1])*b.zoneWeight[1],
		1e-9,
	)
	if b.wideFleetFactor() == 0 {
		return share
	}
	total := 0.0
	for _, g := range b.groups {
		if g.inUse {
			total += float64(g.sizeFor(share))
		}
	}
	limit := min(
		max(normalFleetSize, b.arrivals)*wideFleetSubsetSize/normalFleetSize,
		wideFleetBase+float64(len(b.listed))/wideFleetStep,
		total,
	)
	limit += (total - limit) * (1 - b.wideFleetFactor())
	return min(share, 1) * limit / max(total, 1)
}

// sizeFor is how many of a group's endpoints make up a share of it.
func (g *group) sizeFor(share float64) int {
	return int(min(
		math.Max(minSubsetSize, math.Ceil(share*float64(len(g.endpoints)))),
		float64(len(g.endpoints)),
	))
}

// chooseSubset chooses the part of a group that this sidecar uses: consecutive members of the group's ring
// from the sidecar's own position on. A sidecar with little traffic that used a whole large fleet would know
// none of its servers, and connect to all of them. Positions by the golden ratio spread any number of
// sidecars evenly. Each member that is ejected is replaced by a further one.
func (b *Balancer) chooseSubset(g *group, recenter bool, now Time) {
	n := len(g.endpoints)
	want := min(max(g.subsetSize, minSubsetSize), n)
	if g.anchored = n > 0 && g.anchored; n == 0 {
		return
	}
	first := b.subsetStart(g, want, recenter)
	for i := 0; i < n && want > 0; i++ {
		e := g.endpoints[(first+i)%n]
		g.subset = append(g.subset, e)
		if now >= e.ejectedUntil {
			want--
		}
		if !e.active {
			e.active = true
			b.active = append(b.active, e)
		}
	}
}

// subsetStart is the position on the ring at which the subset begins. If it followed the sidecar's own
// position among the usable endpoints, it would move with each one that is added or removed anywhere on the
// ring, to endpoints without connections. So it stays at its first endpoint until it has drifted so far that
// the sidecars would not be spread evenly any more. Then it moves back by one endpoint at a time.
func (b *Balancer) subsetStart(g *group, want int, recenter bool) (first int) {
	n := len(g.endpoints)
	ideal := int(math.Mod(float64(b.settings.Ordinal)*(math.Sqrt(5)-1)/2, 1) * float64(n))
	drift := 0
	if g.anchored {
		drift = (g.ringRank(g.anchorKey, g.anchorID)%n-ideal+n+n/2)%n - n/2
		slack := int(maxDriftShare * b.wideFleetFactor() * float64(want) * min(1, float64(want)/longSubsetSize))
		switch distance := max(drift, -drift); {
		case !recenter || distance <= slack:
		case slack == 0 || distance >= want:
			drift = 0
		default:
			drift -= drift / distance
		}
	}
	first = (ideal + drift + n) % n
	g.anchored, g.anchorKey, g.anchorID = true, g.endpoints[first].ringKey, g.endpoints[first].ID
	return first
}

// wideFleetFactor is how far the fleet is wider than usual ones, from 0 to 1.
func (b *Balancer) wideFleetFactor() float64 {
	return min(max(float64(b.usableCount-maxNormalFleetSize)/(wideFleetSize-maxNormalFleetSize), 0), 1)
}
