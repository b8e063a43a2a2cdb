package policy

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Time is a reading of the host's monotonic clock, as the duration since a fixed point private to this host.
// A reading is never 0, because 0 means that a time is not set.
type Time = time.Duration

// Bounds of Terms.
const (
	minShortLease = 50 * time.Millisecond
	maxDrift      = 0.1
)

// ErrTerms is wrapped by the errors of Terms.Check.
var ErrTerms = errors.New("lease terms out of bounds")

// Terms are the operator's settings for all leases. They must be the same on all sidecars.
type Terms struct {
	// Length is the duration of a lease. A partitioned sidecar serves for at most this long, and a change of policy
	// waits for the sidecar for the same time.
	Length time.Duration
	// ShortLength is the duration of leases granted while a change waits for its switch. It makes the switch happen
	// soon.
	ShortLength time.Duration
	// Drift is the maximum relative rate difference between the clocks of two sidecars: 0.01 is 10 ms per second.
	Drift float64
}

// DefaultTerms are used if the operator's file sets none.
var DefaultTerms = Terms{Length: 3 * time.Second, ShortLength: 300 * time.Millisecond, Drift: 0.01}

// Check returns an error that wraps ErrTerms if no change of policy could complete under the terms.
func (t Terms) Check() error {
	switch {
	case t.ShortLength < minShortLease || t.Length < 2*t.ShortLength:
		return fmt.Errorf("%w: a lease lasts %v, and %v while a change switches; "+
			"the latter must be at least %v, and the former at least twice the latter",
			ErrTerms, t.Length, t.ShortLength, minShortLease)
	case t.Drift < 0 || t.Drift > maxDrift:
		return fmt.Errorf("%w: clock drift of %v is not between 0 and %v", ErrTerms, t.Drift, maxDrift)
	}
	return nil
}

// upperBound returns the longest time that this host's clock can measure for a duration on another host's clock.
func (t Terms) upperBound(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.Drift)) + 1
}

// lowerBound returns the shortest time that this host's clock can measure for a duration on another host's clock.
func (t Terms) lowerBound(d time.Duration) time.Duration {
	return max(time.Duration(float64(d)/(1+t.Drift))-1, 0)
}

// Stamp orders the responses of all leaders: first by the leader's Raft term, then by the response count in that term.
type Stamp struct {
	Term  uint64 `cbor:"1,keyasint"`
	Count uint64 `cbor:"2,keyasint"`
}

// Compare returns -1, 0 or 1 as s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Term, o.Term), cmp.Compare(s.Count, o.Count))
}

// LeaseRequest is a sidecar's request to the leader to renew its lease.
type LeaseRequest struct {
	Sidecar string `cbor:"1,keyasint"`
	// Incarnation numbers the processes with the sidecar's name. A process does not hold its predecessor's leases.
	Incarnation uint64 `cbor:"2,keyasint"`
	Latest      Stamp  `cbor:"3,keyasint"` // of the latest response applied by the holder
	Checked     uint64 `cbor:"4,keyasint"` // number of the last completely checked document
	Fault       string `cbor:"5,keyasint"` // why that document cannot run; "": it can run
}

// LeaseResponse is the leader's response to a LeaseRequest. It contains durations instead of times, because hosts do
// not share a clock: the holder measures the end of a lease from when it sent the request, and the start of the next
// lease from when the response arrived.
type LeaseResponse struct {
	Stamp        Stamp         `cbor:"1,keyasint"`
	Number       uint64        `cbor:"2,keyasint"` // policy leased now; 0: none
	Duration     time.Duration `cbor:"3,keyasint"`
	Next         uint64        `cbor:"4,keyasint"` // policy leased after the switch; 0: not known yet
	NextIn       time.Duration `cbor:"5,keyasint"` // until the lease on Next begins
	NextDuration time.Duration `cbor:"6,keyasint"` // of the lease on Next
	Check        uint64        `cbor:"7,keyasint"` // number of a document to fetch and check; 0: none
}
