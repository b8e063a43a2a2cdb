package policy

import (
	"maps"
	"slices"
	"time"
)

// grantedLease is a lease that a sidecar may hold. The response that granted it may have been lost.
type grantedLease struct {
	incarnation uint64
	stamp       Stamp
	expiry      Time // upper bound, on the leader's clock
}

// leaseHolder is the leader's record of a sidecar.
type leaseHolder struct {
	incarnation uint64
	leases      []grantedLease
	lastChecked uint64
}

// expire removes the expired leases.
func (h *leaseHolder) expire(now Time) {
	h.leases = slices.DeleteFunc(h.leases, func(lease grantedLease) bool { return lease.expiry <= now })
}

// supersede removes the leases that were replaced by a later response which the same process has applied.
func (h *leaseHolder) supersede(incarnation uint64, latest Stamp) {
	h.leases = slices.DeleteFunc(h.leases, func(lease grantedLease) bool {
		return lease.incarnation == incarnation && lease.stamp.Compare(latest) < 0
	})
}

// LeaseTable is the leader's record of the granted leases. It is created when the leader's Raft term begins and
// discarded when the term ends. For the leases granted by earlier leaders it contains only the time by which all of
// them have expired. It is not safe for concurrent use.
type LeaseTable struct {
	terms            Terms
	stamp            Stamp // of the latest response
	earlierLeasesEnd Time  // until then leases granted by earlier leaders may be valid
	holders          map[string]*leaseHolder
	lastWritten      Entry // latest entry that was returned to be written
	lastWrittenAt    Time
	minApplied       uint64 // number of entries of the most recent ledger used
	switchNumber     uint64 // policy whose switch time is fixed
	switchAt         Time   // no lease on its predecessor is valid after that
}

// NewLeaseTable returns the LeaseTable for a Raft term that begins now.
func NewLeaseTable(now Time, term uint64, terms Terms) *LeaseTable {
	return &LeaseTable{
		terms:            terms,
		stamp:            Stamp{Term: term},
		earlierLeasesEnd: now + terms.upperBound(terms.Length),
		holders:          map[string]*leaseHolder{},
	}
}

// Renew returns the response to a sidecar's request, and the entries to write to the log. An empty response grants no
// lease.
//
// Before each call, and after the request arrived, the host must have confirmed with a majority that no later Raft term
// has begun, and l must contain at least the entries committed by then (Raft's ReadIndex). Otherwise a deposed leader
// could grant a lease after its successor has started to wait for the leases of earlier leaders.
func (t *LeaseTable) Renew(now Time, l *Ledger, request LeaseRequest) (response LeaseResponse, entries []Entry) {
	// A request may be processed long after its confirmation, with a ledger older than that of an earlier call. With
	// such a ledger this leader would grant a lease that it no longer takes into account.
	if l.applied < t.minApplied {
		return LeaseResponse{}, nil
	}
	t.minApplied = l.applied
	holder := t.updateHolder(now, request)
	if holder == nil {
		return LeaseResponse{}, nil
	}
	t.stamp.Count++
	response = LeaseResponse{Stamp: t.stamp}
	if pending := l.Pending(); pending != nil {
		if request.Checked != pending.Number {
			response.Check = pending.Number
		} else if request.Fault != "" && pending.State == Proposed {
			entries = append(entries, Entry{Refuse: &Refusal{pending.Number, request.Sidecar + ": " + request.Fault}})
		}
	}
	// A sidecar that cannot run the policy in force serves no requests. If it held a lease, each change would wait
	// until this sidecar has checked it, including the change that lets the sidecar serve again.
	if request.Fault != "" && request.Checked == l.InForce().Number {
		return response, entries
	}
	t.grant(&response, now, l)
	if response.Duration <= 0 && response.Next == 0 {
		response.Number = 0
		return response, entries
	}
	longest := response.Duration
	if response.Next > 0 {
		longest = response.NextIn + response.NextDuration
	}
	expiry := now + t.terms.upperBound(longest)
	holder.leases = append(holder.leases, grantedLease{request.Incarnation, response.Stamp, expiry})
	return response, entries
}

// updateHolder updates the record of a request's sidecar and returns it, or nil if a later process has the same name.
func (t *LeaseTable) updateHolder(now Time, request LeaseRequest) *leaseHolder {
	holder := t.holders[request.Sidecar]
	if holder == nil {
		holder = &leaseHolder{}
		t.holders[request.Sidecar] = holder
	}
	if request.Incarnation < holder.incarnation {
		return nil
	}
	if request.Incarnation > holder.incarnation {
		// The leases of the former process are kept, because it may still be serving.
		holder.incarnation, holder.lastChecked = request.Incarnation, 0
	}
	holder.supersede(request.Incarnation, request.Latest)
	holder.expire(now)
	holder.lastChecked = max(holder.lastChecked, request.Checked)
	return holder
}

