package policy

import (
	"maps"
	"slices"
	"time"
)

// grantedLease is a lease that a sidecar may hold. Its response may have been lost.
type grantedLease struct {
	incarnation uint64
	stamp       Stamp
	expiry      Time // latest, by the leader's clock
}

// leaseHolder is what the leader knows of a sidecar.
type leaseHolder struct {
	incarnation uint64
	leases      []grantedLease
	lastChecked uint64
}

// expire drops the leases that are over.
func (h *leaseHolder) expire(now Time) {
	h.leases = slices.DeleteFunc(h.leases, func(lease grantedLease) bool { return lease.expiry <= now })
}

// supersede drops the leases that a later response, which the same process has applied, took the place of.
func (h *leaseHolder) supersede(incarnation uint64, latest Stamp) {
	h.leases = slices.DeleteFunc(h.leases, func(lease grantedLease) bool {
		return lease.incarnation == incarnation && lease.stamp.Compare(latest) < 0
	})
}

// LeaseTable is the leader's side of the leases. It is made when the leader's Raft term begins and dropped when that
// ends; it knows of the leases of earlier leaders only by when the last of them is over. It isn't safe for concurrent
// use.
type LeaseTable struct {
	terms            Terms
	stamp            Stamp // of the last response
	earlierLeasesEnd Time  // until then leases of earlier leaders may last
	holders          map[string]*leaseHolder
	lastWritten      Entry // returned last, to be written
	lastWrittenAt    Time
	minApplied       uint64 // entries in the latest ledger that was used
	switchNumber     uint64 // policy whose switch is fixed
	switchAt         Time   // no lease on its predecessor lasts longer
}

// NewLeaseTable returns the leader's side for a Raft term that begins now.
func NewLeaseTable(now Time, term uint64, terms Terms) *LeaseTable {
	return &LeaseTable{
		terms:            terms,
		stamp:            Stamp{Term: term},
		earlierLeasesEnd: now + terms.upperBound(terms.Length),
		holders:          map[string]*leaseHolder{},
	}
}

// Renew answers a sidecar. The entries are to be written to the log. An empty response grants nothing.
//
// Before each call the host must have confirmed with a majority, asked after the request came, that no later Raft term
// has begun, and l must hold at least the entries committed by then (Raft's ReadIndex). Otherwise a leader that was
// deposed could give a lease after its successor has begun to count the earlier ones.
func (t *LeaseTable) Renew(now Time, l *Ledger, request LeaseRequest) (response LeaseResponse, entries []Entry) {
	// A request may be answered long after it was confirmed, with the ledger of that time. By it the sidecar would get
	// a lease that this leader no longer counts with.
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
	// A sidecar that cannot run the policy in force serves nothing. With a lease, all changes would wait until it had
	// checked them, also the one that lets it serve again.
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

// updateHolder applies what a request says of its sidecar, and returns it, or nil if a later process has its name.
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
		// The leases of the former process stay: it may still be serving.
		holder.incarnation, holder.lastChecked = request.Incarnation, 0
	}
	holder.supersede(request.Incarnation, request.Latest)
	holder.expire(now)
	holder.lastChecked = max(holder.lastChecked, request.Checked)
	return holder
}

// grant sets which policies a response leases, and for how long, as the state of the pending change allows.
func (t *LeaseTable) grant(response *LeaseResponse, now Time, l *Ledger) {
	pending, inForce := l.Pending(), l.InForce().Number
	switch {
	case pending == nil || pending.State == Proposed:
		response.Number, response.Duration = inForce, t.terms.Length
	case pending.State == Committed && t.switchTime(pending) == 0:
		response.Number, response.Duration = inForce, t.terms.ShortLength
	case pending.State == Committed: // the entry that switches is being written
		response.Number, response.Duration = inForce, max(t.switchAt-now, 0)
	default:
		t.grantSwitching(response, now, inForce, pending)
	}
}

// grantSwitching leases the policy in force until the switch, and the pending one from then on.
func (t *LeaseTable) grantSwitching(response *LeaseResponse, now Time, inForce uint64, pending *Pending) {
	if t.switchTime(pending) == 0 {
		// An earlier leader has leased the pending policy from a time that this one does not know.
		if now < t.earlierLeasesEnd {
			return
		}
		t.switchNumber, t.switchAt = pending.Number, now
	}
	untilSwitch := max(t.switchAt-now, 0)
	response.Number, response.Duration = inForce, untilSwitch
	response.Next, response.NextIn = pending.Number, untilSwitch
	response.NextDuration = t.terms.Length - untilSwitch // the next leader waits for Length, so no lease may last longer
}

// switchTime is when a change switches, as this leader has fixed it; 0: it has not.
func (t *LeaseTable) switchTime(pending *Pending) Time {
	if t.switchNumber == pending.Number {
		return t.switchAt
	}
	return 0
}

// Tick returns the entries that are to be written to the log now. The host calls it many times while a lease lasts.
func (t *LeaseTable) Tick(now Time, l *Ledger) (entries []Entry) {
	t.minApplied = max(t.minApplied, l.applied)
	for name, holder := range t.holders {
		holder.expire(now)
		if len(holder.leases) == 0 {
			delete(t.holders, name)
		}
	}
	p := l.Pending()
	if p == nil || now < t.earlierLeasesEnd { // until then other sidecars may hold leases
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

// allChecked says whether every sidecar that holds a lease has checked a document completely.
func (t *LeaseTable) allChecked(number uint64) bool {
	for _, holder := range t.holders {
		if holder.lastChecked < number {
			return false
		}
	}
	return true
}

// lastExpiry is when the last lease is over; 0: there is none.
func (t *LeaseTable) lastExpiry() (last Time) {
	for _, holder := range t.holders {
		for _, lease := range holder.leases {
			last = max(last, lease.expiry)
		}
	}
	return last
}

// writeOnce returns an entry, and the same one again only after some time, as it may have been lost.
func (t *LeaseTable) writeOnce(now Time, entry Entry) []Entry {
	if t.lastWritten == entry && now-t.lastWrittenAt < t.terms.ShortLength {
		return nil
	}
	t.lastWritten, t.lastWrittenAt = entry, now
	return []Entry{entry}
}

// Waiting lists the sidecars that have not checked a pending change yet, and for how long it waits for them at most.
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
