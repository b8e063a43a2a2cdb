package policy

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Time is a reading of the host's monotonic clock, as the time since a fixed point that only this host knows.
// It is never 0, which stands for a time that is not set.
type Time = time.Duration

// Bounds of Terms.
const (
	minShortLease = 50 * time.Millisecond
	maxDrift      = 0.1
)

// ErrTerms is wrapped by the errors of Terms.Check.
var ErrTerms = errors.New("terms of a lease out of bounds")

// Terms are what the operator chose for all leases. They must be the same on all sidecars.
type Terms struct {
	// Length is how long a lease lasts. A sidecar that is cut off serves on for this long at most, and a change of
	// policy waits for it as long.
	Length time.Duration
	// ShortLength is the length of leases that are given while a change waits to switch, so that the switch comes soon.
	ShortLength time.Duration
	// Drift is the share by which the clocks of two sidecars may run apart: 0.01 is 10 ms a second.
	Drift float64
}

// DefaultTerms hold where the operator's file sets none.
var DefaultTerms = Terms{Length: 3 * time.Second, ShortLength: 300 * time.Millisecond, Drift: 0.01}

// Check returns an error that wraps ErrTerms where no change could be made under the terms.
func (t Terms) Check() error {
	switch {
	case t.ShortLength < minShortLease || t.Length < 2*t.ShortLength:
		return fmt.Errorf("%w: a lease of %v, of %v while a change switches: at least %v, and twice that, are needed",
			ErrTerms, t.Length, t.ShortLength, minShortLease)
	case t.Drift < 0 || t.Drift > maxDrift:
		return fmt.Errorf("%w: clocks that run apart by %v: 0 to %v are allowed", ErrTerms, t.Drift, maxDrift)
	}
	return nil
}

// upperBound is the longest that this host's clock may show for a duration by another host's.
func (t Terms) upperBound(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.Drift)) + 1
}

// lowerBound is the shortest that this host's clock may show for a duration by another host's.
func (t Terms) lowerBound(d time.Duration) time.Duration {
	return max(time.Duration(float64(d)/(1+t.Drift))-1, 0)
}

// Stamp orders the responses of all leaders: first by the leader's Raft term, then by their number within it.
type Stamp struct {
	Term  uint64 `cbor:"1,keyasint"`
	Count uint64 `cbor:"2,keyasint"`
}

// Compare returns -1, 0 or 1 as s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Term, o.Term), cmp.Compare(s.Count, o.Count))
}

// LeaseRequest is what a sidecar sends to the leader to renew its lease.
type LeaseRequest struct {
	Sidecar string `cbor:"1,keyasint"`
	// Incarnation numbers the processes under the sidecar's name. A process does not hold its predecessor's leases.
	Incarnation uint64 `cbor:"2,keyasint"`
	Latest      Stamp  `cbor:"3,keyasint"` // of the latest response that the holder has applied
	Checked     uint64 `cbor:"4,keyasint"` // number of the last document that it has checked completely
	Fault       string `cbor:"5,keyasint"` // why it cannot run that document; "": it can
}

// LeaseResponse is the leader's answer to a LeaseRequest. Its times are durations, since clocks are not shared: the
// holder counts an end from when it sent the request, and a start from when the response came.
type LeaseResponse struct {
	Stamp        Stamp         `cbor:"1,keyasint"`
	Number       uint64        `cbor:"2,keyasint"` // policy that is leased; 0: none
	Duration     time.Duration `cbor:"3,keyasint"`
	Next         uint64        `cbor:"4,keyasint"` // policy that is leased after that; 0: not known yet
	NextIn       time.Duration `cbor:"5,keyasint"` // until the lease of Next begins
	NextDuration time.Duration `cbor:"6,keyasint"` // from NextIn on
	Check        uint64        `cbor:"7,keyasint"` // document to be fetched and checked; 0: none
}
