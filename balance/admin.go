package balance

import (
	"maps"
	"slices"
)

// This file holds endpoints that operators take out of service.

// SetAdminDown makes an endpoint administratively down, or puts it back in service, and reports whether it is
// known: listed, or down. Both may be repeated. Nothing is sent to one that is down, whatever discovery says
// of it meanwhile.
func (b *Balancer) SetAdminDown(now Time, id string, down bool) (known bool) {
	e := b.known[id]
	switch listed := e != nil && e.State != Removed; {
	case !listed && !b.adminDown[id]:
		return false
	case b.adminDown[id] == down:
		return true
	case down:
		b.applyAdminDown(now, id, true)
		b.actions.Log("taken out by hand " + id)
	default:
		// Most likely it was restarted while it was down, and discovery may report that late or never.
		b.restored[id] = now
		if e != nil {
			b.forgetObservations(e, now, now)
			e.Started, e.awaitsFirstSelection = now, true
			b.started = append(b.started, e)
		}
		b.applyAdminDown(now, id, false)
		b.actions.Log("put back by hand " + id)
	}
	b.refreshAfterChange(now)
	return true
}

// AdoptAdminDown makes endpoints administratively down that were so where this Balancer takes over, listed or
// not.
func (b *Balancer) AdoptAdminDown(now Time, ids []string) {
	for _, id := range ids {
		b.applyAdminDown(now, id, true)
	}
	b.refreshAfterChange(now)
}

// applyAdminDown sets an endpoint administratively down or up, whether or not it is listed.
func (b *Balancer) applyAdminDown(now Time, id string, down bool) {
	if b.adminDown[id] = down; !down {
		delete(b.adminDown, id)
	}
	if e := b.known[id]; e != nil && e.listed {
		b.removeFromIndex(e)
		b.addToIndex(e, now)
		b.subsetsStale = true
	}
}

// AdminDown returns the endpoints that are administratively down, in order.
func (b *Balancer) AdminDown() []string { return slices.Sorted(maps.Keys(b.adminDown)) }

// CountEndpoints returns how many endpoints are listed, and how many of them are avoided: administratively
// down or ejected.
func (b *Balancer) CountEndpoints(now Time) (listed, avoided int) {
	for _, e := range b.listed {
		if b.adminDown[e.ID] || now < e.ejectedUntil && !b.panicking {
			avoided++
		}
	}
	return len(b.listed), avoided
}
