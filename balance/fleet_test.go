package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// sidecarFleet is a number of sidecars that share nothing but the list of endpoints, which all receive at the
// same time.
type sidecarFleet struct {
	balancers         []*Balancer
	hosts             []*host
	now               Time
	rng               *rand.Rand
	next              RequestID
	pending           []pendingResponse // in order of time
	sends             map[string][]Time
	rejectShare       map[string]float64 // share of the attempts that an endpoint rejects at once
	responseRate      float64            // responses per second of an endpoint, which rejects more; 0: no limit
	busyUntil         map[string]Time    // when an endpoint has processed the attempts it has accepted
	cumulativeTraffic []float64          // cumulative sum of the traffic by sidecar; nil: equal traffic
}

// pendingResponse is an attempt of one sidecar and the time of its response.
type pendingResponse struct {
	at Time
	by int
	s  sentAttempt
}

// fleetResponseTime is the response time of all endpoints.
const fleetResponseTime = 20 * time.Millisecond

func newSidecarFleet(t tester, set Settings, sidecars int, list []Endpoint) *sidecarFleet {
	f := &sidecarFleet{now: time.Hour, rng: rand.New(rand.NewPCG(5, uint64(sidecars))), sends: map[string][]Time{}}
	for i := range sidecars {
		set.Ordinal, set.Peers, set.Seed = i, sidecars, uint64(i)
		h := &host{now: f.now}
		b, err := New(set, h)
		if err != nil {
			t.Fatal(err)
		}
		f.balancers, f.hosts = append(f.balancers, b), append(f.hosts, h)
	}
	f.applyList(ListCached, list)
	return f
}

func (f *sidecarFleet) applyList(kind ListKind, list []Endpoint) {
	for i := range f.balancers {
		f.balancers[i].Endpoints(f.now, kind, list)
		f.collectSent(i)
	}
}

// collectSent records the attempts that a sidecar has sent since the last call.
func (f *sidecarFleet) collectSent(i int) {
	h := f.hosts[i]
	for _, s := range h.sent {
		f.sends[s.to] = append(f.sends[s.to], f.now)
		f.pending = append(f.pending, pendingResponse{f.now + fleetResponseTime, i, s})
	}
	h.sent = h.sent[:0]
}

// restart replaces a sidecar by one without history, as after a kill of its process; it has the list only.
func (f *sidecarFleet) restart(t tester, i int, set Settings, list []Endpoint) {
	set.Ordinal, set.Peers, set.Seed = i, len(f.balancers), f.rng.Uint64()
	b, err := New(set, f.hosts[i])
	if err != nil {
		t.Fatal(err)
	}
	f.balancers[i] = b
	f.pending = slices.DeleteFunc(f.pending, func(d pendingResponse) bool { return d.by == i })
	b.Endpoints(f.now, ListCached, list)
	f.collectSent(i)
}

// drawSidecar selects the sidecar that gets the next request, in proportion to the traffic.
func (f *sidecarFleet) drawSidecar() int {
	if f.cumulativeTraffic == nil {
		return f.rng.IntN(len(f.balancers))
	}
	x := f.rng.Float64() * f.cumulativeTraffic[len(f.cumulativeTraffic)-1]
	return min(sort.SearchFloat64s(f.cumulativeTraffic, x), len(f.balancers)-1)
}

// accepts reports whether an endpoint accepts one more attempt now. It may have a backlog of a quarter of a
// second.
func (f *sidecarFleet) accepts(id string) bool {
	if f.responseRate == 0 {
		return true
	}
	if f.busyUntil[id] > f.now+time.Second/4 {
		return false
	}
	f.busyUntil[id] = max(f.busyUntil[id], f.now) + Time(float64(time.Second)/f.responseRate)
	return true
}

// run sends requests to random sidecars at random times, rate per second in total.
func (f *sidecarFleet) run(length time.Duration, rate float64) {
	end, tick := f.now+length, f.now
	for f.now < end {
		f.now += time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
		for ; tick <= f.now; tick += tickInterval {
			for i := range f.balancers {
				f.balancers[i].Timer(tick, tokenTick)
			}
		}
		for len(f.pending) > 0 && f.pending[0].at <= f.now {
			d := f.pending[0]
			f.pending = f.pending[1:]
			result := Result{ID: d.s.id, Attempt: d.s.attempt, Endpoint: d.s.to, Took: fleetResponseTime, Finished: true}
			if f.rng.Float64() < f.rejectShare[d.s.to] || !f.accepts(d.s.to) {
				result.Outcome, result.Finished = Saturated, false
			}
			f.balancers[d.by].Result(d.at, result)
			f.collectSent(d.by)
		}
		f.next++
		i := f.drawSidecar()
		f.balancers[i].Request(f.now, Request{ID: f.next, Tenant: -1, Timeout: 3 * time.Second})
		f.collectSent(i)
	}
}

// TestColdEndpointsGetTheirShare has part of a fleet start cold; all sidecars receive the change at the same
// time. In no overload window may the requests of all sidecars to a cold endpoint exceed the limit, and until
// the endpoint is warmed up it must get a good part of its share. If each of many sidecars counted only its
// own requests since the change, a new endpoint would be idle until it is warmed up and the others would
// carry the whole load.
func TestColdEndpointsGetTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sidecars := rapid.SampledFrom([]int{1, 2, 3, 10, 80, 300}).Draw(t, "sidecars")
		warm, cold := rapid.IntRange(4, 12).Draw(t, "warm"), rapid.IntRange(1, 6).Draw(t, "cold")
		checkShares(t, sidecars, warm, cold, rapid.Bool().Draw(t, "mixed"))
	})
}

