package balance

import (
	"fmt"
	"math"
	"sort"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testrun"
)

// overloadLimit is the number of requests of mean work that a cold endpoint stands where the settings allow it
// n.
func overloadLimit(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// warmingFleet is a fleet of ten endpoints at their capacity, before some start cold.
type warmingFleet struct {
	name     string
	allCold  bool // all ten start anew at once; else one more comes, under a burst
	restarts bool // a tenth of the sidecars, or one, is restarted each second
	zones    int
	sidecars int
	capacity float64 // requests a second of a warm endpoint
	multiple float64
}

// TestOverloadLimitHoldsForAnyFleet plays fleets of one to 900 sidecars with uneven traffic. In no window of
// the fall rule may all sidecars together send a cold endpoint more than its budget, and without restarts
// it has to get a part of what it can do.
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
						continue // nearly all sidecars would have no request in the whole play
					}
					t.Run(fmt.Sprintf("%s/%d sidecars/%v times %v", f.name, f.sidecars, f.multiple, f.capacity), f.play)
				}
			}
		}
	}
}

func (c warmingFleet) play(t *testing.T) {
	const servers, burst, seconds = 10, 1.5, 4
	set := settings()
	set.SlowStartWindow, set.SlowStartCapacity, set.OverloadMultiple, set.OverloadWindow = 8*time.Second, 0.3, c.multiple, 2*time.Second
	set.Zones = []string{"x", "y", "z"}[:c.zones]
	list := fleet(servers + 1) // the first one comes later, into the subset that the first sidecar begins with
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
	begin := func(i int, list []Endpoint) {
		set.Zone = set.Zones[i%c.zones]
		f.restart(t, i, set, list)
	}
	sum := 0.0
	for i := range c.sidecars {
		sum += f.rng.ExpFloat64()
		f.hosts[i], f.cumulativeTraffic[i] = &host{}, sum
		begin(i, list[1:])
	}
	load, cold := c.capacity*servers, list[1:]
	f.run(8*time.Second, load)
	if !c.allCold {
		load, cold = load*burst, list[:1]
	}
	told := f.now
	for i := range cold {
		cold[i].Started = told
	}
	f.applyList(ListChanges, cold)
	for range seconds {
		f.run(time.Second, load)
		for i := 0; c.restarts && i < max(1, c.sidecars/10); i++ {
			begin(f.rng.IntN(c.sidecars), list)
		}
	}
	got, able := 0.0, 0.0
	for _, e := range cold {
		sends := f.sends[e.ID]
		sends = sends[sort.Search(len(sends), func(i int) bool { return sends[i] >= told }):]
		got += float64(len(sends))
		able += c.capacity * seconds * (set.SlowStartCapacity + (1-set.SlowStartCapacity)*seconds/2/set.SlowStartWindow.Seconds())
		for i, at := range sends {
			window := sort.Search(len(sends)-i, func(n int) bool { return sends[i+n] > at+set.OverloadWindow })
			warm := set.SlowStartCapacity + (1-set.SlowStartCapacity)*(at-told).Seconds()/set.SlowStartWindow.Seconds()
			if n := c.multiple * warm * c.capacity * set.OverloadWindow.Seconds(); float64(window) > overloadLimit(n) {
				t.Fatalf(
					"%d requests within %v from %v on, %.0f fell it",
					window,
					set.OverloadWindow,
					at-told,
					overloadLimit(n),
				)
			}
		}
	}
	if !c.restarts && got < able/4 {
		t.Errorf("the cold got %.0f requests, could do %.0f", got, able)
	}
}

// TestColdFleetOfUnknownCapacity has a sidecar begin on a fleet that is cold as a whole, of whose capacity
// it can know nothing, where the settings allow less than a cold endpoint's share: it sends a part of its
// requests, and goes on.
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
		t.Errorf("%.0f of %d requests are sent, want a share of about %.2f", sent, requests, share)
	}
}
