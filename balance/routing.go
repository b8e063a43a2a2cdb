package balance

import (
	"maps"
	"math"
	"slices"
)

// This file holds the best rule, its groups and the rotation.

// minWeight keeps a ratio finite where a group has had no endpoint yet.
const minWeight = 1e-9

// DefaultRules is the table used where none is given: a group for each zone and kind, weighted by size.
func DefaultRules(service string, zones, kinds []string) []Rule {
	var groups []Destination
	for _, zone := range zones {
		for _, kind := range kinds {
			groups = append(groups, Destination{1, Match{"service": service, "region": zone, "version": kind}, true})
		}
	}
	return []Rule{{"default", Match{"service": "*"}, Match{"service": service}, groups}}
}

// matches reports whether tags satisfy m, and how many of m's values are exact.
func (m Match) matches(tags map[string]string) (ok bool, exact int) {
	for tag, want := range m {
		have, known := tags[tag]
		switch {
		case want == "*" && (known || tag == "service"):
		case known && have == want:
			exact++
		default:
			return false, 0
		}
	}
	return true, exact
}

// bestRule returns the one rule that decides: more tags beat fewer, then more exact values beat "*", then the
// newest wins. It returns nil if none matches.
func bestRule(rules []Rule, client map[string]string, service string) (best *Rule) {
	highest := -1
	for i, r := range rules {
		okSource, exactSource := r.Source.matches(client)
		okService, exactService := r.Service.matches(map[string]string{"service": service})
		rank := (len(r.Source)+len(r.Service))<<8 + exactSource + exactService
		if okSource && okService && rank >= highest {
			best, highest = &rules[i], rank
		}
	}
	return best
}

// group is one destination of the best rule, or all endpoints.
type group struct {
	destination Destination
	inUse       bool // it has a part in the schedule

	endpoints      []*endpoint // that may be used, in order of the ring
	totalWeight    float64     // of the endpoints
	capacity       [2]float64  // weight times capacity share, in the own zone and in others
	maxTotalWeight float64     // the largest totalWeight so far

	subset     []*endpoint // the part that this sidecar uses, in order of rotation
	subsetSize int         // how many the subset is to have
	anchorKey  uint64      // ring key and id of the endpoint at which the subset begins
	anchorID   string
	anchored   bool // anchor is set

	lastResponse     Time    // when any of its endpoints last answered
	lastSample       Time    // when an attempt last showed how fast its endpoints are
	responseSeconds  float64 // decaying sum of the seconds that answers took
	responseInFlight float64 // and of the requests in flight for each unit of weight
	waitingSeconds   float64 // for which requests have been in flight, at the last tick

	nextIndex int     // index in subset of the member to be selected next
	credit    float64 // of the smooth weighted schedule
}

// makeGroups makes the groups of the best rule, and a last one for all ready endpoints. Each sidecar's
// rotations start elsewhere, so that sidecars do not choose the same endpoints at the same time.
func (b *Balancer) makeGroups() {
	client := map[string]string{"region": b.settings.Zone}
	maps.Copy(client, b.settings.Tags)
	all := Rule{Destinations: []Destination{{Weight: 1, PerEndpointWeight: true}}}
	if best := bestRule(b.settings.Rules, client, b.settings.Service); best != nil {
		all.Destinations = append(slices.Clone(best.Destinations), all.Destinations...)
	}
	for _, d := range all.Destinations {
		b.allEndpoints = &group{destination: d, nextIndex: b.random.IntN(1 << 16), credit: b.random.Float64()}
		b.groups = append(b.groups, b.allEndpoints)
	}
}

// matchingGroups returns the groups of the rule whose tags an endpoint carries.
func (b *Balancer) matchingGroups(e Endpoint) (joins []*group) {
	joins, known := b.groupsByTags[[2]string{e.Zone, e.Kind}]
	if known {
		return joins
	}
	tags := map[string]string{"service": b.settings.Service, "region": e.Zone, "version": e.Kind}
	for _, g := range b.groups[:len(b.groups)-1] {
		if ok, _ := g.destination.Match.matches(tags); ok {
			joins = append(joins, g)
		}
	}
	b.groupsByTags[[2]string{e.Zone, e.Kind}] = joins
	return joins
}

// weight is the configured weight for what the group's ready members can do: if a group kept its full weight
// while it shrinks or warms up, its last members would be overloaded.
func (g *group) weight(zoneWeight [2]float64) float64 {
	capacity := g.capacity[0]*zoneWeight[0] + g.capacity[1]*zoneWeight[1]
	if g.destination.PerEndpointWeight {
		return g.destination.Weight * capacity
	}
	return g.destination.Weight * capacity / math.Max(g.maxTotalWeight, minWeight)
}

// nextEndpoint selects by smooth weighted round-robin among the groups with an eligible member, and in that
// group the next member of its rotation. It returns nil if no member is eligible.
func (b *Balancer) nextEndpoint() *endpoint {
	var due *group
	var total float64
	for _, g := range b.groups {
		w := g.weight(b.zoneWeight)
		if w <= 0 || !slices.ContainsFunc(g.subset, func(e *endpoint) bool { return e.eligible }) {
			continue
		}
		total += w
		if g.credit += w; due == nil || g.credit > due.credit {
			due = g
		}
	}
	if due == nil {
		return nil
	}
	due.credit -= total
	return due.nextMember()
}

// nextMember selects the first eligible member from the next one in the rotation on, or the eligible one
// after it if that has fewer of this sidecar's requests in flight. A member that is warming up may go ahead
// of both.
func (g *group) nextMember() (due *endpoint) {
	members, offset := len(g.subset), 0
	for i, seen := 0, 0; i < members && seen < 2; i++ {
		e := g.subset[(g.nextIndex+i)%members]
		if !e.eligible {
			continue
		}
		if e.capacityShare < 1 && e.slowStart.aheadOfRotation {
			return e
		}
		seen++
		if due == nil || e.inFlight < due.inFlight {
			due, offset = e, i
		}
	}
	g.nextIndex = (g.nextIndex + offset + 1) % members
	return due
}
