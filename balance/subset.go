package balance

// Here is which part of the fleet a sidecar uses.

import (
	"math"
	"sort"
	"time"
)

const (
	leastSubset = 4 // endpoints of a group that a sidecar uses at least: some may fail
	// A fleet is wide from usualMost ready endpoints on, by degrees, and wholly from wideFleet on. There a
	// sidecar's traffic is the same, and so is what it can know and keep connections to: it uses no more
	// than wideUsed endpoints, or that share of usualFleet of its requests within the memory, and no more
	// than wideLeast and a further one for each wideEach listed.
	usualFleet = 200
	usualMost  = 300
	wideFleet  = 400
	wideUsed   = 150
	wideLeast  = 25
	wideEach   = 7
	// mostDrift is how far a long subset may be from its place in such a fleet, as a share of its length,
	// and longSubset how long it is then. Of short ones, a few that are out of place would make the spread
	// over the servers uneven.
	mostDrift  = 1.0 / 8
	longSubset = 16
	groupTime  = time.Second // the subsets are taken anew at least this often
)

// regroup takes this sidecar's subset of each group. Danger: endpoints are ready, but none is in a group of
// the rule. As without a rule, all ready ones then form one group.
func (b *Balancer) regroup(now Time) {
	// In a wide fleet, what one change does to lengths and places may move members of all groups.
	usual := b.wide() == 0
	settle := !b.stale || b.renewed || usual
	b.stale, b.renewed = false, false
	if now >= b.warmed+groupTime || usual {
		b.warmUp(now)
	}
	for _, e := range b.active {
		e.active = false
	}
	b.active = b.active[:0]
	for _, g := range b.groups[:len(b.groups)-1] {
		g.inUse = !b.fleet.inUse
	}
	if settle {
		b.resize(now)
	}
	for _, g := range b.groups {
		if g.members = g.members[:0]; g.inUse {
			g.whole = math.Max(g.whole, g.total)
			b.subset(g, settle, now)
		}
	}
	b.looked += len(b.active)
}

// resize takes in how long the subsets should be.
func (b *Balancer) resize(now Time) {
	b.grouped = now
	share := b.used()
	for _, g := range b.groups {
		g.wants = g.wanted(share)
	}
}

// used is the share of each group that this sidecar uses, if that is enough of it: so much that each member
// gets a request within the memory.
func (b *Balancer) used() float64 {
	share := b.arrived / math.Max(float64(b.sides[0])*b.near[0]+float64(b.sides[1])*b.near[1], 1e-9)
	if b.wide() == 0 {
		return share
	}
	total := 0.0
	for _, g := range b.groups {
		if g.inUse {
			total += float64(g.wanted(share))
		}
	}
	most := min(max(usualFleet, b.arrived)*wideUsed/usualFleet, wideLeast+float64(len(b.endpoints))/wideEach, total)
	most += (total - most) * (1 - b.wide())
	return min(share, 1) * most / max(total, 1)
}

// wanted is how many of a group's endpoints make up a share of it.
func (g *group) wanted(share float64) int {
	return int(min(math.Max(leastSubset, math.Ceil(share*float64(len(g.ready)))), float64(len(g.ready))))
}

// subset takes the part of a group that this sidecar uses: a run of the group's ring from its own place on.
// Danger: a sidecar with little traffic that goes through a large fleet knows none of its servers, and
// connects to all of them. Places that follow the golden ratio spread any number of sidecars evenly.
// Members that are ejected are made up for.
func (b *Balancer) subset(g *group, settle bool, now Time) {
	n := len(g.ready)
	want := min(max(g.wants, leastSubset), n)
	if g.anchored = n > 0 && g.anchored; n == 0 {
		return
	}
	first := b.place(g, want, settle)
	for i := 0; i < n && want > 0; i++ {
		e := g.ready[(first+i)%n]
		g.members = append(g.members, e)
		if now >= e.until {
			want--
		}
		if !e.active {
			e.active = true
			b.active = append(b.active, e)
		}
	}
}

// place is where on the ring the subset begins. Danger: a subset that followed the sidecar's own place
// among those ready now would move with each endpoint that comes or goes, wherever on the ring, and meet
// servers that know nothing of it. So it stays where it began, unless it has drifted so far from its place
// that the sidecars would not be spread evenly any more. Then it moves back by one endpoint at a time.
func (b *Balancer) place(g *group, want int, settle bool) (first int) {
	n := len(g.ready)
	ideal := int(math.Mod(float64(b.set.Self)*(math.Sqrt(5)-1)/2, 1) * float64(n))
	drift := 0
	if g.anchored {
		drift = (g.rank(g.anchor, g.anchorID)%n-ideal+n+n/2)%n - n/2
		slack := int(mostDrift * b.wide() * float64(want) * min(1, float64(want)/longSubset))
		switch off := max(drift, -drift); {
		case !settle || off <= slack:
		case slack == 0 || off >= want:
			drift = 0
		default:
			drift -= drift / off
		}
	}
	first = (ideal + drift + n) % n
	g.anchored, g.anchor, g.anchorID = true, g.ready[first].key, g.ready[first].ID
	return first
}

// wide is how far the fleet is wider than usual ones, from 0 to 1.
func (b *Balancer) wide() float64 {
	return min(max(float64(b.ready-usualMost)/(wideFleet-usualMost), 0), 1)
}

// rank is how many endpoints of the group come on its ring before a key, and an id that has it.
func (g *group) rank(key uint64, id string) int {
	return sort.Search(len(g.ready), func(i int) bool {
		e := g.ready[i]
		return e.key > key || e.key == key && e.ID >= id
	})
}

// reaches tells whether the endpoint at a rank is within the subset, or next behind it.
func (g *group) reaches(at int) bool {
	n := len(g.ready)
	return g.inUse && (!g.anchored || (at-g.rank(g.anchor, g.anchorID)%n+n)%n <= len(g.members))
}
