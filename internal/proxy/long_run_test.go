//go:build go1.25

package proxy

import (
	"sync/atomic"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestSilentServerIsAvoidedAfterTenQuietMinutes has one of two servers fall silent after ten minutes without trouble,
// in which discovery is down as well: requests that may be repeated are served by the other one in time.
func TestSilentServerIsAvoidedAfterTenQuietMinutes(t *testing.T) {
	runSimulation(t, testserver.Settings, func(sim *simulation) {
		sim.respond = respondAlways(okResponse)
		var silent atomic.Bool
		sim.drop = func(server string, _ time.Duration) bool { return silent.Load() && server == "127.0.0.1:1" }
		for range 600 {
			if a := <-sim.send("read", 3*time.Second, nil); a.kind != served {
				sim.t.Errorf("response %+v on a quiet day", a)
			}
			<-sim.arrivals
			time.Sleep(time.Second)
		}
		silent.Store(true)
		for n := range 30 {
			began := time.Now()
			if a := <-sim.send("read", 3*time.Second, nil); a.kind != served {
				sim.t.Errorf("response %+v to request %d behind the fault, after %v", a, n, time.Since(began))
			}
			time.Sleep(time.Second)
		}
	})
}

// TestRequestsOnLostIdleConnectionsEndInTime has servers drop, without a reset, what comes on connections that were
// idle for 2 s. Each request has its response in its time, and one that is unsafe to repeat is sent once.
func TestRequestsOnLostIdleConnectionsEndInTime(t *testing.T) {
	const requests, wait = 20, 10 * time.Second
	for _, class := range []string{"read", "book", "pay"} {
		runSimulation(t, testserver.Settings, func(sim *simulation) {
			sim.respond = respondAlways(okResponse)
			var forgotten atomic.Int64
			sim.drop = func(_ string, idle time.Duration) bool {
				if idle >= 2*time.Second {
					forgotten.Add(1)
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
					sim.t.Errorf("%d attempts of a request that is unsafe to repeat", len(sim.arrivals))
				}
				for len(sim.arrivals) > 0 {
					<-sim.arrivals
				}
				time.Sleep(3 * time.Second)
			}
			if forgotten.Load() == 0 {
				sim.t.Errorf("%s: no request came on a forgotten connection", class)
			}
		})
	}
}

// TestVeryShortDeadlinesAreKept has servers drop all requests of 5 to 20 ms silently: each has one response soon
// after its time, no attempt begins behind it, and requests with more time are served right after.
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
				sim.t.Errorf("%s of %v: response %+v after %v", class, wait, a, took)
			}
			for time.Sleep(50 * time.Millisecond); len(sim.arrivals) > 0; {
				if late := (<-sim.arrivals).at.Sub(began); late > wait {
					sim.t.Errorf("%s of %v: an attempt began after %v", class, wait, late)
				}
			}
		}
		drops.Store(false)
		for n := range 10 {
			if a := <-sim.send("read", time.Second, nil); a.kind != served {
				sim.t.Errorf("response %+v to request %d behind the short ones", a, n)
			}
		}
	})
}
