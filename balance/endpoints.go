package balance

// This file holds the list of endpoints and its index, which is kept in order: a change costs what it
// changes.

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// endpoint is a server as listed, and what this sidecar knows of it.
type endpoint struct {
	Endpoint
	observations

	inFlight     int  // attempts of this sidecar that are out and count
	dueSinceSum  Time // sum of the times since which their answers are due
	lastResponse Time // when it last answered
	reportedAt   Time // when the newest peers' report against it was written; 0: there is none

	capacityShare        float64         // share of its capacity that it has, from 0 to 1
	awaitsFirstSelection bool            // its process has started and had no turn drawn yet
	slowStart            selectionCredit // while it is cold, towards its next request

	zoneIndex int      // 0 in the sidecar's own zone, 1 in others
	memberOf  []*group // groups of the rule whose tags it carries
	homeGroup *group   // the first of them, or that of all endpoints: its peers there are alike
	ringKey   uint64   // its place on the rings of its groups

	listed               bool    // it is in the index
	listPosition         int     // where in index.listed
	usable               bool    // it is in the rings: ready and not administratively down
	inWarmingUp          bool    // it is in index.cold
	countedCapacityShare float64 // the warmth that its groups' capacities count
	active               bool    // it is in the subset of one of its groups

	eligible        bool    // may be chosen for the request that is being decided
	expectedSeconds float64 // answer time expected for that request
}

// index holds the endpoints so that a change costs what it changes.
type index struct {
	listed                []*endpoint          // in no order
	known                 map[string]*endpoint // by id: listed, or removed with attempts out
	departing             []*endpoint          // removed with attempts out
	warmingUp             []*endpoint          // not known to be warm yet
	capacitySharesUpdated Time                 // when the warmth of the cold ones was last updated
	started               []*endpoint          // processes without a first turn
	listedByZone          [2]int               // how many are listed in the own zone, and in others
	usableCount           int                  // how many are ready and not administratively down
	groupsByTags          map[[2]string][]*group

	subsetsStale bool // a subset is to be taken anew
	resettled    bool // all of them are, as for a new fleet
	ringsHashed  bool // the rings are in order of hashes, not of ids

	endpointsVisited int // by lists and ticks so far: what the size of a fleet costs
}

// Endpoints takes over a list of discovery. A call of discovery that failed leaves the list as it is.
func (b *Balancer) Endpoints(now Time, kind ListKind, list []Endpoint) {
	if kind == ListRefused {
		b.retryDiscovery()
		return
	}
	whole := kind != ListChanges
	if whole {
		for _, e := range b.listed {
			e.State = Removed
		}
	}
	for _, entry := range list {
		e := b.known[entry.ID]
		if e == nil && entry.State == Removed {
			continue
		}
		if e == nil {
			e = &endpoint{observations: b.newObservations(now), ringKey: b.ringKeyOf(entry.ID)}
			b.known[entry.ID] = e
		}
		if !whole {
			b.removeFromIndex(e)
		}
		b.updateEndpoint(e, entry, now)
		if !whole {
			b.addToIndex(e, now)
		}
	}
	if whole {
		b.rebuildIndex(now)
	}
	maps.DeleteFunc(b.restored, func(id string, back Time) bool {
		return b.known[id] == nil && now-back > b.settings.SlowStartWindow
	})
	b.departing = slices.DeleteFunc(b.departing, func(e *endpoint) bool {
		gone := e.State == Removed && e.inFlight == 0
		if gone && b.known[e.ID] == e {
			delete(b.known, e.ID)
		}
		return gone || e.State != Removed
	})
	b.refreshAfterChange(now)
	if kind != ListRemembered {
		b.discoveryFailures = 0
	}
}

