package proxy

import (
	"fmt"
	"testing"
)

// TestCompletedIDsExpire checks that the IDs of completed requests are dropped after some time.
func TestCompletedIDsExpire(t *testing.T) {
	i := newInflightIDs(1)
	for n := range 1000 {
		id := fmt.Sprint(n)
		if err := i.reserve(id); err != nil {
			t.Fatalf("id %d: %v", n, err)
		}
		if err := i.reserve(id); err != errDuplicateID {
			t.Fatalf("id %d a second time: error %v, want %v", n, err, errDuplicateID)
		}
		if err := i.reserve("another"); err != errTooManyRequests {
			t.Fatalf("one request more than the maximum: error %v, want %v", err, errTooManyRequests)
		}
		i.release(id)
		i.rotatedAt = i.rotatedAt.Add(-idRetention)
	}
	if n := len(i.inFlight) + len(i.recent[0]) + len(i.recent[1]); n > 2 {
		t.Errorf("%d of 1000 IDs are still kept, want at most 2", n)
	}
	if err := i.reserve("0"); err != nil {
		t.Errorf("an expired ID: %v", err)
	}
}
