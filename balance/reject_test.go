package balance

import (
	"testing"
	"time"
)

// TestMayReject checks whether a host may reject a request by itself while an attempt is in flight, and once
// the request is over or if it is unknown.
func TestMayReject(t *testing.T) {
	for _, tt := range []struct {
		name  string
		class Class
		want  bool // with an attempt in flight
	}{
		{"idempotent", Class{Effect: Idempotent}, true},
		{"deduplicated in all zones", Class{Effect: Deduplicated, Scope: ScopeAll, DedupeWindow: time.Minute}, true},
		{"deduplicated within a zone", Class{Effect: Deduplicated, Scope: ScopeZone, DedupeWindow: time.Minute}, false},
		{"at most once", Class{Effect: AtMostOnce}, false},
	} {
		set := settings()
		tt.class.LatencyObjective, tt.class.Deadline, tt.class.Priority = time.Second, 3*time.Second, 1
		set.Classes = []Class{tt.class}
		b, h := start(t, set, twoEndpoints())
		b.Request(h.now, Request{ID: 1, Tenant: -1, Timeout: time.Second})
		if len(h.sent) != 1 {
			t.Fatalf("%s: %d attempts, want 1", tt.name, len(h.sent))
		}
		if got := b.MayReject(1); got != tt.want {
			t.Errorf("%s, in flight: %v, want %v", tt.name, got, tt.want)
		}
		b.Result(h.now, Result{ID: 1, Outcome: ConnectFailed}) // the next attempt is in flight
		if got := b.MayReject(1); got != tt.want || len(h.sent) != 2 {
			t.Errorf("%s, second attempt in flight: %v after %d attempts, want %v", tt.name, got, len(h.sent), tt.want)
		}
		b.ClientGone(h.now, 1)
		if b.MayReject(1) || b.MayReject(2) {
			t.Errorf("%s: a request that is over or unknown may be rejected", tt.name)
		}
	}
}
