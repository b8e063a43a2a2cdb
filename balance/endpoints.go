package balance

// This file holds the endpoints and how lists of discovery change them.

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// endpoint is a server as listed, and what this sidecar knows of it.
type endpoint struct {
	Endpoint
	observations

	inFlight           int  // attempts of this sidecar that count as in flight
	waitingSinceSum    Time // sum of the times since which their answers are due
	lastResponse       Time // when it last answered
	suspicionWrittenAt Time // when the newest report of peers against it was written; 0: there is none

	capacityShare        float64         // share of its capacity that it has; below 1 it is warming up
	awaitsFirstSelection bool            // its process has started, and its first selection is not drawn yet
	slowStart            selectionCredit // towards its next selection, while it is warming up

	zoneIndex int      // 0 in the sidecar's own zone, 1 in others
	memberOf  []*group // groups of the rule whose tags it carries
	homeGroup *group   // the first of them, or that of all endpoints: its peers there are alike
	ringKey   uint64   // its place on the rings of its groups

	listed               bool    // it is in the index
	listedIndex          int     // where in index.listed
	usable               bool    // it is in the rings: ready and not administratively down
	inWarmingUp          bool    // it is in index.warmingUp
	countedCapacityShare float64 // the capacity share that its groups' capacities count
	active               bool    // it is in the subset of one of its groups

	eligible        bool    // may be chosen for the request that is being decided
	expectedSeconds float64 // answer time expected for that request
}

// Endpoints applies a list of discovery. A call of discovery that failed leaves the list as it is.
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

// applyFullList applies a list that names all endpoints. One that it doesn't name is removed.
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

// applyChanges applies a list that names the endpoints that have changed.
func (b *Balancer) applyChanges(list []Endpoint, now Time) {
	for _, entry := range list {
		if e := b.findOrAddEndpoint(entry, now); e != nil {
			b.removeFromIndex(e)
			b.updateEndpoint(e, entry, now)
			b.addToIndex(e, now)
		}
	}
}

// findOrAddEndpoint returns the endpoint of an entry, a new one if it is not known yet, or nil if an unknown
// one is removed.
func (b *Balancer) findOrAddEndpoint(entry Endpoint, now Time) *endpoint {
	e := b.known[entry.ID]
	if e == nil && entry.State != Removed {
		e = &endpoint{observations: b.newObservations(now), ringKey: b.ringKeyFor(entry.ID)}
		b.known[entry.ID] = e
	}
	return e
}

// dropRemovedEndpoints drops the endpoints that are removed and have no attempt in flight any more, and the
// restarts of unknown ones that no longer matter for slow start.
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

// retryDiscovery schedules the next call of discovery after one that failed, with backoff and jitter.
// Sidecars that all retry at once would keep discovery overloaded; one that waits for long would
// learn of changes too late.
func (b *Balancer) retryDiscovery() {
	b.subscribed = false
	wait := min(FirstDiscoveryBackoff<<min(b.discoveryFailures, 8), MaxDiscoveryBackoff)
	if !b.settings.PollDiscovery {
		wait = PushedDiscoveryBackoff // an agent of this sidecar's own: what it has counts as notified
	}
	b.discoveryFailures++
	b.actions.Timer(time.Duration((1+3*b.random.Float64())*float64(wait)/4), tokenDiscovery)
}

// updateEndpoint applies an entry of a list to its endpoint.
func (b *Balancer) updateEndpoint(e *endpoint, entry Endpoint, now Time) {
	if e.memberOf == nil || e.Zone != entry.Zone || e.Kind != entry.Kind {
		e.memberOf = b.matchingGroups(entry)
		e.homeGroup = append(slices.Clone(e.memberOf), b.allEndpoints)[0]
	}
	if e.zoneIndex = 0; entry.Zone != b.settings.Zone {
		e.zoneIndex = 1
	}
	if entry.Started = max(entry.Started, b.restored[entry.ID]); entry.Started != e.Started {
		// A restart under the same id is a new process: observations of the old one do not count.
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
