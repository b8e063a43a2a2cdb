package policy

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTermsCheck requires that Check accepts the default terms and rejects terms out of bounds.
func TestTermsCheck(t *testing.T) {
	if err := DefaultTerms.Check(); err != nil {
		t.Error(err)
	}
	for _, tt := range []struct {
		name string
		bad  Terms
	}{
		{"zero terms", Terms{}},
		{"short length equal to length", Terms{Length: time.Second, ShortLength: time.Second}},
		{"short length below minimum", Terms{Length: time.Second, ShortLength: time.Millisecond}},
		{"drift above maximum", Terms{Length: time.Second, ShortLength: 100 * time.Millisecond, Drift: 0.5}},
		{"negative drift", Terms{Length: time.Second, ShortLength: 100 * time.Millisecond, Drift: -1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if err := tt.bad.Check(); !errors.Is(err, ErrTerms) {
				t.Errorf("%+v: error %v, want one that wraps %v", tt.bad, err, ErrTerms)
			}
		})
	}
}

// TestHolderTakesLatestResponse requires that responses in any order have the same effect as the latest one alone.
func TestHolderTakesLatestResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var responses []LeaseResponse
		for i := range rapid.IntRange(1, 8).Draw(t, "responses") {
			responses = append(responses, LeaseResponse{
				Stamp:    Stamp{uint64(i/3 + 1), uint64(i + 1)},
				Number:   uint64(rapid.IntRange(0, 3).Draw(t, "number")),
				Duration: time.Duration(rapid.IntRange(0, 3000).Draw(t, "duration")) * time.Millisecond,
			})
		}
		newHolder := func() *Holder {
			h := NewHolder("n", 1, DefaultTerms)
			for n := range uint64(4) {
				h.runnable[n] = true
			}
			return h
		}
		one, all := newHolder(), newHolder()
		one.ApplyResponse(time.Hour, time.Hour, responses[len(responses)-1])
		for _, response := range rapid.Permutation(responses).Draw(t, "order") {
			all.ApplyResponse(time.Hour, time.Hour, response)
		}
		for _, at := range []Time{0, time.Second, 2 * time.Second, 4 * time.Second} {
			n1, _, ok1 := one.Serves(time.Hour + at)
			n2, _, ok2 := all.Serves(time.Hour + at)
			if n1 != n2 || ok1 != ok2 {
				t.Errorf("after %v: latest response alone serves %d, %v; all responses serve %d, %v",
					at, n1, ok1, n2, ok2)
			}
		}
	})
}

// TestHolderWaitsForLateRenewal requires that a request waits for a late renewal, up to the short lease duration after
// the expiry, and does not wait if there was no lease. Meanwhile it must not be accepted under any policy.
func TestHolderWaitsForLateRenewal(t *testing.T) {
	const at, short = Time(time.Hour), 300 * time.Millisecond
	terms := Terms{Length: 3 * time.Second, ShortLength: short}
	for _, tt := range []struct {
		name     string
		response LeaseResponse
		expiry   time.Duration // of the last lease in it
		waits    bool
	}{
		{"lease", LeaseResponse{Number: 1, Duration: time.Second}, time.Second, true},
		{"lease on the next policy",
			LeaseResponse{Number: 1, Duration: short, Next: 2, NextIn: short, NextDuration: time.Second},
			short + time.Second, true},
		{"no lease", LeaseResponse{}, 0, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := NewHolder("n", 1, terms)
			h.runnable[1], h.runnable[2] = true, true
			if _, wait, ok := h.Serves(at); ok || wait != 0 {
				t.Errorf("before any response: wait %v, ok %v", wait, ok)
			}
			tt.response.Stamp = Stamp{1, 1}
			h.ApplyResponse(at, at, tt.response)
			for _, instant := range []struct {
				after time.Duration
				waits bool
			}{
				{tt.expiry + time.Millisecond, tt.waits},
				{tt.expiry + short - time.Millisecond, tt.waits},
				{tt.expiry + short + time.Millisecond, false},
			} {
				if _, wait, ok := h.Serves(at + instant.after); ok || (wait > 0) != instant.waits {
					t.Errorf("%v later: wait %v, ok %v; want waiting %v", instant.after, wait, ok, instant.waits)
				}
			}
		})
	}
}

// TestIncarnationsUnderClockSteps restarts a sidecar after a step of the wall clock, while the leader still has the
// lease of the former process. The initial incarnation comes from the wall clock, so it may be lower than that of the
// former process, and then the request gets no lease. It must get one with the incarnation that the fleet assigns.
func TestIncarnationsUnderClockSteps(t *testing.T) {
	const former = 10_000_000 // the former process's incarnation, in milliseconds of the wall clock
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			ledger, table := NewLedger([]byte("first")), NewLeaseTable(time.Hour, 1, DefaultTerms)
			leased := func(h *Holder) bool {
				response, _ := table.Renew(2*time.Hour, ledger, h.Request())
				return response.Number == 1 && response.Duration > 0
			}
			if !leased(NewHolder("n0", former, DefaultTerms)) {
				t.Fatal("no lease for the former process")
			}
			h := NewHolder("n0", uint64(former+(time.Second+step).Milliseconds()), DefaultTerms)
			if got := leased(h); got != (step > 0) {
				t.Errorf("leased: %v under the incarnation that it begins with", got)
			}
			h.RaiseIncarnation(former + 1)
			if !leased(h) {
				t.Error("no lease with the incarnation assigned by the fleet")
			}
		})
	}
}
