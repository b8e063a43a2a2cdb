package gossip

import (
	"fmt"
	"testing"

	"milletramp.example/milletramp/internal/fleet/failuredetector"
)

// TestQuorumOfNotesRequestsReports makes sidecars send notes on late responses of a server. Reports must be requested
// from the senders of a quorum of notes and from no other sidecar, and from none if the server has responded since.
func TestQuorumOfNotesRequestsReports(t *testing.T) {
	now := start
	all := newSyncedFleet(t, &now, 8)
	reportRequests := map[string]int{}
	note := func(i int, kind failuredetector.NoteKind) {
		all[i].SendNote(now.Time, failuredetector.Note{Server: "s-1", Kind: kind})
		_, reports := exchangeAll(t, now, all...)
		for name, n := range reports {
			reportRequests[name] += n
		}
	}
	for _, i := range []int{0, 1, 2} {
		note(i, failuredetector.NoteLate)
	}
	note(0, failuredetector.NoteAnswered)
	for _, i := range []int{0, 1, 2} {
		note(i, failuredetector.NoteLate)
	}
	for name, n := range reportRequests {
		if n > 0 {
			t.Errorf("%s is requested to report, but three notes are no quorum", name)
		}
	}
	note(5, failuredetector.NoteLate)
	for i := range all {
		if want := i < 3 || i == 5; (reportRequests[fmt.Sprint("n", i)] > 0) != want {
			t.Errorf("sidecar %d is requested to report %d times, want any request: %v", i, reportRequests[fmt.Sprint("n", i)], want)
		}
	}
}

// TestNotesAreBounded checks that a burst of notes does not exceed the send rate limit.
func TestNotesAreBounded(t *testing.T) {
	now := start
	all := newSyncedFleet(t, &now, 8)
	for i := range 4 * MaxBytesPerSecond / 60 { // a note takes about 60 bytes
		all[0].SendNote(now.Time, failuredetector.Note{Server: fmt.Sprint("s-", i), Kind: failuredetector.NoteLate})
	}
	sent := 0
	for _, d := range all[0].TakeActions().Send {
		sent += len(d.Payload)
	}
	if sent > maxBurstBytes+MaxPacketBytes || sent == 0 {
		t.Errorf("%d bytes sent in one burst", sent)
	}
	if all[0].Counters().Throttled == 0 {
		t.Error("no packet was throttled: the test did not reach the limit")
	}
}
