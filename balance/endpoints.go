package balance

// This file contains the endpoints and the processing of endpoint lists.

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// endpoint is a server from the endpoint list, with the state that this sidecar keeps for it.
type endpoint struct {
	Endpoint
	observations

	inFlight           int  // number of this sidecar's attempts that count as in flight
	waitingSinceSum    Time // sum of waitingSince over these attempts
	lastResponse       Time // when it last responded
	suspicionWrittenAt Time // when the newest peer report against it was written; 0: none

	capacityShare        float64         // present share of its full capacity; below 1: warming up
	awaitsFirstSelection bool            // its process has started, and its first selection is still to be drawn
	slowStart            selectionCredit // credit towards its next selection while it is warming up

	zoneIndex int      // 0 in the sidecar's own zone, 1 in others
	memberOf  []*group // groups of the rule whose tags it matches
	homeGroup *group   // the first of memberOf, or Balancer.allEndpoints: the group for its estimates
	ringKey   uint64   // position on the rings of its groups

	listed               bool    // contained in index.listed
	listedIndex          int     // position in index.listed
	usable               bool    // contained in the rings: ready and not administratively down
	inWarmingUp          bool    // contained in index.warmingUp
	countedCapacityShare float64 // capacity share included in the capacities of its groups
	active               bool    // in the subset of one of its groups

	eligible        bool    // may be selected for the current request
	expectedSeconds float64 // expected response time for the current request
}

// Endpoints applies an endpoint list from discovery. A failed discovery call leaves the endpoints as they
// are.
func (b *Balancer) Endpoints(now Time, kind ListKind, list []Endpoint) {
	if kind == ListFailed {
		b.retryDiscovery()
		return
	}
	if kind == ListChanges {
		b.applyChanges(list, now)
	} else {
		b.applyFullList(list, now)
	}
	b.dropRemovedEndpoints(now)
	b.refreshAfterChange(now)
	if kind != ListCached {
		b.discoveryFailures = 0
	}
}

// applyFullList applies a complete list. Endpoints that it does not contain are removed.
func (b *Balancer) applyFullList(list []Endpoint, now Time) {
	for _, e := range b.listed {
		e.State = Removed
	}
	for _, entry := range list {
		if e := b.findOrAddEndpoint(entry, now); e != nil {
			b.updateEndpoint(e, entry, now)
		}
	}
	b.rebuildIndex(now)
}

// applyChanges applies a list of changed endpoints.
func (b *Balancer) applyChanges(list []Endpoint, now Time) {
	for _, entry := range list {
		if e := b.findOrAddEndpoint(entry, now); e != nil {
			b.removeFromIndex(e)
			b.updateEndpoint(e, entry, now)
			b.addToIndex(e, now)
		}
	}
}

// findOrAddEndpoint returns the endpoint of a list entry, a new one if it is not known yet, or nil for the
// removal of an unknown endpoint.
func (b *Balancer) findOrAddEndpoint(entry Endpoint, now Time) *endpoint {
	e := b.known[entry.ID]
	if e == nil && entry.State != Removed {
		e = &endpoint{observations: b.newObservations(now), ringKey: b.ringKeyFor(entry.ID)}
		b.known[entry.ID] = e
	}
	return e
}

// dropRemovedEndpoints drops removed endpoints that have no attempt in flight. It also drops the times in
// restored of unknown endpoints once they are no longer relevant for slow start.
func (b *Balancer) dropRemovedEndpoints(now Time) {
	maps.DeleteFunc(b.restored, func(id string, restoredAt Time) bool {
		return b.known[id] == nil && now-restoredAt > b.settings.SlowStartWindow
	})
	b.removedInFlight = slices.DeleteFunc(b.removedInFlight, func(e *endpoint) bool {
		gone := e.State == Removed && e.inFlight == 0
		if gone && b.known[e.ID] == e {
			delete(b.known, e.ID)
		}
		return gone || e.State != Removed
	})
}

// retryDiscovery schedules the next discovery call after a failed one, with backoff and jitter. If all
// sidecars retried at once, they would keep discovery overloaded; a sidecar that waits for too long would
// receive changes too late.
func (b *Balancer) retryDiscovery() {
	b.subscribed = false
	wait := min(FirstDiscoveryBackoff<<min(b.discoveryFailures, 8), MaxDiscoveryBackoff)
	if !b.settings.PollDiscovery {
		wait = PushedDiscoveryBackoff // a change counts as notified once the sidecar's own agent has received it
	}
	b.discoveryFailures++
	b.actions.Timer(time.Duration((1+3*b.random.Float64())*float64(wait)/4), tokenDiscovery)
}

// updateEndpoint applies a list entry to its endpoint.
func (b *Balancer) updateEndpoint(e *endpoint, entry Endpoint, now Time) {
	if e.memberOf == nil || e.Zone != entry.Zone || e.Kind != entry.Kind {
		e.memberOf = b.matchingGroups(entry)
		e.homeGroup = append(slices.Clone(e.memberOf), b.allEndpoints)[0]
	}
	if e.zoneIndex = 0; entry.Zone != b.settings.Zone {
		e.zoneIndex = 1
	}
	if entry.Started = max(entry.Started, b.restored[entry.ID]); entry.Started != e.Started {
		// A restart under the same ID is a new process: observations of the old one do not apply.
		b.forgetObservations(e, entry.Started, now)
		e.awaitsFirstSelection = true
	}
	if e.awaitsFirstSelection {
		b.started = append(b.started, e)
	}
	e.Endpoint, e.Weight = entry, cmp.Or(max(entry.Weight, 0), 1)
}

// refreshAfterChange updates groups, rings and subsets after endpoints were added, removed or started.
func (b *Balancer) refreshAfterChange(now Time) {
	if fallback := b.noRuleGroupReady(); fallback != b.allEndpoints.inUse {
		b.setFallbackGroup(fallback)
	}
	factor := b.wideFleetFactor()
	if hashed := factor >= 1 || b.ringsHashed && factor > 0; hashed != b.ringsHashed {
		b.reorderRings(hashed)
	}
	if b.subsetsStale || factor == 0 {
		b.chooseSubsets(now)
		b.decay(now, 1)
		b.updateZoneWeight(now)
	}
	slices.SortFunc(b.started, func(x, y *endpoint) int { return strings.Compare(x.ID, y.ID) })
	b.drawFirstSelections(now)
	b.started = b.started[:0]
}
