package balance

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// identicalEndpoints returns n endpoints that differ in their IDs only.
func identicalEndpoints(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{ID: string(rune('a' + i)), Zone: "x", Kind: "big", Weight: 1})
	}
	return list
}

// TestBurstOfFailuresCountsAsOne resets all attempts in flight at one endpoint together, as when its
// connections break. Such a burst counts as one failure. An endpoint whose later attempts fail as well, burst
// after burst, is ejected once.
func TestBurstOfFailuresCountsAsOne(t *testing.T) {
	b, h := start(t, settings(), identicalEndpoints(4))
	serveRequests(b, h, 200, 20*time.Millisecond)
	bursts := 0
	for ; len(h.logs) == 0 && bursts < 9; bursts++ {
		h.now += time.Second
		h.sent = nil
		for i := range RequestID(40) {
			sendRequest(b, h, RequestID(1000*(bursts+1))+i)
		}
		for _, s := range slices.Clone(h.sent) {
			outcome := Served
			if s.to == "a" {
				outcome = Reset
			}
			h.now += time.Millisecond
			b.Result(h.now, Result{ID: s.id, Endpoint: s.to, Outcome: outcome, Took: time.Millisecond, Finished: true})
		}
		if b.known["a"].failureAlarm == 0 {
			t.Fatal("a burst of failures is not counted")
		}
	}
	if bursts < 2 || bursts > 4 || len(h.logs) != 1 || !strings.HasPrefix(h.logs[0], "ejected a") {
		t.Errorf("log %q after %d bursts of failures", h.logs, bursts)
	}
}

// TestFailuresOfAllEndpointsEjectNone has one response in fifteen fail at every endpoint, which ejects hardly
// any, and then has one endpoint fail always, which ejects it.
func TestFailuresOfAllEndpointsEjectNone(t *testing.T) {
	set := settings()
	set.MaxAttempts = 1
	b, h := start(t, set, identicalEndpoints(8))
	serveRequests(b, h, 100, 20*time.Millisecond)
	seed := uint64(1)
	for i := range RequestID(3000) {
		h.now += 5 * time.Millisecond
		to := sendRequest(b, h, i+1)
		seed = seed*6364136223846793005 + 1442695040888963407
		outcome := Served
		if seed>>33%15 == 0 {
			outcome = Errored
		}
		b.Result(
			h.now,
			Result{ID: i + 1, Endpoint: to, Outcome: outcome, Took: 20 * time.Millisecond, Finished: true},
		)
		if i%20 == 0 {
			b.Timer(h.now, tokenTick)
		}
	}
	if n := len(h.logs); n > 3 {
		t.Errorf("%d ejections of 8 endpoints with the same failure share", n)
	}
	failed := 0
	for i := range RequestID(400) {
		h.now += 5 * time.Millisecond
		outcome, to := Served, sendRequest(b, h, i+5000)
		if to == "a" {
			outcome = Errored
			failed++
		}
		b.Result(
			h.now,
			Result{ID: i + 5000, Endpoint: to, Outcome: outcome, Took: 20 * time.Millisecond, Finished: true},
		)
	}
	if failed > 20 {
		t.Errorf("%d requests went to an endpoint that always fails, want 20 at most", failed)
	}
}

// TestPanicPrefersEndpointsNotEjected has three of four endpoints ejected, which exceeds the panic threshold:
// the fourth still takes precedence while it is below capacity.
func TestPanicPrefersEndpointsNotEjected(t *testing.T) {
	b, h := start(t, settings(), identicalEndpoints(4))
	serveRequests(b, h, 200, 20*time.Millisecond)
	for _, id := range []string{"a", "b", "c"} {
		b.known[id].ejectedUntil = h.now + time.Hour
	}
	b.Timer(h.now, tokenTick)
	if !b.panicking {
		t.Fatal("three of four endpoints ejected do not exceed the panic threshold")
	}
	for i := range RequestID(10) {
		h.now += 20 * time.Millisecond
		if to := sendRequest(b, h, i+1); to != "d" {
			t.Errorf("request %d went to %q although an idle endpoint is not ejected", i, to)
		}
		b.Result(h.now, Result{ID: i + 1, Endpoint: "d", Took: 20 * time.Millisecond, Finished: true})
	}
	used := map[string]bool{}
	for i := range RequestID(60) {
		used[sendRequest(b, h, i+100)] = true
	}
	if len(used) < 4 {
		t.Errorf("only %v are used under load although ejection is suspended", used)
	}
}

// TestResetsEjectHalfOfTheEndpoints has four of nine endpoints reset half of their requests: each of the four
// is ejected, although the others of the four do the same.
func TestResetsEjectHalfOfTheEndpoints(t *testing.T) {
	set := settings()
	set.MaxAttempts = 1
	b, h := start(t, set, identicalEndpoints(9))
	serveRequests(b, h, 200, 20*time.Millisecond)
	for i := range RequestID(300) {
		h.now += 5 * time.Millisecond
		outcome, to := Served, sendRequest(b, h, i+1)
		if to != "" && to < "e" && i%2 == 0 {
			outcome = Reset
		}
		b.Result(
			h.now,
			Result{ID: i + 1, Endpoint: to, Outcome: outcome, Took: 20 * time.Millisecond, Finished: true},
		)
	}
	ejected := map[string]bool{}
	for _, line := range h.logs {
		ejected[line] = true
	}
	if len(ejected) != 4 {
		t.Errorf("%d of 4 endpoints that reset half of their requests were ejected", len(ejected))
	}
}
