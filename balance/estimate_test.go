package balance

import (
	"testing"
	"time"
)

// TestOldEstimateDecaysTowardsGroup has an endpoint that is believed far too slow go untested for twice the
// memory. It is then taken to be like its group, a group like the fleet, and what is left to try is nothing
// where the fleet is heard to be as slow. Danger: each of 80 sidecars that took the untested for idle would
// send one request there, to each of 60 endpoints in turn: such tries alone keep a full fleet full. Where
// nothing at all has been heard, it must try.
func TestOldEstimateDecaysTowardsGroup(t *testing.T) {
	const quick, slow = 0.02, 2.0 // seconds for each request held; the bar is at 0.85
	for _, tt := range []struct {
		name         string
		group, fleet float64 // seconds for each request held
		heard        bool    // the fleet has been heard of
		tried        bool
	}{
		{"all slow and heard", slow, slow, true, false},
		{"its group slow, the fleet quick", slow, quick, true, true},
		{"it alone slow", quick, quick, true, true},
		{"all slow, nothing heard", slow, slow, false, true},
	} {
		list := []Endpoint{
			{ID: "a", Zone: "x", Kind: "big", Weight: 1},
			{ID: "b", Zone: "y", Kind: "small", Weight: 1},
		}
		b, h := start(t, settings(), list)
		serveRequests(b, h, 200, 20*time.Millisecond)
		e := b.known["a"]
		e.responseInFlight, e.homeGroup.responseInFlight, b.allEndpoints.responseInFlight = 20, 40, 100
		e.responseSeconds, e.homeGroup.responseSeconds, b.allEndpoints.responseSeconds = slow*e.responseInFlight, tt.group*e.homeGroup.responseInFlight, tt.fleet*b.allEndpoints.responseInFlight
		e.lastSample, e.homeGroup.lastSample = h.now, h.now
		if tt.fleet == slow && b.expectedTime(e, h.now) < rejectObjectiveShare*b.objective {
			t.Fatalf("%s: a slow endpoint is expected to take %v s", tt.name, b.expectedTime(e, h.now))
		}
		h.now += 2 * decayTimeConstant
		if b.allEndpoints.lastSample = h.now; !tt.heard {
			b.allEndpoints.lastSample -= 2 * decayTimeConstant
		}
		if tt.name == "it alone slow" {
			e.homeGroup.lastSample = h.now
		}
		if expect := b.expectedTime(e, h.now); (expect <= rejectObjectiveShare*b.objective) != tt.tried {
			t.Errorf("%s: %v s are expected, tried %v is wanted", tt.name, expect, tt.tried)
		}
	}
}

// TestColdEndpointIsNotSlow has a cold endpoint: it can do less at a time, and a request that finds it idle is
// answered as soon as by a warm one. Danger: taken for slow it is left idle while the warm ones are full.
func TestColdEndpointIsNotSlow(t *testing.T) {
	b, h := start(t, settings(), twoEndpoints())
	serveRequests(b, h, 200, 20*time.Millisecond)
	warm, cold := b.known["a"], b.known["b"]
	cold.observations, cold.capacityShare = warm.observations, 0.3
	if got, want := b.expectedTime(cold, h.now), b.expectedTime(warm, h.now); got != want {
		t.Errorf("idle and cold it is expected to take %v s, warm %v", got, want)
	}
	for _, e := range []*endpoint{warm, cold} {
		e.inFlight, e.waitingSinceSum = 2, 2*h.now
	}
	if got, want := b.expectedTime(cold, h.now), b.expectedTime(warm, h.now); got < 1.5*want {
		t.Errorf("with two in flight it is expected to take %v s, warm %v", got, want)
	}
}

// TestRestartResetsGroupEstimate has all endpoints of a kind fall silent, and then be told to have
// started anew: they are taken for what the others are. Danger: a zone that is back is left idle for what
// its former servers did not answer.
func TestRestartResetsGroupEstimate(t *testing.T) {
	list := append(
		identicalEndpoints(4),
		Endpoint{ID: "y", Zone: "y", Kind: "small", Weight: 1},
		Endpoint{ID: "z", Zone: "y", Kind: "small", Weight: 1},
	)
	b, h := start(t, settings(), list)
	serveRequests(b, h, 400, 20*time.Millisecond)
	before := b.allEndpoints.secondsPerRequest()
	for i, id := range []string{"y", "z", "y", "z", "y", "z"} {
		b.Request(h.now, Request{ID: RequestID(i + 1), Tenant: -1, Timeout: 3 * time.Second})
		a := attempt{endpoint: b.known[id], sent: h.now, inFlightAtSend: 2, expectedNow: 0.02}
		b.recordOutcome(&a, Result{Outcome: TimedOut, Took: 3 * time.Second}, h.now)
	}
	z := b.known["z"]
	if b.expectedTime(z, h.now) < rejectObjectiveShare*b.objective {
		t.Fatalf("silent, it is expected to take %v s", b.expectedTime(z, h.now))
	}
	h.now += time.Second
	for i := range list[4:] {
		list[4+i].Started = h.now
	}
	b.Endpoints(h.now, ListChanges, list[4:])
	if got := b.expectedTime(z, h.now); got > 0.1 {
		t.Errorf("started anew, it is expected to take %v s", got)
	}
	if after := b.allEndpoints.secondsPerRequest(); after > 1.1*before || after < 0.9*before {
		t.Errorf("the fleet's usual time is %v s, %v before", after, before)
	}
	for _, e := range b.listed {
		if e.homeGroup.responseInFlight < 0 || e.homeGroup.responseSeconds < 0 {
			t.Errorf("a group's record is at %v s over %v", e.homeGroup.responseSeconds, e.homeGroup.responseInFlight)
		}
	}
}

// TestRequestsOfFormerProcessDoNotCount has requests be out at an endpoint that is told to have restarted: they count
// no more, neither while they are out nor when they end. Danger: a zone that is back is taken for slow as
// long as its former processes owe.
func TestRequestsOfFormerProcessDoNotCount(t *testing.T) {
	b, h := start(t, settings(), identicalEndpoints(3))
	serveRequests(b, h, 300, 20*time.Millisecond)
	e := b.known["a"]
	var out []sentAttempt
	for i := range RequestID(30) {
		sendRequest(b, h, i+1)
	}
	out, h.sent = h.sent, nil
	if e.inFlight < 5 {
		t.Fatalf("%d requests are out at it", e.inFlight)
	}
	h.now += 2 * time.Second
	list := identicalEndpoints(3)[:1]
	list[0].Started = h.now - time.Second
	b.Endpoints(h.now, ListChanges, list)
	check := func(when string) {
		if got := b.expectedTime(e, h.now); got > 0.5 || e.inFlight != 0 || e.waitingSinceSum != 0 ||
			e.ejectedUntil > h.now {
			t.Errorf("%s: %.3f s are expected; %d in flight, ejected until %v", when, got, e.inFlight, e.ejectedUntil)
		}
	}
	check("told")
	h.now += time.Second
	for _, s := range out {
		if s.to == "a" {
			b.Result(h.now, Result{ID: s.id, Endpoint: s.to, Outcome: TimedOut, Took: 3 * time.Second})
		}
	}
	check("timed out")
}
