package balance

import (
	"fmt"
	"testing"
	"time"
)

// TestStalledResponseIsHedged checks that a request is hedged once if a response stalls, where its class and the
// settings allow two attempts at a time, and that the attempt with the stalled response is not cancelled.
func TestStalledResponseIsHedged(t *testing.T) {
	for _, tt := range []struct {
		effect         Effect
		cancel, hedged bool // settings
		want           int  // attempts after the stall
	}{
		{Idempotent, true, true, 2},
		{Idempotent, false, true, 2},
		{Idempotent, true, false, 1},
		{Deduplicated, true, true, 2},
		{Deduplicated, true, false, 1},
		{AtMostOnce, true, true, 1},
	} {
		t.Run(fmt.Sprintf("%+v", tt), func(t *testing.T) {
			set := settings()
			set.CancelAllowed, set.HedgingAllowed = tt.cancel, tt.hedged
			set.Classes[0].Effect, set.Classes[0].DedupeWindow = tt.effect, 10*time.Second
			b, h := start(t, set, twoEndpoints())
			serveRequests(b, h, 200, 20*time.Millisecond)
			h.sent, h.cancelled = nil, 0
			b.Request(h.now, Request{ID: 1, Tenant: -1, Timeout: 3 * time.Second})
			for range 3 {
				h.now += 10 * time.Millisecond
				b.ResponseStalled(h.now, 1, 0)
			}
			if len(h.sent) != tt.want || h.cancelled > 0 {
				t.Errorf("%d attempts, %d cancelled, want %d attempts", len(h.sent), h.cancelled, tt.want)
			}
		})
	}
}

// TestStallOfFinishedAttemptIsIgnored checks that a stall of an unknown or finished attempt has no effect.
func TestStallOfFinishedAttemptIsIgnored(t *testing.T) {
	set := settings()
	set.CancelAllowed, set.HedgingAllowed = true, true
	b, h := start(t, set, twoEndpoints())
	b.Request(h.now, Request{ID: 1, Tenant: -1, Timeout: 3 * time.Second})
	b.Result(h.now, Result{ID: 1, Endpoint: h.sent[0].to, Outcome: Served, Finished: true})
	for _, id := range []RequestID{1, 2} {
		for _, attempt := range []int{-1, 0, 1} {
			b.ResponseStalled(h.now, id, attempt)
		}
	}
	if len(h.sent) != 1 || h.cancelled > 0 {
		t.Errorf("%d attempts, %d cancelled, want 1 attempt", len(h.sent), h.cancelled)
	}
}
