//go:build go1.25

package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// runWithAgent calls run in a synctest bubble, with a discovery agent, an event loop that watches it, and a channel of
// the times at which the loop receives a list.
func runWithAgent(t *testing.T, run func(t *testing.T, a *testserver.Agent, loop *EventLoop, updates chan time.Time)) {
	synctest.Test(t, func(t *testing.T) {
		a := &testserver.Agent{}
		c := loadConfig(t, testserver.ServingList(1, &testserver.Backend{Address: silentAddress}), testserver.Settings)
		ctx, cancel := context.WithCancel(context.Background())
		loop := newEventLoop(ctx, t, c, a.Dial)
		updates := make(chan time.Time, 1000)
		loop.onList = func([]discovery.Endpoint) { updates <- time.Now() }
		var running sync.WaitGroup
		running.Go(func() { loop.Run(ctx) })
		run(t, a, loop, updates)
		cancel()
		running.Wait()
	})
}

// TestListArrivesInTimeAfterSilenceOrOutage checks how soon the next list arrives after a fault of discovery: at most
// discovery.MaxUpdateDelay, which is below 6 s, after a watch has become silent, or shortly after the end of an outage.
// The watch becomes silent in different phases of its heartbeat, with zero or one unanswered call after it; outages
// last up to 30 s.
func TestListArrivesInTimeAfterSilenceOrOutage(t *testing.T) {
	if discovery.MaxUpdateDelay >= discovery.MaxStaleness {
		t.Errorf("MaxUpdateDelay is %v, want less than MaxStaleness of %v", discovery.MaxUpdateDelay, discovery.MaxStaleness)
	}
	for unanswered := range 2 {
		for phase := time.Millisecond; phase < 2*time.Second; phase += 130 * time.Millisecond {
			runWithAgent(t, func(t *testing.T, a *testserver.Agent, _ *EventLoop, updates chan time.Time) {
				<-updates // the first list
				time.Sleep(20*time.Second + phase)
				a.Silence(false, unanswered)
				silentSince := time.Now()
				if took := (<-updates).Sub(silentSince); took > discovery.MaxUpdateDelay {
					t.Errorf("silent %v into a heartbeat, %d unanswered calls: list arrived after %v", phase, unanswered, took)
				}
			})
		}
	}
	// A call may begin immediately before the end of the outage and fail. The backoff follows it.
	const maxDelay = discovery.FirstListTimeout + balance.MaxDiscoveryBackoff
	for outage := 100 * time.Millisecond; outage < 30*time.Second; outage += 370 * time.Millisecond {
		runWithAgent(t, func(t *testing.T, a *testserver.Agent, _ *EventLoop, updates chan time.Time) {
			<-updates
			time.Sleep(10*time.Second + time.Millisecond)
			a.Silence(true, 0)
			downSince := time.Now()
			time.Sleep(outage)
			a.SetDown(false)
			upSince := time.Now()
			if at := <-updates; at.Sub(upSince) > maxDelay && at.Sub(downSince) > discovery.MaxUpdateDelay {
				t.Errorf("list arrived %v after an outage of %v", at.Sub(upSince), outage)
			}
		})
	}
}

// TestHeldCallsAreAnsweredWhenDiscoveryReturns uses an agent that holds the calls made during an outage and responds to
// them as soon as it is up again. A call is open nearly all the time, so the list arrives within one backoff.
func TestHeldCallsAreAnsweredWhenDiscoveryReturns(t *testing.T) {
	for outage := 3500 * time.Millisecond; outage < 20*time.Second; outage += 110 * time.Millisecond {
		runWithAgent(t, func(t *testing.T, a *testserver.Agent, _ *EventLoop, updates chan time.Time) {
			<-updates
			time.Sleep(10*time.Second + time.Millisecond)
			a.HoldCalls()
			a.Silence(true, 0)
			time.Sleep(outage)
			a.SetDown(false)
			upSince := time.Now()
			if took := (<-updates).Sub(upSince); took > balance.PushedDiscoveryBackoff+20*time.Millisecond {
				t.Errorf("list arrived %v after an outage of %v", took, outage)
			}
		})
	}
}

