package proxy

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

// TestRepeatedIDIsKnownForLong guards against a request that runs twice: its client has left, the server still executes
// it, and the same ID comes again seconds later.
func TestRepeatedIDIsKnownForLong(t *testing.T) {
	const later, steps = 24 * time.Second, 3
	i := newInflightIDs(1)
	if err := i.reserve("left"); err != nil {
		t.Fatal(err)
	}
	i.release("left")
	for n := range steps { // other requests come in between
		i.rotatedAt = i.rotatedAt.Add(-later / steps)
		if err := i.reserve(fmt.Sprint(n)); err != nil {
			t.Fatal(err)
		}
		i.release(fmt.Sprint(n))
	}
	if err := i.reserve("left"); err != errDuplicateID {
		t.Errorf("error %v %v after the end of the request, want errDuplicateID", err, later)
	}
}

// TestRecentIDIsKnownBesideFlood checks that an ID is known for a second also if many others follow.
func TestRecentIDIsKnownBesideFlood(t *testing.T) {
	i := newInflightIDs(1)
	i.rotatedAt = time.Now().Add(time.Hour) // the test may take longer than a second
	for n := range 3 * maxRecentIDs {
		id := fmt.Sprint(n)
		if err := i.reserve(id); err != nil {
			t.Fatal(err)
		}
		i.release(id)
	}
	if err := i.reserve("0"); err != errDuplicateID {
		t.Errorf("error %v, want errDuplicateID", err)
	}
}

// TestIDsOfFloodAreNotKept guards against a client that sends requests under ever new and long IDs at full speed, and
// makes memory grow without end. Each ID is known for a second at least.
func TestIDsOfFloodAreNotKept(t *testing.T) {
	const idBytes, seconds, mostBytes = 10 << 10, 5, 8 << 20
	i := newInflightIDs(1)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for second := range seconds {
		for n := range maxRecentIDs {
			id := fmt.Sprint(strings.Repeat("i", idBytes), second, " ", n)
			if err := i.reserve(id); err != nil {
				t.Fatal(err)
			}
			i.release(id)
			if err := i.reserve(id); err != errDuplicateID {
				t.Fatalf("an ID that has just ended: error %v", err)
			}
		}
		i.rotatedAt = i.rotatedAt.Add(-minIDRetention)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if n := len(i.recent[0]) + len(i.recent[1]); n > 2*maxRecentIDs {
		t.Errorf("%d IDs are kept", n)
	}
	if held := int64(after.HeapAlloc) - int64(before.HeapAlloc); held > mostBytes {
		t.Errorf("%d bytes are held for the IDs", held)
	}
}

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