// retryDiscovery has discovery be called again after a call that failed. Sidecars that call again at once,
// all together, keep a weak list service from ever answering. One that waits for long is notified of changes
// too late.
func (b *Balancer) retryDiscovery() {
	b.subscribed = false
	wait := min(FirstDiscoveryBackoff<<min(b.discoveryFailures, 8), MaxDiscoveryBackoff)
	if !b.settings.PollDiscovery {
		wait = PushedDiscoveryBackoff // an agent of this sidecar's own: what it has counts as notified
	}
	b.discoveryFailures++
	b.actions.Timer(time.Duration((1+3*b.random.Float64())*float64(wait)/4), tokenDiscovery)
}

// updateEndpoint takes over what discovery says of an endpoint.
func (b *Balancer) updateEndpoint(e *endpoint, entry Endpoint, now Time) {
	if e.memberOf == nil || e.Zone != entry.Zone || e.Kind != entry.Kind {
		e.memberOf = b.matchingGroups(entry)
		e.homeGroup = append(slices.Clone(e.memberOf), b.allEndpoints)[0]
	}
	if e.zoneIndex = 0; entry.Zone != b.settings.Zone {
		e.zoneIndex = 1
	}
	if entry.Started = max(entry.Started, b.restored[entry.ID]); entry.Started != e.Started {
		// A restart under the same id is a new process: what was seen of the old one does not count.
		b.forgetObservations(e, entry.Started, now)
		e.awaitsFirstSelection = true
	}
	if e.awaitsFirstSelection {
		b.started = append(b.started, e)
	}
	e.Endpoint, e.Weight = entry, cmp.Or(max(entry.Weight, 0), 1)
}

// refreshAfterChange records that endpoints have come, gone, or started.
func (b *Balancer) refreshAfterChange(now Time) {
	if bare := b.ruleMatchesNone(); bare != b.allEndpoints.inUse {
		b.setFallbackGroup(bare)
	}
	wide := b.widthFactor()
	if hashed := wide >= 1 || b.ringsHashed && wide > 0; hashed != b.ringsHashed {
		b.reorderRings(hashed)
	}
	if b.subsetsStale || wide == 0 {
		b.takeSubsets(now)
		b.decay(now, 1)
		b.updateZoneWeight(now)
	}
	slices.SortFunc(b.started, func(x, y *endpoint) int { return strings.Compare(x.ID, y.ID) })
	b.drawFirstSelections(now)
	b.started = b.started[:0]
}

// ruleMatchesNone reports whether no endpoint is ready in a group of the rule.
func (b *Balancer) ruleMatchesNone() bool {
	return !slices.ContainsFunc(b.groups[:len(b.groups)-1], func(g *group) bool { return len(g.endpoints) > 0 })
}

// setFallbackGroup makes the ring of all ready endpoints, which is kept while no other has any, or lets go
// of it.
func (b *Balancer) setFallbackGroup(bare bool) {
	g := b.allEndpoints
	b.subsetsStale, b.resettled, g.inUse = true, true, bare
	if g.empty(); !bare {
		return
	}
	for _, e := range b.listed {
		if e.usable {
			g.endpoints = append(g.endpoints, e)
			g.addWeight(e, 1)
		}
	}
	slices.SortFunc(g.endpoints, byKey)
}

// groupsOfEndpoint lists the groups that an endpoint is entered in.
func (b *Balancer) groupsOfEndpoint(e *endpoint) []*group {
	if b.allEndpoints.inUse {
		return append(slices.Clone(e.memberOf), b.allEndpoints)
	}
	return e.memberOf
}

// addToIndex enters an endpoint into the index, as far as it is listed, ready and not out.
func (b *Balancer) addToIndex(e *endpoint, now Time) {
	if e.State == Removed {
		if !slices.Contains(b.departing, e) {
			b.departing = append(b.departing, e)
		}
		return
	}
	b.enterList(e, now)
	if !e.usable {
		return
	}
	for _, g := range b.groupsOfEndpoint(e) {
		at := g.rank(e.ringKey, e.ID)
		g.endpoints = slices.Insert(g.endpoints, at, e)
		g.addWeight(e, 1)
		b.subsetsStale = b.subsetsStale || g.reaches(at)
	}
}

