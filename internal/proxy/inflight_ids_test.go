package proxy

import (
	"fmt"
	"testing"
)

// TestCompletedIDsExpire: what is remembered of requests that are over goes with time.
func TestCompletedIDsExpire(t *testing.T) {
	i := newInflightIDs(1)
	for n := range 1000 {
		id := fmt.Sprint(n)
		if err := i.reserve(id); err != nil {
			t.Fatalf("id %d: %v", n, err)
		}
		if err := i.reserve(id); err != errDuplicateID {
			t.Fatalf("id %d again: %v", n, err)
		}
		if err := i.reserve("another"); err != errTooManyRequests {
			t.Fatalf("more in flight than may be: %v", err)
		}
		i.release(id)
		i.rotatedAt = i.rotatedAt.Add(-idRetention)
	}
	if n := len(i.inFlight) + len(i.recent[0]) + len(i.recent[1]); n > 2 {
		t.Errorf("%d ids are left of 1000", n)
	}
	if err := i.reserve("0"); err != nil {
		t.Errorf("an id of long ago: %v", err)
	}
}
