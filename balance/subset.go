package balance

// This file holds which part of the fleet a sidecar uses.

import (
	"math"
	"time"
)

const (
	// minSubset is how many endpoints of a group a sidecar uses at least: some may fail.
	minSubset = 4
	// subsetInterval is how often the subsets are chosen anew at least.
	subsetInterval = time.Second

	// A fleet becomes wide gradually from usualFleetMax usable endpoints on, and is so fully from wideFleet on.
	// There a sidecar's traffic is the same, and so is the number of endpoints that it can know and keep
	// connections to: it uses no more than wideFleetUsed of them, or for each request within the memory that
	// share of usualFleet, and no more than wideFleetBase and a further one for each wideFleetStep listed.
	usualFleet    = 200
	usualFleetMax = 300
	wideFleet     = 400
	wideFleetUsed = 150
	wideFleetBase = 25
	wideFleetStep = 7
	// maxDrift is how far a long subset may be from its place in such a fleet, as a share of its length,
	// and longSubset the length from which on a subset is long. A few short ones out of place would spread
	// the sidecars unevenly.
	maxDrift   = 1.0 / 8
	longSubset = 16
)

// takeSubsets chooses this sidecar's subset of each group. Where endpoints are ready but none is in a group
// of the rule, all ready ones form one group, as without a rule.
func (b *Balancer) takeSubsets(now Time) {
	// In a wide fleet, what one change does to lengths and places may move members of all groups.
	usual := b.widthFactor() == 0
	settle := !b.subsetsStale || b.resettled || usual
	b.subsetsStale, b.resettled = false, false
	if now >= b.capacitySharesUpdated+subsetInterval || usual {
		b.updateCapacityShares(now)
	}
	for _, e := range b.active {
		e.active = false
	}
	b.active = b.active[:0]
	for _, g := range b.groups[:len(b.groups)-1] {
		g.inUse = !b.allEndpoints.inUse
	}
	if settle {
		b.resizeSubsets(now)
	}
	for _, g := range b.groups {
		if g.subset = g.subset[:0]; g.inUse {
			g.largest = math.Max(g.largest, g.totalWeight)
			b.takeSubset(g, settle, now)
		}
	}
	b.endpointsVisited += len(b.active)
}

// resizeSubsets updates how long the subsets should be.
func (b *Balancer) resizeSubsets(now Time) {
	b.subsetsTaken = now
	share := b.subsetShare()
	for _, g := range b.groups {
		g.subsetSize = g.lengthFor(share)
	}
}

// subsetShare is the share of each group that this sidecar uses, if that is enough of it: so much that each
// member gets a request within the memory.
func (b *Balancer) subsetShare() float64 {
	share := b.arrivals / math.Max(
		float64(b.listedByZone[0])*b.zoneWeight[0]+float64(b.listedByZone[1])*b.zoneWeight[1],
		1e-9,
	)
	if b.widthFactor() == 0 {
		return share
	}
	total := 0.0
	for _, g := range b.groups {
		if g.inUse {
			total += float64(g.lengthFor(share))
		}
	}
	most := min(
		max(usualFleet, b.arrivals)*wideFleetUsed/usualFleet,
		wideFleetBase+float64(len(b.listed))/wideFleetStep,
		total,
	)
	most += (total - most) * (1 - b.widthFactor())
	return min(share, 1) * most / max(total, 1)
}

// lengthFor is how many of a group's endpoints make up a share of it.
func (g *group) lengthFor(share float64) int {
	return int(min(math.Max(minSubset, math.Ceil(share*float64(len(g.endpoints)))), float64(len(g.endpoints))))
}

// takeSubset chooses the part of a group that this sidecar uses: consecutive members of the group's ring from
// the sidecar's own position on. A sidecar with little traffic that used a whole large fleet would know none
// of its servers, and connect to all of them. Positions by the golden ratio spread any number of sidecars
// evenly. Each member that is ejected is replaced by a further one.
func (b *Balancer) takeSubset(g *group, settle bool, now Time) {
	n := len(g.endpoints)
	want := min(max(g.subsetSize, minSubset), n)
	if g.anchored = n > 0 && g.anchored; n == 0 {
		return
	}
	first := b.subsetStart(g, want, settle)
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
func (b *Balancer) subsetStart(g *group, want int, settle bool) (first int) {
	n := len(g.endpoints)
	ideal := int(math.Mod(float64(b.settings.Ordinal)*(math.Sqrt(5)-1)/2, 1) * float64(n))
	drift := 0
	if g.anchored {
		drift = (g.rank(g.anchor, g.anchorID)%n-ideal+n+n/2)%n - n/2
		slack := int(maxDrift * b.widthFactor() * float64(want) * min(1, float64(want)/longSubset))
		switch off := max(drift, -drift); {
		case !settle || off <= slack:
		case slack == 0 || off >= want:
			drift = 0
		default:
			drift -= drift / off
		}
	}
	first = (ideal + drift + n) % n
	g.anchored, g.anchor, g.anchorID = true, g.endpoints[first].ringKey, g.endpoints[first].ID
	return first
}

// widthFactor is how far the fleet is wider than usual ones, from 0 to 1.
func (b *Balancer) widthFactor() float64 {
	return min(max(float64(b.usableCount-usualFleetMax)/(wideFleet-usualFleetMax), 0), 1)
}
