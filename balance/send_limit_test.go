package balance

import (
	"testing"
	"time"
)

// hedgeFirstAttempt sends a request and hedges its attempt. It returns the time between the two attempts.
func hedgeFirstAttempt(t *testing.T, effect Effect, scope Scope, window time.Duration) (*Balancer, *host, time.Duration) {
	t.Helper()
	set := settings()
	set.HedgingAllowed = true
	class := &set.Classes[0]
	class.Effect, class.Scope, class.DedupeWindow = effect, scope, window
	b, h := start(t, set, twoEndpoints())
	serveRequests(b, h, 200, 20*time.Millisecond)
	b.Request(h.now, Request{ID: 1, Tenant: -1, Timeout: 10 * time.Second})
	return b, h, waitForHedge(t, b, h)
}

// waitForHedge waits until the only attempt of the last request is hedged, and returns how long that took.
func waitForHedge(t *testing.T, b *Balancer, h *host) time.Duration {
	t.Helper()
	sentAt, token, first := h.now, h.timers[len(h.timers)-1], len(h.sent)-1
	for range 10 { // losses before, so that the attempt is suspected soon
		b.known[h.sent[first].to].classes[0].Loss.Add(1, 1)
	}
	for h.now < sentAt+2*time.Second {
		h.now += 10 * time.Millisecond
		if b.Timer(h.now, token); len(h.sent) == first+2 {
			h.sent = h.sent[first:]
			return h.now - sentAt
		}
	}
	t.Fatal("the attempt is not hedged")
	return 0
}

// TestHedgeLimitsAttemptBeforeIt guards against a first attempt that reaches its server after the dedupe window of the
// hedged attempt, because the server pauses while it reads the request: the request would take effect twice.
func TestHedgeLimitsAttemptBeforeIt(t *testing.T) {
	const window = 3 * time.Second
	for _, tt := range []struct {
		name   string
		effect Effect
		scope  Scope
		want   time.Duration // 0: no limit
	}{
		{"all", Deduplicated, ScopeAll, window - arrivalMargin},
		{"zone", Deduplicated, ScopeZone, window - arrivalMargin},
		{"pod group", Deduplicated, ScopePodGroup, window - arrivalMargin},
		{"idempotent", Idempotent, ScopeAll, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, h, after := hedgeFirstAttempt(t, tt.effect, tt.scope, window)
			hedged := limitedAttempt{id: 1, attempt: 0, within: tt.want}
			switch {
			case tt.want == 0 && (len(h.limited) > 0 || h.sent[1].within > 0):
				t.Errorf("limits %+v, hedged attempt within %v, want none", h.limited, h.sent[1].within)
			case tt.want > 0 && (len(h.limited) != 1 || h.limited[0] != hedged):
				t.Errorf("limits %+v, want %+v", h.limited, hedged)
			case tt.want > 0 && h.sent[1].within != tt.want-after:
				t.Errorf("hedged attempt within %v, want %v", h.sent[1].within, tt.want-after)
			}
		})
	}
}

// TestSendLimitEndsWithUnexecutedHedge checks that the first attempt is no longer limited once the hedged one was
// certainly not executed, and stays limited if that one may have been.
func TestSendLimitEndsWithUnexecutedHedge(t *testing.T) {
	for _, outcome := range []Outcome{ConnectFailed, Saturated, NotSent, Reset, Errored} {
		b, h, _ := hedgeFirstAttempt(t, Deduplicated, ScopeAll, 3*time.Second)
		h.limited = nil
		b.Result(h.now, Result{ID: 1, Attempt: 1, Endpoint: h.sent[1].to, Outcome: outcome})
		want := outcome != Reset && outcome != Errored
		lifted := len(h.limited) == 1 && h.limited[0] == limitedAttempt{id: 1}
		if lifted != want || !want && len(h.limited) > 0 {
			t.Errorf("outcome %d of the hedged attempt: limits %+v, want the limit lifted: %v", outcome, h.limited, want)
		}
	}
}

// TestSendLimitKeepsWindowAtArrival checks that a request keeps the dedupe window that it arrived with when the window
// is changed by a reload before its attempt is hedged.
func TestSendLimitKeepsWindowAtArrival(t *testing.T) {
	set := settings()
	set.HedgingAllowed = true
	class := &set.Classes[0]
	class.Effect, class.DedupeWindow = Deduplicated, 3*time.Second
	atArrival := *class
	b, h := start(t, set, twoEndpoints())
	serveRequests(b, h, 200, 20*time.Millisecond)
	b.Request(h.now, Request{ID: 1, Tenant: -1, Timeout: 10 * time.Second, ClassAtArrival: &atArrival})
	set.Classes = append([]Class(nil), set.Classes...)
	set.Classes[0].DedupeWindow = time.Minute
	token := h.timers[len(h.timers)-1]
	if _, err := b.Configure(set); err != nil {
		t.Fatal(err)
	}
	h.timers = append(h.timers, token)
	waitForHedge(t, b, h)
	want := limitedAttempt{id: 1, attempt: 0, within: 3*time.Second - arrivalMargin}
	if len(h.limited) != 1 || h.limited[0] != want {
		t.Errorf("limits %+v, want %+v", h.limited, want)
	}
}
