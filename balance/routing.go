package balance

import (
	"maps"
	"math"
	"slices"
)

// This file holds the best rule, its groups and the rotation.

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

// matches tells whether tags satisfy m, and how many of m's values are exact.
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

// bestRule picks the one rule that decides: more tags beat fewer, then more exact values beat "*", then the
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
	endpoints   []*endpoint // in order of the ring
	anchor      uint64      // where on the ring the subset begins
	anchorID    string
	anchored    bool
	subsetSize  int         // how many the subset is to have
	inUse       bool        // it has a part in the schedule
	totalWeight float64     // registered size of the ready ones
	subset      []*endpoint // the sidecar's subset of them, in order of rotation
	// registered size of the ready ones for their warmth, in the own zone and elsewhere
	capacity       [2]float64
	lastResponse   Time    // when any of its endpoints last answered
	lastSample     Time    // when an attempt last told how fast its endpoints are
	answerSeconds  float64 // fading sum of the seconds that answers of endpoints at home in it took
	answerInFlight float64 // and of the requests held for a unit of size
	waitingSeconds float64 // seconds for which answers of those have been due, at the last tick
	largestWeight  float64 // the largest registered size ever ready in it
	next           int     // whose turn it is
	credit         float64 // of the smooth weighted schedule
}

// makeGroups makes the groups of the best rule, and a last one for all ready endpoints. Each sidecar's
// rotations start elsewhere, so that sidecars do not march in step.
func (b *Balancer) makeGroups() {
	client := map[string]string{"region": b.settings.Zone}
	maps.Copy(client, b.settings.Tags)
	all := Rule{Destinations: []Destination{{Weight: 1, PerEndpointWeight: true}}}
	if best := bestRule(b.settings.Rules, client, b.settings.Service); best != nil {
		all.Destinations = append(slices.Clone(best.Destinations), all.Destinations...)
	}
	for _, d := range all.Destinations {
		b.allEndpoints = &group{destination: d, next: b.random.IntN(1 << 16), credit: b.random.Float64()}
		b.groups = append(b.groups, b.allEndpoints)
	}
}

// matchingGroups tells which groups of the rule have an endpoint's tags.
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

// weight is the configured weight for what the group's ready members can do. Danger: a shrunken, lost or cold
// group that keeps its full weight swamps its last members.
func (g *group) weight(near [2]float64) float64 {
	size := g.capacity[0]*near[0] + g.capacity[1]*near[1]
	if g.destination.PerEndpointWeight {
		return g.destination.Weight * size
	}
	return g.destination.Weight * size / math.Max(g.largestWeight, 1e-9)
}

// nextEndpoint takes the next turn of the smooth interleaved schedule among the groups with an open member,
// and in that group the next turn of the rotation. It returns nil if no member of any group is open.
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

// nextMember gives the turn to the first open member from the due one on. If the open member after it has
// less of this sidecar's requests in flight, the due one yields. A cold member may go ahead of both.
func (g *group) nextMember() (due *endpoint) {
	n, at := len(g.subset), 0
	for i, seen := 0, 0; i < n && seen < 2; i++ {
		e := g.subset[(g.next+i)%n]
		if !e.eligible {
			continue
		}
		if e.warmth < 1 && e.turns.ahead {
			return e
		}
		if seen++; due == nil || e.inFlight < due.inFlight {
			due, at = e, i
		}
	}
	g.next = (g.next + at + 1) % n
	return due
}
