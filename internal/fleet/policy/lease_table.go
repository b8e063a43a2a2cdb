package policy

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Time is a reading of the host's monotonic clock.
type Time = time.Duration

// Terms are what the operator chose, the same on all sidecars.
type Terms struct {
	// Length of a promise: for so long one that is cut off serves on, and for so long at most a change waits for it.
	Length time.Duration
	// Short is the length while a change is about to switch.
	Short time.Duration
	// Drift is by what share the clocks of two sidecars may run apart.
	Drift float64
}

// DefaultTerms are those where the operator's file says nothing.
var DefaultTerms = Terms{Length: 3 * time.Second, Short: 300 * time.Millisecond, Drift: 0.01}

// Check says what is wrong with the terms.
func (t Terms) Check() error {
	switch {
	case t.Short < 50*time.Millisecond || t.Length < 2*t.Short:
		return fmt.Errorf("a promise of %v, of %v while a change switches: 50ms, and twice that, are the least", t.Length, t.Short)
	case t.Drift < 0 || t.Drift > 0.1:
		return fmt.Errorf("clocks that run apart by %v: 0 to 0.1 are allowed", t.Drift)
	}
	return nil
}

// upperBound is a time as it may be by another's clock, and shorter the same the other way.
func (t Terms) upperBound(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.Drift)) + 1
}

func (t Terms) lowerBound(d time.Duration) time.Duration {
	return max(time.Duration(float64(d)/(1+t.Drift))-1, 0)
}

// Stamp orders the answers of leaders: those of a later term are later.
type Stamp struct {
	Term  uint64 `cbor:"1,keyasint"`
	Count uint64 `cbor:"2,keyasint"`
}

// Compare orders stamps.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Term, o.Term), cmp.Compare(s.Count, o.Count))
}

// LeaseRequest is what a sidecar asks the leader.
type LeaseRequest struct {
	Sidecar     string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // of its process: what was promised to a former one is nothing to it
	Latest      Stamp  `cbor:"3,keyasint"` // the last answer that it has taken in
	Checked     uint64 `cbor:"4,keyasint"` // the last document that it has, and has checked whole
	Fault       string `cbor:"5,keyasint"` // what is wrong with that one; "": nothing
}

// LeaseResponse is the leader's answer. The times are lengths, to be counted from the question or from the answer.
type LeaseResponse struct {
	Stamp        Stamp         `cbor:"1,keyasint"`
	Number       uint64        `cbor:"2,keyasint"` // to serve under; 0: nothing is promised
	Duration     time.Duration `cbor:"3,keyasint"`
	Next         uint64        `cbor:"4,keyasint"` // to serve under after that; 0: that is not known
	NextIn       time.Duration `cbor:"5,keyasint"` // Next's begin
	NextDuration time.Duration `cbor:"6,keyasint"` // and its length
	Check        uint64        `cbor:"7,keyasint"` // a document to be got and checked; 0: none
}

// grantedLease is a promise that a sidecar may hold.
type grantedLease struct {
	incarnation uint64
	stamp       Stamp
	expiry      Time // at the latest, by the leader's clock
}

// leaseHolder is what the leader knows of a sidecar.
type leaseHolder struct {
	incarnation uint64
	leases      []grantedLease
	checked     uint64
}

// LeaseTable is the leader's side of the promises. It begins with its term and ends with it.
type LeaseTable struct {
	terms            Terms
	stamp            Stamp
	earlierLeasesEnd Time // until then promises of its forerunners may last
	holders          map[string]*leaseHolder
	lastWritten      Entry // the last one that it has asked for, and when
	lastWrittenAt    Time
	switchNumber     uint64
	minApplied       uint64 // entries of the log that it has gone by
	switchAt         Time   // the switch: no promise under the former policy lasts longer; 0: not fixed
}

// NewLeaseTable returns the leader's side for a term that begins now.
func NewLeaseTable(now Time, term uint64, t Terms) *LeaseTable {
	return &LeaseTable{terms: t, stamp: Stamp{Term: term}, earlierLeasesEnd: now + t.upperBound(t.Length), holders: map[string]*leaseHolder{}}
}

