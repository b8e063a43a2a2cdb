package balance

import (
	"maps"
	"math"
	"slices"
)

// This file contains the best routing rule, its groups and the rotation.

// minWeight keeps a ratio finite where a group has not had an endpoint yet.
const minWeight = 1e-9

// DefaultRules returns the rule table that is used where none is configured: one group for each zone and
// kind, weighted by its ready endpoints.
func DefaultRules(service string, zones, kinds []string) []Rule {
	var groups []Destination
	for _, zone := range zones {
		for _, kind := range kinds {
			groups = append(groups, Destination{1, Match{"service": service, "region": zone, "version": kind}, true})
		}
	}
	return []Rule{{"default", Match{"service": "*"}, Match{"service": service}, groups}}
}

// matches reports whether tags satisfy m, and how many values of m match exactly rather than by "*".
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

// bestRule returns the rule that applies to a client and service, or nil if none matches. Of several matching
// rules, the one with more tags takes precedence, then the one with more exact values, then the newest one.
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

// group is one destination of the best rule, or the group of all endpoints.
type group struct {
	destination Destination
	inUse       bool // takes part in selection

	endpoints      []*endpoint // usable endpoints, in ring order
	totalWeight    float64     // sum of the endpoints' weights
	capacity       [2]float64  // sum of weight times capacity share, in the own zone and in the other zones
	maxTotalWeight float64     // highest totalWeight so far

	subset     []*endpoint // endpoints that this sidecar uses, in rotation order
	subsetSize int         // intended number of endpoints in the subset
	anchorKey  uint64      // ring key and ID of the first endpoint of the subset
	anchorID   string
	anchored   bool // anchorKey and anchorID are set

	lastResponse     Time    // when any of its endpoints last responded
	lastSample       Time    // when an attempt last yielded a response time
	responseSeconds  float64 // decaying sum of response times, in seconds
	responseInFlight float64 // decaying sum, over these, of the requests in flight per unit of weight
	waitingSeconds   float64 // total waiting time of the requests in flight at the last tick, in seconds

	nextIndex int     // index in subset of the next member in the rotation
	credit    float64 // smooth weighted round-robin credit
}

// makeGroups creates the groups of the best rule, followed by the group of all ready endpoints. The rotations
// of each sidecar start at random positions, so that sidecars do not select the same endpoints at the same
// time.
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

// matchingGroups returns the groups of the rule whose tags an endpoint matches.
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

// weight returns the weight of the group in proportion to the current capacity of its ready endpoints. At
// full weight, a group with fewer endpoints, or with endpoints that are warming up, would be overloaded.
func (g *group) weight(zoneWeight [2]float64) float64 {
	capacity := g.capacity[0]*zoneWeight[0] + g.capacity[1]*zoneWeight[1]
	if g.destination.PerEndpointWeight {
		return g.destination.Weight * capacity
	}
	return g.destination.Weight * capacity / math.Max(g.maxTotalWeight, minWeight)
}

// nextEndpoint selects a group by smooth weighted round-robin among the groups with an eligible member, then
// the next member in the rotation of that group. It returns nil if no member is eligible.
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

// nextMember returns the next eligible member in the rotation, or the eligible member after it if that one
// has fewer requests of this sidecar in flight. A member that is warming up may take precedence over both.
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