// TestColdEndpointsGetTheirShareOf2000Sidecars checks the same at the upper end of the range of sidecars,
// with the cold endpoints after the warmed-up ones in the rotation and among them.
func TestColdEndpointsGetTheirShareOf2000Sidecars(t *testing.T) {
	for _, mixed := range []bool{false, true} {
		t.Run(fmt.Sprint("mixed ", mixed), func(t *testing.T) { checkShares(t, 2000, 10, 4, mixed) })
	}
}

// tester is the part of testing.T and rapid.T that the fleet tests use.
type tester interface {
	Fatal(...any)
	Errorf(string, ...any)
}

// checkShares runs a fleet with a number of warmed-up and cold endpoints and checks the requests to the cold
// ones. If mixed is set, the cold endpoints are among the others in the rotation.
func checkShares(t tester, sidecars, warm, cold int, mixed bool) {
	set := settings()
	set.SlowStartWindow, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 8*time.Second, 0.3, 4, 2*time.Second
	var list []Endpoint
	for i := range warm + cold {
		id := fmt.Sprintf("e%02d", i)
		if mixed && i >= warm {
			id = fmt.Sprintf("e%02dx", (i-warm)*warm/cold)
		}
		list = append(list, Endpoint{ID: id, Zone: "x", Kind: "big", Weight: 1})
	}
	f := newSidecarFleet(t, set, sidecars, list[:warm])
	const each = 40.0 // requests per second for each warmed-up endpoint
	rate := each * float64(warm)
	f.run(4*time.Second, rate)
	started := f.now
	for i := range list[warm:] {
		list[warm+i].Started = started
	}
	f.applyList(ListChanges, list[warm:])
	f.run(set.SlowStartWindow, rate)
	for _, e := range list[warm:] {
		sends := f.sends[e.ID]
		for i, at := range sends { // each window that begins with an attempt
			window, last := 0.0, at
			for _, to := range sends[i:] {
				if to > at+set.OverloadWindow {
					break
				}
				window, last = window+1, to
			}
			capacity := set.SlowStartCapacity + (1-set.SlowStartCapacity)*(last-started).Seconds()/set.SlowStartWindow.Seconds()
			if most := set.OverloadMultiple * capacity * each * set.OverloadWindow.Seconds(); window > most {
				t.Errorf(
					"%d sidecars: %v requests to a cold endpoint within %v, limit %.0f",
					sidecars,
					window,
					set.OverloadWindow,
					most,
				)
				return
			}
		}
		// The share in proportion to capacity: a cold endpoint has 0.65 of its full capacity on average.
		fair := rate / (float64(warm) + 0.65*float64(cold)) * 0.65 * set.SlowStartWindow.Seconds()
		if got := float64(len(sends)); got < 0.6*fair || got > 1.5*fair {
			t.Errorf(
				"%d sidecars, %d endpoints warmed up: a cold endpoint of %d got %v requests, an even share is %.0f",
				sidecars,
				warm,
				cold,
				got,
				fair,
			)
		}
	}
}

// TestThirtySidecarsStayWithinOverloadLimit runs thirty sidecars with uneven traffic, some of which are
// restarted repeatedly, in a burst. One endpoint has started cold, and all others reject part of the
// requests. In any overload window the sum of all requests to the cold endpoint must not exceed its limit of
// N + 2*sqrt(N) + 2, for each configured overload multiple.
func TestThirtySidecarsStayWithinOverloadLimit(t *testing.T) {
	const sidecars, warm, each, burst, rejected = 30, 10, 40.0, 1.5, 0.3
	for _, multiple := range []float64{1.25, 2, 4} {
		set := settings()
		set.SlowStartWindow, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 8*time.Second, 0.3, multiple, 2*time.Second
		var list []Endpoint
		for i := range warm + 1 {
			list = append(list, Endpoint{ID: fmt.Sprintf("e%02d", i), Zone: "x", Kind: "big", Weight: 1})
		}
		f := newSidecarFleet(t, set, sidecars, list[:warm])
		sum := 0.0
		for range sidecars {
			sum += f.rng.ExpFloat64()
			f.cumulativeTraffic = append(f.cumulativeTraffic, sum)
		}
		f.run(4*time.Second, each*warm)
		cold, started := &list[warm], f.now
		cold.Started = started
		f.rejectShare = map[string]float64{}
		for _, e := range list[:warm] {
			f.rejectShare[e.ID] = rejected
		}
		f.applyList(ListChanges, list[warm:])
		for range 20 {
			f.run(200*time.Millisecond, each*warm*burst)
			for range 3 {
				f.restart(t, f.rng.IntN(sidecars), set, list)
			}
		}
		sends := f.sends[cold.ID]
		if len(sends) < 40 {
			t.Errorf("multiple %v: only %d requests to the cold endpoint", multiple, len(sends))
		}
		for i, at := range sends {
			behind := sends[i:]
			window := sort.Search(len(behind), func(n int) bool { return behind[n] > at+set.OverloadWindow })
			capacity := set.SlowStartCapacity + (1-set.SlowStartCapacity)*(at-started).Seconds()/set.SlowStartWindow.Seconds()
			n := multiple * capacity * each * set.OverloadWindow.Seconds()
			if most := n + 2*math.Sqrt(n) + 2; float64(window) > most {
				t.Errorf(
					"multiple %v: %d requests within %v from %v on, the overload limit is %.0f",
					multiple,
					window,
					set.OverloadWindow,
					at-started,
					most,
				)
				break
			}
		}
	}
}
