package balance

// Here is the list of endpoints and its index, which is kept in order: a change costs what it changes.

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// index is what is listed, in order.
type index struct {
	endpoints []*endpoint          // listed, in no order; each has its place in at
	known     map[string]*endpoint // listed, or removed with attempts out
	departing []*endpoint          // removed with attempts out
	cold      []*endpoint          // not known to be warm yet
	warmed    Time                 // when that was last looked at
	started   []*endpoint          // processes without a first turn
	sides     [2]int               // how many are listed in the own zone, and in others
	ready     int                  // how many are ready and not out
	joins     map[[2]string][]*group
	stale     bool // a subset is to be taken anew
	renewed   bool // all are, as for a new fleet
	hashed    bool // the rings are in order of hashes, not of ids
	looked    int  // at endpoints so far, for lists and ticks: what a fleet's size costs
}

// Endpoints takes in discovery's news. Entries that discovery refused leave the list in hand as it is.
func (b *Balancer) Endpoints(now Time, kind ListKind, list []Endpoint) {
	if kind == ListRefused {
		b.askAgain()
		return
	}
	whole := kind != ListChanges
	if whole {
		for _, e := range b.endpoints {
			e.State = Removed
		}
	}
	for _, entry := range list {
		e := b.known[entry.ID]
		if e == nil && entry.State == Removed {
			continue
		}
		if e == nil {
			e = &endpoint{seen: b.nothing(now), key: b.keyOf(entry.ID)}
			b.known[entry.ID] = e
		}
		if !whole {
			b.withdraw(e)
		}
		b.update(e, entry, now)
		if !whole {
			b.admit(e, now)
		}
	}
	if whole {
		b.rebuild(now)
	}
	maps.DeleteFunc(b.back, func(id string, back Time) bool {
		return b.known[id] == nil && now-back > b.set.ColdTime
	})
	b.departing = slices.DeleteFunc(b.departing, func(e *endpoint) bool {
		gone := e.State == Removed && e.inFlight == 0
		if gone && b.known[e.ID] == e {
			delete(b.known, e.ID)
		}
		return gone || e.State != Removed
	})
	b.recount(now)
	if kind != ListRemembered {
		b.refusals = 0
	}
}

// askAgain has discovery be called again after a call that failed. Sidecars that call again at once, all
// together, keep a weak list service from ever answering. One that waits for long is told of changes too
// late.
func (b *Balancer) askAgain() {
	b.subscribed = false
	wait := min(FirstReask<<min(b.refusals, 8), LongestReask)
	if !b.set.AskDiscovery {
		wait = PushedReask // an own agent tells: what it has counts as told
	}
	b.refusals++
	b.act.Timer(time.Duration((1+3*b.rng.Float64())*float64(wait)/4), tokenAsk)
}

// update takes over what discovery says of an endpoint.
func (b *Balancer) update(e *endpoint, entry Endpoint, now Time) {
	if e.joins == nil || e.Zone != entry.Zone || e.Kind != entry.Kind {
		e.joins = b.groupsOf(entry)
		e.home = append(slices.Clone(e.joins), b.fleet)[0]
	}
	if e.abroad = 0; entry.Zone != b.set.Zone {
		e.abroad = 1
	}
	if entry.Started = max(entry.Started, b.back[entry.ID]); entry.Started != e.Started {
		// A restart under the same id is a new process: what was seen of the old one does not count.
		b.forget(e, entry.Started, now)
		e.fresh = true
	}
	if e.fresh {
		b.started = append(b.started, e)
	}
	e.Endpoint, e.Size = entry, cmp.Or(max(entry.Size, 0), 1)
}

// recount takes in that endpoints have come, gone, or started.
func (b *Balancer) recount(now Time) {
	if bare := b.bare(); bare != b.fleet.inUse {
		b.gather(bare)
	}
	wide := b.wide()
	if hashed := wide >= 1 || b.hashed && wide > 0; hashed != b.hashed {
		b.reorder(hashed)
	}
	if b.stale || wide == 0 {
		b.regroup(now)
		b.fade(now, 1)
		b.shift(now)
	}
	slices.SortFunc(b.started, func(x, y *endpoint) int { return strings.Compare(x.ID, y.ID) })
	b.drawTurns(now)
	b.started = b.started[:0]
}

// bare tells whether no endpoint is ready in a group of the rule.
func (b *Balancer) bare() bool {
	return !slices.ContainsFunc(b.groups[:len(b.groups)-1], func(g *group) bool { return len(g.ready) > 0 })
}

// gather makes the ring of all ready endpoints, which is kept while no other has any, or lets go of it.
func (b *Balancer) gather(bare bool) {
	g := b.fleet
	b.stale, b.renewed, g.inUse = true, true, bare
	if g.empty(); !bare {
		return
	}
	for _, e := range b.endpoints {
		if e.placed {
			g.ready = append(g.ready, e)
			g.weigh(e, 1)
		}
	}
	slices.SortFunc(g.ready, byKey)
}

// rings lists the groups that an endpoint is entered in.
func (b *Balancer) rings(e *endpoint) []*group {
	if b.fleet.inUse {
		return append(slices.Clone(e.joins), b.fleet)
	}
	return e.joins
}

