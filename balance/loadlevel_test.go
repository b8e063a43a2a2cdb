package balance

import (
	"testing"
	"time"
)

// TestCongestionIsShedAtOnce has a fleet of 40 endpoints respond six times as late from one moment on. A
// sidecar that relied on response times observed over seconds would continue as before, as would all others,
// and congest the fleet.
func TestCongestionIsShedAtOnce(t *testing.T) {
	set := settings()
	set.Classes[0].LatencyObjective = 300 * time.Millisecond
	b, h := start(t, set, manyIdenticalEndpoints(40))
	type due struct {
		at   Time
		id   RequestID
		to   string
		took time.Duration
	}
	var inFlight []due
	run := func(length, took time.Duration) (requests, rejected int) {
		before := len(h.rejected)
		for end := h.now + length; h.now < end; h.now += 20 * time.Millisecond {
			if h.now%(100*time.Millisecond) == 0 {
				b.Timer(h.now, tokenTick)
			}
			for len(inFlight) > 0 && inFlight[0].at <= h.now {
				d := inFlight[0]
				inFlight = inFlight[1:]
				b.Result(h.now, Result{ID: d.id, Endpoint: d.to, Took: d.took, Finished: true})
			}
			h.sent = nil
			sendRequest(b, h, RequestID(h.now))
			for _, s := range h.sent {
				inFlight = append(inFlight, due{h.now + took, s.id, s.to, took})
			}
			requests++
		}
		return requests, len(h.rejected) - before
	}
	run(20*time.Second, 100*time.Millisecond) // until the response times are known
	if _, rejected := run(5*time.Second, 100*time.Millisecond); rejected > 0 {
		t.Fatalf("%d requests were rejected under normal load", rejected)
	}
	requests, rejected := run(1200*time.Millisecond, 600*time.Millisecond)
	if rejected*5 < requests {
		t.Errorf("%d of %d requests were rejected in the first 1.2 s of the congestion, want a fifth at least", rejected, requests)
	}
}

// manyIdenticalEndpoints returns n endpoints that differ in their IDs only, for more than 26 of them.
func manyIdenticalEndpoints(n int) (list []Endpoint) {
	for i := range n {
		list = append(
			list,
			Endpoint{ID: string(rune('a'+i/26)) + string(rune('a'+i%26)), Zone: "x", Kind: "big", Weight: 1},
		)
	}
	return list
}

// TestSilentGroupDoesNotRaiseLoadLevel has all endpoints of a kind stop responding while the others respond
// as before. Neither the requests in flight at the silent kind nor their time-outs may raise the load level,
// or the loss of a zone would reject requests that the rest could serve.
func TestSilentGroupDoesNotRaiseLoadLevel(t *testing.T) {
	for _, tt := range []struct {
		name   string
		silent bool // otherwise the kind responds, but much later
		low    float64
		high   float64
	}{{"silent", true, 1, 1.2}, {"late", false, 2, 99}} {
		list := append(identicalEndpoints(4), Endpoint{ID: "z", Zone: "y", Kind: "small", Weight: 1})
		b, h := start(t, settings(), list)
		serveRequests(b, h, 400, 20*time.Millisecond)
		z := b.known["z"]
		tick := func() {
			h.now += tickInterval
			for range 3 {
				a := attempt{endpoint: b.known["a"], sent: h.now, inFlightAtSend: 2, expectedNow: 0.02}
				b.recordOutcome(&a, Result{Outcome: Served, Took: 20 * time.Millisecond}, h.now)
			}
			b.Timer(h.now, tokenTick)
		}
		z.homeGroup.lastResponse = h.now
		for range 15 {
			if tick(); !tt.silent {
				z.homeGroup.lastResponse = h.now
			}
		}
		z.inFlight, z.waitingSinceSum = 10, 10*(h.now-Time(time.Second)) // ten have been in flight for a second
		a := attempt{endpoint: z, sent: h.now - 3*time.Second, inFlightAtSend: 2, expectedNow: 0.02}
		b.recordOutcome(&a, Result{Outcome: TimedOut, Took: 3 * time.Second}, h.now)
		if tick(); b.loadLevel.Level() < tt.low || b.loadLevel.Level() > tt.high {
			t.Errorf("%s: load level %.2f, want %v to %v", tt.name, b.loadLevel.Level(), tt.low, tt.high)
		}
	}
}
