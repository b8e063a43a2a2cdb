package balance

import "slices"

// This file contains the index of the endpoints. It is updated entry by entry, so that the cost of a change
// depends only on the number of endpoints that change.

// index holds the endpoints and the values derived from them.
type index struct {
	listed                []*endpoint          // in no particular order
	known                 map[string]*endpoint // by ID: listed, or removed with attempts in flight
	removedInFlight       []*endpoint          // removed, with attempts in flight
	warmingUp             []*endpoint          // listed, and warming up at the last update
	capacitySharesUpdated Time                 // when the capacity shares of warmingUp were last updated
	started               []*endpoint          // endpoints whose first selection may have to be drawn
	listedByZone          [2]int               // how many are listed in the own zone and in the others
	usableCount           int                  // how many are ready and not administratively down
	groupsByTags          map[[2]string][]*group

	subsetsStale bool // a subset has to be chosen again
	resetSubsets bool // all subsets have to be chosen again, as for a new fleet
	ringsHashed  bool // the rings are ordered by hash instead of by ID

	endpointsVisited int // number of endpoints visited by lists and ticks, a measure of their cost
}

// addToIndex adds an endpoint to the index, and to its rings if it is ready and not administratively down.
func (b *Balancer) addToIndex(e *endpoint, now Time) {
	if e.State == Removed {
		if !slices.Contains(b.removedInFlight, e) {
			b.removedInFlight = append(b.removedInFlight, e)
		}
		return
	}
	b.addToListed(e, now)
	if !e.usable {
		return
	}
	for _, g := range b.groupsOfEndpoint(e) {
		at := g.ringRank(e.ringKey, e.ID)
		g.endpoints = slices.Insert(g.endpoints, at, e)
		g.addWeight(e, 1)
		b.subsetsStale = b.subsetsStale || g.touchesSubset(at)
	}
}

// removeFromIndex removes an endpoint from the index and its rings.
func (b *Balancer) removeFromIndex(e *endpoint) {
	if !e.listed {
		return
	}
	b.endpointsVisited++
	last := len(b.listed) - 1
	b.listed[e.listedIndex] = b.listed[last]
	b.listed[e.listedIndex].listedIndex, b.listed[last] = e.listedIndex, nil
	b.listed = b.listed[:last]
	b.listedByZone[e.zoneIndex]--
	e.listed = false
	if !e.usable {
		return
	}
	b.usableCount--
	b.subsetsStale = b.subsetsStale || e.active
	for _, g := range b.groupsOfEndpoint(e) {
		at := g.ringRank(e.ringKey, e.ID)
		g.endpoints = slices.Delete(g.endpoints, at, at+1)
		g.addWeight(e, -1)
	}
	e.usable = false
}

// addToListed adds an endpoint to the listed ones and determines whether it is usable.
func (b *Balancer) addToListed(e *endpoint, now Time) {
	b.endpointsVisited++
	e.listedIndex, b.listed = len(b.listed), append(b.listed, e)
	b.listedByZone[e.zoneIndex]++
	e.listed, e.usable, e.capacityShare = true, e.State == Ready && !b.adminDown[e.ID], b.capacityShareAt(e, now)
	e.countedCapacityShare = e.capacityShare
	if e.usable {
		b.usableCount++
	}
	if e.capacityShare < 1 && !e.inWarmingUp {
		e.inWarmingUp = true
		b.warmingUp = append(b.warmingUp, e)
	}
}

// rebuildIndex rebuilds the index after a complete list.
func (b *Balancer) rebuildIndex(now Time) {
	b.listed, b.removedInFlight, b.listedByZone, b.usableCount = b.listed[:0], b.removedInFlight[:0], [2]int{}, 0
	b.subsetsStale, b.resetSubsets = true, true
	var listed []*endpoint
	for _, g := range b.groups {
		g.removeAll()
	}
	b.allEndpoints.inUse = false // refreshAfterChange fills the group again if it is needed
	for _, e := range b.known {
		if e.listed, e.usable = false, false; e.State == Removed {
			b.removedInFlight = append(b.removedInFlight, e)
		} else {
			listed = append(listed, e)
		}
	}
	slices.SortFunc(listed, compareRingPosition)
	for _, e := range listed {
		if b.addToListed(e, now); e.usable {
			for _, g := range e.memberOf {
				g.endpoints = append(g.endpoints, e)
				g.addWeight(e, 1)
			}
		}
	}
}
