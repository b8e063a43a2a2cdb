package lab

import (
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/loopback"
	"milletramp.example/milletramp/internal/lab/runplan"
)

// TestSocketTerms: a machine on which requests are sent late excuses answers as late as that, and none that are later or than are
// excused at the most.
func TestSocketTerms(t *testing.T) {
	drawn := runplan.Draw(load(t, "short-calm"), 1)
	calm := socketTerms(drawn, 0)
	if calm.ResponseSlack != loopback.ResponseSlack {
		t.Errorf("with nothing late the slack is %v, want %v", calm.ResponseSlack, loopback.ResponseSlack)
	}
	for _, tt := range []struct{ late, excused time.Duration }{{52 * time.Millisecond, 52 * time.Millisecond}, {5 * time.Second, mostExcused}} {
		got := socketTerms(drawn, tt.late)
		if got.ResponseSlack != calm.ResponseSlack+tt.excused || got.GiveUpGrace != calm.GiveUpGrace+tt.excused || got.DrainGrace != calm.DrainGrace+tt.excused {
			t.Errorf("sent %v late: %+v", tt.late, got)
		}
	}
}
