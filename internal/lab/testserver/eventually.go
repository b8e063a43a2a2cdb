package testserver

import (
	"testing"
	"time"
)

// pollInterval is the pause between two checks of Eventually.
const pollInterval = time.Millisecond

// Eventually repeats check until it returns "", and fails the test with what it returned last if that takes longer than
// Timeout.
func Eventually(t *testing.T, check func() (problem string)) {
	t.Helper()
	for end := time.Now().Add(Timeout); ; time.Sleep(pollInterval) {
		problem := check()
		if problem == "" {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("after %v: %s", Timeout, problem)
		}
	}
}
