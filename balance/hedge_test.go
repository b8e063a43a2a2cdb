package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// cores is when each of an endpoint's two cores is free: requests are served in order of arrival.
type cores [2]Time

// serve returns after how long a request is answered.
func (c *cores) serve(now Time, work time.Duration) time.Duration {
	next := &c[0]
	if c[1] < c[0] {
		next = &c[1]
	}
	*next = max(*next, now) + work
	return *next - now
}

// TestHedgedRequests counts hedged requests by whether the attempt before was lost or would have been answered.
// While a sixth of the endpoints is four times slower nothing is lost, so each of them is needless. Where
// requests are lost, nearly all are hedged, at most 5% later than was measured before an endpoint's
// slowdown was taken into account.
func TestHedgedRequests(t *testing.T) {
	const length, step = 10 * time.Second, 2 * time.Millisecond
	bad := func(to string) bool { return to < "c" } // two of twelve
	for _, tt := range []struct {
		name     string
		slower   float64                            // factor of the bad ones
		lost     func(to string, draw float64) bool // of attempts
		needless float64                            // share of requests at most
		after    time.Duration                      // mean time until a lost attempt is hedged, at most
	}{
		{"a sixth is slow", 4, func(string, float64) bool { return false }, 0.001, 0},
		{"a sixth loses a quarter", 1, func(to string, draw float64) bool { return bad(to) && draw < 0.25 }, 0.002,
			168 * time.Millisecond},
		{"all lose a fiftieth", 1, func(_ string, draw float64) bool { return draw < 0.02 }, 0.002,
			197 * time.Millisecond},
		{"a sixth loses all", 1, func(to string, _ float64) bool { return bad(to) }, 0.002, 238 * time.Millisecond},
	} {
		var requests, lost, hedged, needless int
		var waited time.Duration
		for seed := range uint64(4) {
			set := settings()
			set.CancelAllowed, set.HedgingAllowed, set.Seed = true, true, seed
			set.Classes[0].LatencyObjective, set.Classes[0].Deadline = 130*time.Millisecond, clientTimeout
			f := &lossyHost{t: t, now: time.Minute, rng: rand.New(rand.NewPCG(seed, 4)), class: map[RequestID]int{},
				inFlight: map[RequestID]int{}, ended: map[RequestID]bool{}, to: map[RequestID][]string{},
				done: map[RequestID][]bool{}, sends: map[string]int{}}
			var err error
			if f.b, err = New(set, f); err != nil {
				t.Fatal(err)
			}
			f.b.Endpoints(f.now, ListCached, identicalEndpoints(12))
			type sent struct {
				at   Time
				lost bool
			}
			fault, endpoints, firsts := false, map[string]*cores{}, map[RequestID]sent{}
			f.answer = func(f *lossyHost, to string, _ int) (time.Duration, bool) {
				if endpoints[to] == nil {
					endpoints[to] = &cores{}
				}
				work := 30 * math.Exp(f.rng.NormFloat64()*0.5) * float64(time.Millisecond)
				if fault && bad(to) {
					work *= tt.slower
				}
				took, gone := endpoints[to].serve(f.now, time.Duration(work)), fault && tt.lost(to, f.rng.Float64())
				switch first, again := firsts[f.sending]; {
				case !fault || again && f.inFlight[f.sending] < 2: // a retry
				case !again:
					if firsts[f.sending] = (sent{f.now, gone}); gone {
						lost++
					}
				case first.lost:
					hedged++
					waited += f.now - first.at
				default:
					needless++
				}
				return took, gone
			}
			f.run(length, step)
			f.advanceTo(f.now + clientTimeout)
			fault = true
			requests += f.run(length, step)
			f.advanceTo(f.now + clientTimeout)
		}
		if most := tt.needless * float64(requests); float64(needless) > most {
			t.Errorf(
				"%s: %d of %d requests were hedged needlessly, want %.0f at most",
				tt.name,
				needless,
				requests,
				most,
			)
		}
		if hedged < lost*9/10 {
			t.Errorf("%s: %d of %d lost attempts were hedged", tt.name, hedged, lost)
		}
		if after := waited / time.Duration(max(hedged, 1)); after > tt.after*105/100 {
			t.Errorf("%s: hedged after %v, want %v at most", tt.name, after, tt.after*105/100)
		}
	}
}

// TestSlowdownDelaysHedging has an attempt be out for a while at an endpoint that has lost some before
// and answers others. Where it answers those as late, the attempt is not hedged yet and counts as in
// flight, or the endpoint would look idle.
func TestSlowdownDelaysHedging(t *testing.T) {
	const usual = 20 * time.Millisecond
	for _, tt := range []struct {
		name   string
		others float64 // what the endpoint's answers take, in multiples of the usual time
		late   bool    // the attempt is taken to be late, not lost
	}{
		{"others are answered in time", 1, false},
		{"others are answered as late", 4, true},
	} {
		set := settings()
		set.HedgingAllowed = true
		b, h := start(t, set, twoEndpoints())
		serveRequests(b, h, 400, usual)
		h.timers = nil
		e := b.known[sendRequest(b, h, 1)]
		look := h.timers[0]
		for range 10 {
			e.slowdown.Add(tt.others)
			e.classes[0].Loss.Add(1, 1)
		}
		h.now += usual * 5 / 4
		e.lastResponse = h.now
		if b.Timer(h.now, look); (len(h.sent) == 1) != tt.late || (e.inFlight == 1) != tt.late {
			t.Errorf("%s: %d attempts, %d in flight", tt.name, len(h.sent), e.inFlight)
		}
		h.now += 10 * usual
		if b.Timer(h.now, look); len(h.sent) != 2 || e.inFlight != 0 {
			t.Errorf("%s, later: %d attempts, %d in flight", tt.name, len(h.sent), e.inFlight)
		}
		for range 10 * int(decayTimeConstant/tickInterval) {
			b.Timer(h.now, tokenTick)
		}
		if factor := e.slowdown.Factor(); factor > 1.01 {
			t.Errorf("%s: a slowdown of %.2f is still held against it ten memories later", tt.name, factor)
		}
	}
}