// removeFromIndex takes an endpoint out of the index.
func (b *Balancer) removeFromIndex(e *endpoint) {
	if !e.listed {
		return
	}
	b.endpointsVisited++
	last := len(b.listed) - 1
	b.listed[e.listPosition] = b.listed[last]
	b.listed[e.listPosition].listPosition, b.listed[last] = e.listPosition, nil
	b.listed = b.listed[:last]
	b.listedByZone[e.zoneIndex]--
	e.listed = false
	if !e.usable {
		return
	}
	b.usableCount--
	b.subsetsStale = b.subsetsStale || e.active
	for _, g := range b.groupsOfEndpoint(e) {
		at := g.rank(e.ringKey, e.ID)
		g.endpoints = slices.Delete(g.endpoints, at, at+1)
		g.addWeight(e, -1)
	}
	e.usable = false
}

// applyAdminDown takes an endpoint administratively down, or puts it back, whether or not it is listed.
func (b *Balancer) applyAdminDown(now Time, id string, out bool) {
	if b.adminDown[id] = out; !out {
		delete(b.adminDown, id)
	}
	if e := b.known[id]; e != nil && e.listed {
		b.removeFromIndex(e)
		b.addToIndex(e, now)
		b.subsetsStale = true
	}
}

// enterList records that an endpoint is listed, and whether it may be used.
func (b *Balancer) enterList(e *endpoint, now Time) {
	b.endpointsVisited++
	e.listPosition, b.listed = len(b.listed), append(b.listed, e)
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

// rebuildIndex makes the index anew, as a whole list has come.
func (b *Balancer) rebuildIndex(now Time) {
	b.listed, b.departing, b.listedByZone, b.usableCount = b.listed[:0], b.departing[:0], [2]int{}, 0
	b.subsetsStale, b.resettled = true, true
	var listed []*endpoint
	for _, g := range b.groups {
		g.empty()
	}
	b.allEndpoints.inUse = false // until it is gathered
	for _, e := range b.known {
		if e.listed, e.usable = false, false; e.State == Removed {
			b.departing = append(b.departing, e)
		} else {
			listed = append(listed, e)
		}
	}
	slices.SortFunc(listed, byKey)
	for _, e := range listed {
		if b.enterList(e, now); e.usable {
			for _, g := range e.memberOf {
				g.endpoints = append(g.endpoints, e)
				g.addWeight(e, 1)
			}
		}
	}
}

// empty takes all endpoints out of the group.
func (g *group) empty() { g.endpoints, g.capacity, g.totalWeight = g.endpoints[:0], [2]float64{}, 0 }

// addWeight adds an endpoint's size to the group's, or takes it away.
func (g *group) addWeight(e *endpoint, sign float64) {
	g.totalWeight += sign * e.Weight
	g.capacity[e.zoneIndex] += sign * e.Weight * e.countedCapacityShare
	if len(g.endpoints) == 0 { // what rounding has left
		g.totalWeight, g.capacity = 0, [2]float64{}
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

// byKey orders endpoints on the ring of a group.
func byKey(x, y *endpoint) int {
	return cmp.Or(cmp.Compare(x.ringKey, y.ringKey), strings.Compare(x.ID, y.ID))
}

// ringKeyOf is the place of an id on the rings. In a wide fleet it is a hash, so that those that come and go
// are spread over the rings whatever their names.
func (b *Balancer) ringKeyOf(id string) uint64 {
	if b.ringsHashed {
		return xxhash.Sum64String(id)
	}
	return 0
}

// reorderRings puts the rings in order of hashes, or of ids again.
func (b *Balancer) reorderRings(hashed bool) {
	b.ringsHashed, b.subsetsStale, b.resettled = hashed, true, true
	for _, e := range b.known {
		e.ringKey = b.ringKeyOf(e.ID)
	}
	for _, g := range b.groups {
		slices.SortFunc(g.endpoints, byKey)
		g.anchored = false
	}
}
