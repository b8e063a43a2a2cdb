package balance

import (
	"testing"
	"time"
)

// TestCongestionIsShedAtOnce has a fleet of 40 endpoints answer six times as late from one moment on. Danger: a
// sidecar that goes by what answers have taught over seconds goes on as before, and so do all others.
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
	var out []due
	run := func(length, took time.Duration) (asked, refused int) {
		before := len(h.rejected)
		for end := h.now + length; h.now < end; h.now += 20 * time.Millisecond {
			if h.now%(100*time.Millisecond) == 0 {
				b.Timer(h.now, tokenTick)
			}
			for len(out) > 0 && out[0].at <= h.now {
				d := out[0]
				out = out[1:]
				b.Result(h.now, Result{ID: d.id, Endpoint: d.to, Took: d.took, Finished: true})
			}
			h.sent = nil
			sendRequest(b, h, RequestID(h.now))
			for _, s := range h.sent {
				out = append(out, due{h.now + took, s.id, s.to, took})
			}
			asked++
		}
		return asked, len(h.rejected) - before
	}
	run(20*time.Second, 100*time.Millisecond) // until answers tell
	if _, refused := run(5*time.Second, 100*time.Millisecond); refused > 0 {
		t.Fatalf("%d requests were refused on a calm day", refused)
	}
	asked, refused := run(1200*time.Millisecond, 600*time.Millisecond)
	if refused*5 < asked {
		t.Errorf("%d of %d requests were refused in the first 1.2 s of a jam, a fifth is wanted", refused, asked)
	}
}

// manyIdenticalEndpoints is a list of many endpoints that are alike.
func manyIdenticalEndpoints(n int) (list []Endpoint) {
	for i := range n {
		list = append(
			list,
			Endpoint{ID: string(rune('a'+i/26)) + string(rune('a'+i%26)), Zone: "x", Kind: "big", Weight: 1},
		)
	}
	return list
}

// TestSilentGroupDoesNotRaiseLoadLevel has all endpoints of a kind fall silent while the others answer as ever: neither what
// is out at those nor its time-outs say how long the others take. Danger: as a zone is lost, requests that
// the rest could serve are refused.
func TestSilentGroupDoesNotRaiseLoadLevel(t *testing.T) {
	for _, tt := range []struct {
		name   string
		silent bool // else the kind answers, but much later
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
		z.inFlight, z.waitingSinceSum = 10, 10*(h.now-Time(time.Second)) // ten have been out for a second
		a := attempt{endpoint: z, sent: h.now - 3*time.Second, inFlightAtSend: 2, expectedNow: 0.02}
		b.recordOutcome(&a, Result{Outcome: TimedOut, Took: 3 * time.Second}, h.now)
		if tick(); b.loadLevel.Level() < tt.low || b.loadLevel.Level() > tt.high {
			t.Errorf("%s: level %.2f, want %v to %v", tt.name, b.loadLevel.Level(), tt.low, tt.high)
		}
	}
}