// Renew answers a sidecar. write is what is to go into the log. Danger: the host must know by a majority, asked after the question
// came, that no other term has begun, and l must be what the log comes to at that point at least (Raft's read index);
// what a deposed leader promised later would be known to nobody.
func (g *LeaseTable) Renew(now Time, l *Ledger, q LeaseRequest) (a LeaseResponse, write []Entry) {
	// Danger: a question that was confirmed and then lay about, with what the log came to by then, would be answered by what
	// this leader has long gone beyond.
	if l.applied < g.minApplied {
		return LeaseResponse{}, nil
	}
	g.minApplied = l.applied
	s := g.holders[q.Sidecar]
	if s == nil {
		s = &leaseHolder{}
		g.holders[q.Sidecar] = s
	}
	if q.Incarnation < s.incarnation {
		return LeaseResponse{}, nil // a former process
	}
	if q.Incarnation > s.incarnation { // Danger: the former one may live on for a while: what it was promised goes on counting
		s.incarnation, s.checked = q.Incarnation, 0
	}
	s.leases = slices.DeleteFunc(s.leases, func(p grantedLease) bool {
		return p.incarnation == q.Incarnation && p.stamp.Compare(q.Latest) < 0 || p.expiry <= now
	})
	s.checked = max(s.checked, q.Checked)
	g.stamp.Count++
	a = LeaseResponse{Stamp: g.stamp}
	p := l.Pending()
	if p != nil && q.Checked == p.Number && q.Fault != "" && p.State == Proposed {
		write = append(write, Entry{Refuse: &Refusal{p.Number, q.Sidecar + ": " + q.Fault}})
	}
	if p != nil && q.Checked != p.Number {
		a.Check = p.Number
	}
	// Danger: one whose build cannot run what is in force serves nothing; were it promised anything, all changes would
	// wait for its word, the one that lets it serve again among them.
	if q.Fault != "" && q.Checked == l.InForce().Number {
		return a, write
	}
	switch {
	case p == nil || p.State == Proposed:
		a.Number, a.Duration = l.InForce().Number, g.terms.Length
	case p.State == Committed && g.switchTime(p) == 0:
		a.Number, a.Duration = l.InForce().Number, g.terms.Short
	case p.State == Committed: // the switch is on its way into the log
		a.Number, a.Duration = l.InForce().Number, max(g.switchAt-now, 0)
	case g.switchTime(p) == 0: // its forerunner has promised the next one, from a time that nobody knows
		if now >= g.earlierLeasesEnd {
			g.switchNumber, g.switchAt = p.Number, now
		}
	}
	if p != nil && p.State == Switching && g.switchTime(p) > 0 {
		a.Number, a.Duration = l.InForce().Number, max(g.switchAt-now, 0)
		a.Next, a.NextIn = p.Number, max(g.switchAt-now, 0)
		a.NextDuration = g.terms.Length - a.NextIn // Danger: no promise may outlast what the next leader waits for
	}
	if a.Duration <= 0 && a.Next == 0 {
		a.Number = 0
		return a, write
	}
	end := now + g.terms.upperBound(a.Duration)
	if a.Next > 0 {
		end = now + g.terms.upperBound(a.NextIn+a.NextDuration)
	}
	s.leases = append(s.leases, grantedLease{q.Incarnation, a.Stamp, end})
	return a, write
}

// switchTime is when a change switches, as this leader has fixed it; 0: it has not.
func (g *LeaseTable) switchTime(p *Pending) Time {
	if g.switchNumber == p.Number {
		return g.switchAt
	}
	return 0
}

// Tick returns what is to go into the log now.
func (g *LeaseTable) Tick(now Time, l *Ledger) (write []Entry) {
	g.minApplied = max(g.minApplied, l.applied)
	for name, s := range g.holders {
		s.leases = slices.DeleteFunc(s.leases, func(p grantedLease) bool { return p.expiry <= now })
		if len(s.leases) == 0 {
			delete(g.holders, name)
		}
	}
	p := l.Pending()
	if p == nil || now < g.earlierLeasesEnd { // until then it does not know who holds what
		return nil
	}
	switch p.State {
	case Proposed:
		for _, s := range g.holders {
			if s.checked < p.Number {
				return nil
			}
		}
		return g.writeOnce(now, Entry{Commit: p.Number})
	case Committed:
		if g.switchTime(p) == 0 {
			if last := g.lastExpiry(); last <= now+g.terms.upperBound(g.terms.Short) {
				g.switchNumber, g.switchAt = p.Number, max(last, now+1)
			}
		}
		if g.switchTime(p) > 0 {
			return g.writeOnce(now, Entry{Switch: p.Number})
		}
	case Switching:
		if g.switchTime(p) == 0 {
			g.switchNumber, g.switchAt = p.Number, now
		}
		if now >= g.switchAt {
			return g.writeOnce(now, Entry{InForce: p.Number})
		}
	}
	return nil
}

// lastExpiry is when the last promise is over.
func (g *LeaseTable) lastExpiry() (end Time) {
	for _, s := range g.holders {
		for _, p := range s.leases {
			end = max(end, p.expiry)
		}
	}
	return end
}

// writeOnce returns an entry, and again only after some time: it may have got lost.
func (g *LeaseTable) writeOnce(now Time, e Entry) []Entry {
	if g.lastWritten == e && now-g.lastWrittenAt < g.terms.Short {
		return nil
	}
	g.lastWritten, g.lastWrittenAt = e, now
	return []Entry{e}
}

// Waiting lists the sidecars whose promises a change waits for, and how long at most.
func (g *LeaseTable) Waiting(now Time, p Pending) (names []string, most time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(g.holders)) {
		if s := g.holders[name]; s.checked < p.Number {
			names = append(names, name)
			for _, h := range s.leases {
				most = max(most, h.expiry-now)
			}
		}
	}
	return names, max(most, g.earlierLeasesEnd-now)
}