// admit enters an endpoint into the index, as far as it is listed, ready and not out.
func (b *Balancer) admit(e *endpoint, now Time) {
	if e.State == Removed {
		if !slices.Contains(b.departing, e) {
			b.departing = append(b.departing, e)
		}
		return
	}
	b.count(e, now)
	if !e.placed {
		return
	}
	for _, g := range b.rings(e) {
		at := g.rank(e.key, e.ID)
		g.ready = slices.Insert(g.ready, at, e)
		g.weigh(e, 1)
		b.stale = b.stale || g.reaches(at)
	}
}

// withdraw takes an endpoint out of the index.
func (b *Balancer) withdraw(e *endpoint) {
	if !e.listed {
		return
	}
	b.looked++
	last := len(b.endpoints) - 1
	b.endpoints[e.at] = b.endpoints[last]
	b.endpoints[e.at].at, b.endpoints[last] = e.at, nil
	b.endpoints = b.endpoints[:last]
	b.sides[e.abroad]--
	e.listed = false
	if !e.placed {
		return
	}
	b.ready--
	b.stale = b.stale || e.active
	for _, g := range b.rings(e) {
		at := g.rank(e.key, e.ID)
		g.ready = slices.Delete(g.ready, at, at+1)
		g.weigh(e, -1)
	}
	e.placed = false
}

// bar takes an endpoint out by hand, or puts it back, whether or not it is listed.
func (b *Balancer) bar(now Time, id string, out bool) {
	if b.out[id] = out; !out {
		delete(b.out, id)
	}
	if e := b.known[id]; e != nil && e.listed {
		b.withdraw(e)
		b.admit(e, now)
		b.stale = true
	}
}

// count takes in that an endpoint is listed, and whether it may be used.
func (b *Balancer) count(e *endpoint, now Time) {
	b.looked++
	e.at, b.endpoints = len(b.endpoints), append(b.endpoints, e)
	b.sides[e.abroad]++
	e.listed, e.placed, e.warm = true, e.State == Ready && !b.out[e.ID], b.warmth(e, now)
	e.weighed = e.warm
	if e.placed {
		b.ready++
	}
	if e.warm < 1 && !e.warming {
		e.warming = true
		b.cold = append(b.cold, e)
	}
}

// rebuild makes the index anew, as a whole list has come.
func (b *Balancer) rebuild(now Time) {
	b.endpoints, b.departing, b.sides, b.ready = b.endpoints[:0], b.departing[:0], [2]int{}, 0
	b.stale, b.renewed = true, true
	var listed []*endpoint
	for _, g := range b.groups {
		g.empty()
	}
	b.fleet.inUse = false // until it is gathered
	for _, e := range b.known {
		if e.listed, e.placed = false, false; e.State == Removed {
			b.departing = append(b.departing, e)
		} else {
			listed = append(listed, e)
		}
	}
	slices.SortFunc(listed, byKey)
	for _, e := range listed {
		if b.count(e, now); e.placed {
			for _, g := range e.joins {
				g.ready = append(g.ready, e)
				g.weigh(e, 1)
			}
		}
	}
}

// empty takes all endpoints out of the group.
func (g *group) empty() { g.ready, g.size, g.total = g.ready[:0], [2]float64{}, 0 }

// weigh adds an endpoint's size to the group's, or takes it away.
func (g *group) weigh(e *endpoint, sign float64) {
	g.total += sign * e.Size
	g.size[e.abroad] += sign * e.Size * e.weighed
	if len(g.ready) == 0 { // what rounding has left
		g.total, g.size = 0, [2]float64{}
	}
}

// warmUp takes in how warm the endpoints have become that were cold.
func (b *Balancer) warmUp(now Time) {
	b.warmed = now
	b.looked += len(b.cold)
	b.cold = slices.DeleteFunc(b.cold, func(e *endpoint) bool {
		e.warm = b.warmth(e, now)
		if e.placed {
			for _, g := range b.rings(e) {
				g.size[e.abroad] += e.Size * (e.warm - e.weighed)
			}
		}
		e.weighed = e.warm
		e.warming = e.listed && e.warm < 1
		return !e.warming
	})
}

// byKey orders endpoints on the ring of a group.
func byKey(x, y *endpoint) int {
	return cmp.Or(cmp.Compare(x.key, y.key), strings.Compare(x.ID, y.ID))
}

// keyOf is the place of an id on the rings. In a wide fleet it is a hash, so that those that come and go
// are spread over the rings whatever their names.
func (b *Balancer) keyOf(id string) uint64 {
	if b.hashed {
		return xxhash.Sum64String(id)
	}
	return 0
}

// reorder puts the rings in order of hashes, or of ids again.
func (b *Balancer) reorder(hashed bool) {
	b.hashed, b.stale, b.renewed = hashed, true, true
	for _, e := range b.known {
		e.key = b.keyOf(e.ID)
	}
	for _, g := range b.groups {
		slices.SortFunc(g.ready, byKey)
		g.anchored = false
	}
}