// grant sets the leased policies of a response and the lease durations, according to the state of the pending change.
func (t *LeaseTable) grant(response *LeaseResponse, now Time, l *Ledger) {
	pending, inForce := l.Pending(), l.InForce().Number
	switch {
	case pending == nil || pending.State == Proposed:
		response.Number, response.Duration = inForce, t.terms.Length
	case pending.State == Committed && t.switchTime(pending) == 0:
		response.Number, response.Duration = inForce, t.terms.ShortLength
	case pending.State == Committed: // the Switch entry is being written
		response.Number, response.Duration = inForce, max(t.switchAt-now, 0)
	default:
		t.grantSwitching(response, now, inForce, pending)
	}
}

// grantSwitching grants a lease on the policy in force until the switch, and on the pending policy after the switch.
func (t *LeaseTable) grantSwitching(response *LeaseResponse, now Time, inForce uint64, pending *Pending) {
	if t.switchTime(pending) == 0 {
		// An earlier leader may have granted leases on the pending policy. This leader cannot determine when they
		// begin.
		if now < t.earlierLeasesEnd {
			return
		}
		t.switchNumber, t.switchAt = pending.Number, now
	}
	untilSwitch := max(t.switchAt-now, 0)
	response.Number, response.Duration = inForce, untilSwitch
	response.Next, response.NextIn = pending.Number, untilSwitch
	response.NextDuration = t.terms.Length - untilSwitch // a new leader waits for Length, so no lease may be longer
}

// switchTime returns the switch time that this leader has fixed for a change, or 0 if it has fixed none.
func (t *LeaseTable) switchTime(pending *Pending) Time {
	if t.switchNumber == pending.Number {
		return t.switchAt
	}
	return 0
}

// Tick returns the entries to write to the log now. The host calls it many times per lease duration.
func (t *LeaseTable) Tick(now Time, l *Ledger) (entries []Entry) {
	t.minApplied = max(t.minApplied, l.applied)
	for name, holder := range t.holders {
		holder.expire(now)
		if len(holder.leases) == 0 {
			delete(t.holders, name)
		}
	}
	p := l.Pending()
	if p == nil || now < t.earlierLeasesEnd { // until then unknown sidecars may hold leases
		return nil
	}
	switch p.State {
	case Proposed:
		if t.allChecked(p.Number) {
			return t.writeOnce(now, Entry{Commit: p.Number})
		}
	case Committed:
		if t.switchTime(p) == 0 {
			if last := t.lastExpiry(); last <= now+t.terms.upperBound(t.terms.ShortLength) {
				t.switchNumber, t.switchAt = p.Number, max(last, now+1)
			}
		}
		if t.switchTime(p) > 0 {
			return t.writeOnce(now, Entry{Switch: p.Number})
		}
	case Switching:
		if t.switchTime(p) == 0 {
			t.switchNumber, t.switchAt = p.Number, now
		}
		if now >= t.switchAt {
			return t.writeOnce(now, Entry{InForce: p.Number})
		}
	}
	return nil
}

// allChecked reports whether every sidecar that holds a lease has completely checked a document.
func (t *LeaseTable) allChecked(number uint64) bool {
	for _, holder := range t.holders {
		if holder.lastChecked < number {
			return false
		}
	}
	return true
}

// lastExpiry returns the latest expiry of all leases, or 0 if there is none.
func (t *LeaseTable) lastExpiry() (last Time) {
	for _, holder := range t.holders {
		for _, lease := range holder.leases {
			last = max(last, lease.expiry)
		}
	}
	return last
}

// writeOnce returns an entry. The same entry is returned again only after ShortLength, in case it was lost.
func (t *LeaseTable) writeOnce(now Time, entry Entry) []Entry {
	if t.lastWritten == entry && now-t.lastWrittenAt < t.terms.ShortLength {
		return nil
	}
	t.lastWritten, t.lastWrittenAt = entry, now
	return []Entry{entry}
}

// Waiting returns the sidecars that hold a lease and have not checked the pending change yet, and the maximum remaining
// wait. The wait also covers the leases granted by earlier leaders.
func (t *LeaseTable) Waiting(now Time, pending Pending) (names []string, longest time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(t.holders)) {
		holder := t.holders[name]
		if holder.lastChecked >= pending.Number {
			continue
		}
		names = append(names, name)
		for _, lease := range holder.leases {
			longest = max(longest, lease.expiry-now)
		}
	}
	return names, max(longest, t.earlierLeasesEnd-now)
}
