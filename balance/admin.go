package balance

import (
	"maps"
	"slices"
)

// This file contains the administrative state of endpoints.

// SetAdminDown makes an endpoint administratively down or puts it back in service, and reports whether it is
// known: listed or administratively down. Repeated calls are allowed. An endpoint that is administratively
// down gets no attempts, whatever discovery reports.
func (b *Balancer) SetAdminDown(now Time, id string, down bool) (known bool) {
	e := b.known[id]
	switch listed := e != nil && e.State != Removed; {
	case !listed && !b.adminDown[id]:
		return false
	case b.adminDown[id] == down:
		return true
	case down:
		b.applyAdminDown(now, id, true)
		b.actions.Log("server " + id + " set administratively down")
	default:
		// The endpoint was probably restarted while it was down. Discovery may report the restart late or
		// never.
		b.restored[id] = now
		if e != nil {
			b.forgetObservations(e, now, now)
			e.Started, e.awaitsFirstSelection = now, true
			b.started = append(b.started, e)
		}
		b.applyAdminDown(now, id, false)
		b.actions.Log("server " + id + " back in service")
	}
	b.refreshAfterChange(now)
	return true
}

// AdoptAdminDown makes endpoints administratively down, whether or not they are listed. The caller passes the
// endpoints that are administratively down elsewhere, such as in the predecessor process.
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

// AdminDown returns the IDs of the endpoints that are administratively down, in ascending order.
func (b *Balancer) AdminDown() []string { return slices.Sorted(maps.Keys(b.adminDown)) }

// CountEndpoints returns the number of listed endpoints and how many of them are avoided: administratively
// down, or ejected while ejection is not suspended.
func (b *Balancer) CountEndpoints(now Time) (listed, avoided int) {
	for _, e := range b.listed {
		if b.adminDown[e.ID] || now < e.ejectedUntil && !b.panicking {
			avoided++
		}
	}
	return len(b.listed), avoided
}