// TestListArrivesInTimeAfterAddressSwitch checks that a list arrives less than 4 s after the address of discovery has
// changed, even if the first calls to the new address get no response.
func TestListArrivesInTimeAfterAddressSwitch(t *testing.T) {
	for unanswered := range 3 {
		runWithAgent(t, func(t *testing.T, a *testserver.Agent, loop *EventLoop, updates chan time.Time) {
			<-updates
			time.Sleep(10 * time.Second)
			a.Silence(false, unanswered) // the watch of the former address becomes silent
			switchedAt := time.Now()
			loop.Post(func() { loop.subscriptions.SwitchAddress("127.0.0.1:8") })
			if took := (<-updates).Sub(switchedAt); took >= 4*time.Second {
				t.Errorf("list arrived %v after the switch, %d unanswered calls", took, unanswered)
			}
		})
	}
}

// TestListArrivesInTimeAfterLongOutage checks that a list arrives in time after discovery was down for two minutes. The
// outages end in different phases of the sidecar's calls.
func TestListArrivesInTimeAfterLongOutage(t *testing.T) {
	for phase := time.Duration(0); phase < 3*time.Second; phase += 170 * time.Millisecond {
		runWithAgent(t, func(t *testing.T, a *testserver.Agent, _ *EventLoop, updates chan time.Time) {
			<-updates
			time.Sleep(10 * time.Second)
			a.Silence(true, 0)
			time.Sleep(2*time.Minute + phase)
			a.SetDown(false)
			upSince := time.Now()
			if took := (<-updates).Sub(upSince); took > discovery.FirstListTimeout+balance.MaxDiscoveryBackoff {
				t.Errorf("list arrived %v after an outage of two minutes and %v", took, phase)
			}
		})
	}
}

// TestListArrivesFromSlowOrRefusingDiscovery checks that the next list arrives within 6 s after a watch has become
// silent, and within 4 s after a switch of the address, while discovery delays its responses or refuses up to four of
// five calls.
func TestListArrivesFromSlowOrRefusingDiscovery(t *testing.T) {
	for _, tt := range []struct {
		name    string
		delay   time.Duration
		refuses int // refused calls for each accepted call
	}{
		{"delay of 1 s", time.Second, 0},
		{"delay of 2 s", 2 * time.Second, 0},
		{"refuses four of five calls", 0, 4},
		{"refuses half of the calls, delay of 0.7 s", 700 * time.Millisecond, 1},
	} {
		runWithAgent(t, func(t *testing.T, a *testserver.Agent, loop *EventLoop, updates chan time.Time) {
			<-updates
			var calls atomic.Int64
			a.SetDelay(tt.delay)
			a.RefuseWhen(func() bool { return calls.Add(1)%int64(tt.refuses+1) != 0 })
			time.Sleep(20 * time.Second)
			a.Silence(false, 0)
			silentSince := time.Now()
			select {
			case at := <-updates:
				if took := at.Sub(silentSince); took > discovery.MaxStaleness {
					t.Errorf("%s: list arrived after %v", tt.name, took)
				}
			case <-time.After(time.Minute):
				t.Errorf("%s: no list within a minute, %d calls", tt.name, calls.Load())
			}
			loop.Post(func() { loop.subscriptions.SwitchAddress("127.0.0.1:8") })
			switchedAt := time.Now()
			select {
			case at := <-updates:
				if took := at.Sub(switchedAt); took >= 4*time.Second {
					t.Errorf("%s: list arrived %v after the address switch", tt.name, took)
				}
			case <-time.After(time.Minute):
				t.Errorf("%s: no list within a minute after the address switch, %d calls", tt.name, calls.Load())
			}
		})
	}
}
