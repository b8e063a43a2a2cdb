package balance

import (
	"fmt"
	"math"
	"sort"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// overloadLimit returns the number of requests of mean work above which a cold endpoint is overloaded, where
// the settings allow it n.
func overloadLimit(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// warmingFleet is a fleet of ten endpoints at their capacity, before some of them start cold.
type warmingFleet struct {
	name     string
	allCold  bool // all ten restart at the same time; otherwise an eleventh is added during a burst
	restarts bool // a tenth of the sidecars, at least one, is restarted each second
	zones    int
	sidecars int
	capacity float64 // requests per second of a warmed-up endpoint
	multiple float64
}

// TestOverloadLimitHoldsForAnyFleet runs fleets of one to 900 sidecars with uneven traffic. In no overload
// window may all sidecars together send a cold endpoint more than its limit. Without restarts of sidecars the
// endpoint must get at least a quarter of the requests that it can process.
func TestOverloadLimitHoldsForAnyFleet(t *testing.T) {
	for _, f := range []warmingFleet{
		{name: "one cold", zones: 1},
		{name: "one cold in three zones", zones: 3},
		{name: "one cold and restarts", zones: 1, restarts: true},
		{name: "one cold in three zones and restarts", zones: 3, restarts: true},
		{name: "all cold", zones: 1, allCold: true},
		{name: "all cold in three zones", zones: 3, allCold: true},
	} {
		for _, f.sidecars = range []int{1, 2, 3, 5, 30, testrun.Draws(900)} {
			for _, f.multiple = range []float64{1.25, 2, 4} {
				for _, f.capacity = range []float64{40, 3} {
					if f.sidecars > 30 && f.capacity < 40 {
						continue // nearly all sidecars would get no request during the run
					}
					t.Run(fmt.Sprintf("%s/%d sidecars/%v times %v", f.name, f.sidecars, f.multiple, f.capacity), f.play)
				}
			}
		}
	}
}

// play runs the fleet and checks the requests to the cold endpoints.
func (c warmingFleet) play(t *testing.T) {
	const servers, burst, seconds = 10, 1.5, 4
	set := settings()
	set.SlowStartWindow, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 8*time.Second, 0.3, c.multiple, 2*time.Second
	set.Zones = []string{"x", "y", "z"}[:c.zones]
	list := fleet(servers + 1) // the first endpoint is added later, to the initial subset of the first sidecar
	for i := range list {
		list[i].Zone = set.Zones[i%c.zones]
	}
	f := newSidecarFleet(t, set, 0, nil)
	f.responseRate, f.busyUntil = c.capacity, map[string]Time{}
	f.balancers, f.hosts, f.cumulativeTraffic = make(
		[]*Balancer,
		c.sidecars,
	), make(
		[]*host,
		c.sidecars,
	), make(
		[]float64,
		c.sidecars,
	)
	startSidecar := func(i int, list []Endpoint) {
		set.Zone = set.Zones[i%c.zones]
		f.restart(t, i, set, list)
	}
	sum := 0.0
	for i := range c.sidecars {
		sum += f.rng.ExpFloat64()
		f.hosts[i], f.cumulativeTraffic[i] = &host{}, sum
		startSidecar(i, list[1:])
	}
	load, cold := c.capacity*servers, list[1:]
	f.run(8*time.Second, load)
	if !c.allCold {
		load, cold = load*burst, list[:1]
	}
	started := f.now
	for i := range cold {
		cold[i].Started = started
	}
	f.applyList(ListChanges, cold)
	for range seconds {
		f.run(time.Second, load)
		for i := 0; c.restarts && i < max(1, c.sidecars/10); i++ {
			startSidecar(f.rng.IntN(c.sidecars), list)
		}
	}
	got, capacity := 0.0, 0.0
	for _, e := range cold {
		sends := f.sends[e.ID]
		sends = sends[sort.Search(len(sends), func(i int) bool { return sends[i] >= started }):]
		got += float64(len(sends))
		capacity += c.capacity * seconds * (set.SlowStartCapacity + (1-set.SlowStartCapacity)*seconds/2/set.SlowStartWindow.Seconds())
		for i, at := range sends {
			window := sort.Search(len(sends)-i, func(n int) bool { return sends[i+n] > at+set.OverloadWindow })
			capacityShare := set.SlowStartCapacity + (1-set.SlowStartCapacity)*(at-started).Seconds()/set.SlowStartWindow.Seconds()
			if n := c.multiple * capacityShare * c.capacity * set.OverloadWindow.Seconds(); float64(window) > overloadLimit(n) {
				t.Fatalf(
					"%d requests within %v from %v on, the overload limit is %.0f",
					window,
					set.OverloadWindow,
					at-started,
					overloadLimit(n),
				)
			}
		}
	}
	if !c.restarts && got < capacity/4 {
		t.Errorf("the cold endpoints got %.0f requests, want a quarter of %.0f at least", got, capacity)
	}
}

// TestColdFleetOfUnknownCapacity starts a sidecar on a fleet that is entirely cold, so that its capacity is
// unknown, with settings that allow less than a cold endpoint's share. The sidecar must send a part of its
// requests and continue to do so.
func TestColdFleetOfUnknownCapacity(t *testing.T) {
	set, list := settings(), fleet(12)
	set.OverloadMultiple = 1.25
	for i := range list {
		list[i].Started = time.Minute
	}
	b, h := start(t, set, list)
	const requests = 300
	sent := 0.0
	for i := range RequestID(requests) {
		if to := sendRequest(b, h, i); to != "" {
			sent++
		}
		h.finishAttempts(b, h.now, Served)
		if h.now += 10 * time.Millisecond; i%10 == 0 {
			b.Timer(h.now, tokenTick)
		}
	}
	if share := unknownCapacityShare * set.OverloadMultiple; sent < requests*share*0.6 || sent > requests*share {
		t.Errorf("%.0f of %d requests were sent, want a share of about %.2f", sent, requests, share)
	}
}
