//go:build go1.25

package proxy

import (
	"sync/atomic"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestSilentServerIsAvoidedAfterTenQuietMinutes checks that idempotent requests are served in time by the other one of
// two servers after one stops responding. The fault begins after ten minutes without errors, during which discovery is
// down.
func TestSilentServerIsAvoidedAfterTenQuietMinutes(t *testing.T) {
	runSimulation(t, testserver.Settings, func(sim *simulation) {
		sim.respond = respondAlways(okResponse)
		var unresponsive atomic.Bool
		sim.drop = func(server string, _ time.Duration) bool { return unresponsive.Load() && server == "127.0.0.1:1" }
		for range 600 {
			if a := <-sim.send("read", 3*time.Second, nil); a.kind != served {
				sim.t.Errorf("response %+v before the fault, want one from a server", a)
			}
			<-sim.arrivals
			time.Sleep(time.Second)
		}
		unresponsive.Store(true)
		for n := range 30 {
			began := time.Now()
			if a := <-sim.send("read", 3*time.Second, nil); a.kind != served {
				sim.t.Errorf("response %+v to request %d during the fault, after %v", a, n, time.Since(began))
			}
			time.Sleep(time.Second)
		}
	})
}

// TestRequestsOnLostIdleConnectionsEndInTime uses servers that drop, without a reset, requests on connections that
// were idle for 2 s. Each request gets its response before its deadline, and a request that must not be repeated is
// sent at most once.
func TestRequestsOnLostIdleConnectionsEndInTime(t *testing.T) {
	const requests, wait = 20, 10 * time.Second
	for _, class := range []string{"read", "book", "pay"} {
		runSimulation(t, testserver.Settings, func(sim *simulation) {
			sim.respond = respondAlways(okResponse)
			var dropped atomic.Int64
			sim.drop = func(_ string, idle time.Duration) bool {
				if idle >= 2*time.Second {
					dropped.Add(1)
				}
				return idle >= 2*time.Second
			}
			for n := range requests {
				began := time.Now()
				a := <-sim.send(class, wait, nil)
				if took := time.Since(began); took > wait {
					sim.t.Errorf("%s: response %+v to request %d after %v", class, a, n, took)
				}
				if class == "pay" && len(sim.arrivals) > 1 {
					sim.t.Errorf("%d attempts at a request that must not be repeated", len(sim.arrivals))
				}
				for len(sim.arrivals) > 0 {
					<-sim.arrivals
				}
				time.Sleep(3 * time.Second)
			}
			if dropped.Load() == 0 {
				sim.t.Errorf("%s: no request was dropped on an idle connection", class)
			}
		})
	}
}

// TestVeryShortDeadlinesAreKept checks requests with timeouts of 5 to 20 ms while servers silently drop all requests.
// Each one gets a response soon after its deadline, and no attempt begins after the deadline. Requests with a longer
// timeout are served immediately afterwards.
func TestVeryShortDeadlinesAreKept(t *testing.T) {
	runSimulation(t, testserver.Settings, func(sim *simulation) {
		sim.respond = respondAlways(okResponse)
		var drops atomic.Bool
		drops.Store(true)
		sim.drop = func(string, time.Duration) bool { return drops.Load() }
		for n := range 300 {
			wait := time.Duration(5+n%16) * time.Millisecond
			class := []string{"read", "book", "pay"}[n%3]
			began := time.Now()
			a := <-sim.send(class, wait, nil)
			if took := time.Since(began); took > wait+100*time.Millisecond || a.kind == served {
				sim.t.Errorf("%s with timeout %v: response %+v after %v", class, wait, a, took)
			}
			for time.Sleep(50 * time.Millisecond); len(sim.arrivals) > 0; {
				if late := (<-sim.arrivals).at.Sub(began); late > wait {
					sim.t.Errorf("%s with timeout %v: an attempt began after %v", class, wait, late)
				}
			}
		}
		drops.Store(false)
		for n := range 10 {
			if a := <-sim.send("read", time.Second, nil); a.kind != served {
				sim.t.Errorf("response %+v to request %d after those with short timeouts", a, n)
			}
		}
	})
}
