package gossip

import (
	"fmt"
	"testing"

	"milletramp.example/milletramp/internal/fleet/failuredetector"
)

// TestQuorumOfNotesRequestsReports has sidecars note late answers of a server: the owners of a quorum of notes are
// asked to report, nobody else is, and nobody at all where an answer has come since.
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
			t.Errorf("three notes are no quorum, and %s is asked", name)
		}
	}
	note(5, failuredetector.NoteLate)
	for i := range all {
		if want := i < 3 || i == 5; (reportRequests[fmt.Sprint("n", i)] > 0) != want {
			t.Errorf("sidecar %d is asked %d times, want any: %v", i, reportRequests[fmt.Sprint("n", i)], want)
		}
	}
}

// TestNotesAreBounded: a burst of notes keeps to the bound on bytes.
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
		t.Errorf("%d bytes at once", sent)
	}
	if all[0].Counters().Throttled == 0 {
		t.Error("nothing was held back, so nothing was tested")
	}
}
