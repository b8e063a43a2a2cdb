package balance

import (
	"cmp"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// This file contains the rings of the groups: their usable endpoints, in an order that all sidecars share.

// noRuleGroupReady reports whether no group of the rule has a usable endpoint.
func (b *Balancer) noRuleGroupReady() bool {
	return !slices.ContainsFunc(b.groups[:len(b.groups)-1], func(g *group) bool { return len(g.endpoints) > 0 })
}

// setFallbackGroup fills or empties the group of all usable endpoints. It is used while no group of the rule
// has a usable endpoint.
func (b *Balancer) setFallbackGroup(used bool) {
	g := b.allEndpoints
	b.subsetsStale, b.resetSubsets, g.inUse = true, true, used
	if g.removeAll(); !used {
		return
	}
	for _, e := range b.listed {
		if e.usable {
			g.endpoints = append(g.endpoints, e)
			g.addWeight(e, 1)
		}
	}
	slices.SortFunc(g.endpoints, compareRingPosition)
}

// groupsOfEndpoint returns the groups whose rings contain an endpoint.
func (b *Balancer) groupsOfEndpoint(e *endpoint) []*group {
	if b.allEndpoints.inUse {
		return append(slices.Clone(e.memberOf), b.allEndpoints)
	}
	return e.memberOf
}

// removeAll removes all endpoints from the group.
func (g *group) removeAll() {
	g.endpoints, g.capacity, g.totalWeight = g.endpoints[:0], [2]float64{}, 0
}

// addWeight adds an endpoint's weight and capacity to those of the group, or subtracts them if sign is
// negative.
func (g *group) addWeight(e *endpoint, sign float64) {
	g.totalWeight += sign * e.Weight
	g.capacity[e.zoneIndex] += sign * e.Weight * e.countedCapacityShare
	if len(g.endpoints) == 0 { // discards rounding errors
		g.totalWeight, g.capacity = 0, [2]float64{}
	}
}

// compareRingPosition orders endpoints on the ring of a group.
func compareRingPosition(x, y *endpoint) int {
	return cmp.Or(cmp.Compare(x.ringKey, y.ringKey), strings.Compare(x.ID, y.ID))
}

// ringKeyFor returns the ring key of an ID. In a wide fleet it is a hash, so that added and removed endpoints
// are spread over the rings whatever their names.
func (b *Balancer) ringKeyFor(id string) uint64 {
	if b.ringsHashed {
		return xxhash.Sum64String(id)
	}
	return 0
}

// reorderRings sorts the rings by hash, or by ID again.
func (b *Balancer) reorderRings(hashed bool) {
	b.ringsHashed, b.subsetsStale, b.resetSubsets = hashed, true, true
	for _, e := range b.known {
		e.ringKey = b.ringKeyFor(e.ID)
	}
	for _, g := range b.groups {
		slices.SortFunc(g.endpoints, compareRingPosition)
		g.anchored = false
	}
}

// ringRank returns how many endpoints of the group precede the given key and ID on its ring.
func (g *group) ringRank(key uint64, id string) int {
	return sort.Search(len(g.endpoints), func(i int) bool {
		e := g.endpoints[i]
		return e.ringKey > key || e.ringKey == key && e.ID >= id
	})
}

// touchesSubset reports whether the endpoint at a rank is within the subset or directly after it.
func (g *group) touchesSubset(at int) bool {
	n := len(g.endpoints)
	return g.inUse && (!g.anchored || (at-g.ringRank(g.anchorKey, g.anchorID)%n+n)%n <= len(g.subset))
}
