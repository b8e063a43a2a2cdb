package balance

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// identicalEndpoints is a group of like endpoints.
func identicalEndpoints(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{ID: string(rune('a' + i)), Zone: "x", Kind: "big", Weight: 1})
	}
	return list
}

// TestBurstOfFailuresCountsAsOne has all attempts at one endpoint fail together: its connections broke, which tells no
// more than one fault. Where what is sent after it fails as well, burst after burst, the endpoint is
// ejected, once.
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
			t.Fatal("a burst of faults counts as none")
		}
	}
	if bursts < 2 || bursts > 4 || len(h.logs) != 1 || !strings.HasPrefix(h.logs[0], "ejected a") {
		t.Errorf("log %q after %d bursts of faults", h.logs, bursts)
	}
}

// TestFailuresOfAllEndpointsEjectNone has one answer in fifteen fail at every endpoint, and then one endpoint fail
// always.
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
		t.Errorf("%d ejections of 8 endpoints that are all alike", n)
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
		t.Errorf("%d requests went to an endpoint that always fails", failed)
	}
}

// TestPanicPrefersEndpointsNotEjected has three of four endpoints ejected, too many to leave out: the fourth still
// goes first.
func TestPanicPrefersEndpointsNotEjected(t *testing.T) {
	b, h := start(t, settings(), identicalEndpoints(4))
	serveRequests(b, h, 200, 20*time.Millisecond)
	for _, id := range []string{"a", "b", "c"} {
		b.known[id].ejectedUntil = h.now + time.Hour
	}
	b.Timer(h.now, tokenTick)
	if !b.panicking {
		t.Fatal("three of four ejected are no panic")
	}
	for i := range RequestID(10) {
		h.now += 20 * time.Millisecond
		if to := sendRequest(b, h, i+1); to != "d" {
			t.Errorf("request %d went to %q though one is good and idle", i, to)
		}
		b.Result(h.now, Result{ID: i + 1, Endpoint: "d", Took: 20 * time.Millisecond, Finished: true})
	}
	used := map[string]bool{}
	for i := range RequestID(60) {
		used[sendRequest(b, h, i+100)] = true
	}
	if len(used) < 4 {
		t.Errorf("only %v are used in a crowd, though ejection is suspended", used)
	}
}

// TestResetsEjectHalfOfTheEndpoints has half of the endpoints reset half of their requests: each is ejected, though
// the others do the same.
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
		t.Errorf("%d of 4 endpoints that reset half of all were ejected", len(ejected))
	}
}
