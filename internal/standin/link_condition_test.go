package standin

import (
	"testing"
	"time"
)

// TestFaultAt: each fault has its share of the numbers from 0 to 1, in the order of the fields, and the rest has none.
func TestFaultAt(t *testing.T) {
	condition := LinkCondition{ResetBefore: 0.125, ResetWithin: 0.125, ResetAfter: 0.125, HalfClose: 0.125, Garbage: 0.125,
		Truncate: 0.125, Trickle: 0.125}
	for i, want := range []linkFault{faultResetBefore, faultResetWithin, faultResetAfter, faultHalfClose, faultGarbage,
		faultTruncate, faultTrickle, noFault} {
		first := float64(i) / 8
		for _, drawn := range []float64{first, first + 0.124} {
			if fault := condition.faultAt(drawn); fault != want {
				t.Errorf("fault %d at %v, want %d", fault, drawn, want)
			}
		}
	}
	none := LinkCondition{}
	if fault := none.faultAt(0); fault != noFault {
		t.Errorf("fault %d of a condition without faults", fault)
	}
}

// TestDelayAt: the delay varies around its mean, and a handshake adds round trips.
func TestDelayAt(t *testing.T) {
	condition := LinkCondition{Delay: 100 * time.Millisecond, JitterFraction: 0.5}
	for _, tt := range []struct {
		drawn, roundTrips float64
		want              time.Duration
	}{
		{0, 0, 50 * time.Millisecond},
		{0.5, 0, 100 * time.Millisecond},
		{0.75, 0, 125 * time.Millisecond},
		{0.5, 2, 500 * time.Millisecond},
	} {
		if delay := condition.delayAt(tt.drawn, tt.roundTrips); delay != tt.want {
			t.Errorf("%v at %v with %v round trips, want %v", delay, tt.drawn, tt.roundTrips, tt.want)
		}
	}
}
