package balance

// This file contains the choice of the subset of each group that a sidecar uses.

import (
	"math"
	"time"
)

const (
	// minSubsetSize is the minimum number of endpoints of a group that a sidecar uses, as some may fail.
	minSubsetSize = 4
	// subsetInterval is the maximum time between two updates of the subsets.
	subsetInterval = time.Second

	// The transition to a wide fleet is gradual, from maxNormalFleetSize to wideFleetSize usable endpoints. A
	// sidecar has no more traffic in a wide fleet than in a smaller one. Therefore it cannot monitor more
	// endpoints, or keep connections to more. It uses at most wideFleetSubsetSize endpoints. This limit rises
	// in proportion to the requests above normalFleetSize requests within decayTimeConstant. A second limit
	// is wideFleetBase plus one for each wideFleetStep listed endpoints.
	normalFleetSize     = 200
	maxNormalFleetSize  = 300
	wideFleetSize       = 400
	wideFleetSubsetSize = 150
	wideFleetBase       = 25
	wideFleetStep       = 7
	// maxDriftShare is the maximum distance of a long subset from its ideal position in a wide fleet, as a
	// share of its length. A subset of at least longSubsetSize endpoints is long. The maximum is smaller for
	// a shorter subset, as a few short subsets out of position would spread the sidecars unevenly.
	maxDriftShare  = 1.0 / 8
	longSubsetSize = 16
)

// chooseSubsets chooses this sidecar's subset of each group. Where endpoints are ready but none is in a group
// of the rule, all ready endpoints form one group, as without a rule.
func (b *Balancer) chooseSubsets(now Time) {
	// In a wide fleet, a single change does not update sizes and positions, as this might move members of all
	// groups.
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

// resizeSubsets updates the intended sizes of the subsets.
func (b *Balancer) resizeSubsets(now Time) {
	b.subsetsResizedAt = now
	share := b.subsetShare()
	for _, g := range b.groups {
		g.subsetSize = g.sizeFor(share)
	}
}

// subsetShare returns the share of each group that this sidecar uses: the share at which each member gets one
// request within decayTimeConstant, reduced in a wide fleet.
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

// sizeFor returns the number of a group's endpoints that make up a share of it, at least minSubsetSize if the
// group has as many.
func (g *group) sizeFor(share float64) int {
	return int(min(
		math.Max(minSubsetSize, math.Ceil(share*float64(len(g.endpoints)))),
		float64(len(g.endpoints)),
	))
}

// chooseSubset chooses the part of a group that this sidecar uses: consecutive members of the group's ring
// from the sidecar's own position on. A sidecar with little traffic that used all of a large fleet would have
// too few responses from each server, and connections to all of them. Positions by the golden ratio spread
// any number of sidecars evenly. For each ejected member the subset includes a further one.
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

// subsetStart returns the position on the ring at which the subset begins. A subset that always begins at the
// sidecar's ideal position among the usable endpoints would move with each endpoint added or removed anywhere
// on the ring, to endpoints without connections. Therefore the subset keeps its first endpoint until its
// distance from the ideal position exceeds the maximum. It then moves towards the ideal position by one
// endpoint at a time, or directly if the maximum is 0 or the distance is at least the size of the subset.
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

// wideFleetFactor returns the progress of the transition from a normal to a wide fleet, from 0 to 1.
func (b *Balancer) wideFleetFactor() float64 {
	return min(max(float64(b.usableCount-maxNormalFleetSize)/(wideFleetSize-maxNormalFleetSize), 0), 1)
}
