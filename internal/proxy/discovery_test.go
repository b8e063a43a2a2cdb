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

// runWithAgent runs play in a synctest bubble, with an agent, an event loop that follows it, and the times at which the
// loop gets a list.
func runWithAgent(t *testing.T, play func(t *testing.T, a *testserver.Agent, loop *EventLoop, updates chan time.Time)) {
	synctest.Test(t, func(t *testing.T) {
		a := &testserver.Agent{}
		c := loadConfig(t, testserver.ServingList(1, &testserver.Backend{Address: silentAddress}), testserver.Settings)
		ctx, cancel := context.WithCancel(context.Background())
		loop := newEventLoop(ctx, t, c, a.Dial)
		updates := make(chan time.Time, 1000)
		loop.onList = func([]discovery.Endpoint) { updates <- time.Now() }
		var running sync.WaitGroup
		running.Go(func() { loop.Run(ctx) })
		play(t, a, loop, updates)
		cancel()
		running.Wait()
	})
}

// TestListArrivesInTimeAfterSilenceOrOutage has the watch fall silent in each phase of its heartbeat, with none or one
// more call that gets no response, and has discovery be down for any time: the next list is there less than 6 s after
// the silence began, or discovery was back.
func TestListArrivesInTimeAfterSilenceOrOutage(t *testing.T) {
	if discovery.MaxUpdateDelay >= discovery.MaxStaleness {
		t.Errorf("a list may take %v, want less than %v", discovery.MaxUpdateDelay, discovery.MaxStaleness)
	}
	for inVain := range 2 {
		for phase := time.Millisecond; phase < 2*time.Second; phase += 130 * time.Millisecond {
			runWithAgent(t, func(t *testing.T, a *testserver.Agent, _ *EventLoop, updates chan time.Time) {
				<-updates // the first list
				time.Sleep(20*time.Second + phase)
				a.Silence(false, inVain)
				silent := time.Now()
				if took := (<-updates).Sub(silent); took > discovery.MaxUpdateDelay {
					t.Errorf("silent from %v of a heartbeat, %d calls in vain: list came after %v", phase, inVain, took)
				}
			})
		}
	}
	// A call may begin just before discovery returns, and a pause follows it.
	const longest = discovery.FirstListTimeout + balance.MaxDiscoveryBackoff
	for outage := 100 * time.Millisecond; outage < 30*time.Second; outage += 370 * time.Millisecond {
		runWithAgent(t, func(t *testing.T, a *testserver.Agent, _ *EventLoop, updates chan time.Time) {
			<-updates
			time.Sleep(10*time.Second + time.Millisecond)
			a.Silence(true, 0)
			silent := time.Now()
			time.Sleep(outage)
			a.SetDown(false)
			back := time.Now()
			if at := <-updates; at.Sub(back) > longest && at.Sub(silent) > discovery.MaxUpdateDelay {
				t.Errorf("list came %v after an outage of %v", at.Sub(back), outage)
			}
		})
	}
}

// TestHeldCallsAreAnsweredWhenDiscoveryReturns has an agent that answers, as soon as it is up again, what was asked
// while it was down: what it has counts as received then, and a call is open nearly all the time.
func TestHeldCallsAreAnsweredWhenDiscoveryReturns(t *testing.T) {
	for outage := 3500 * time.Millisecond; outage < 20*time.Second; outage += 110 * time.Millisecond {
		runWithAgent(t, func(t *testing.T, a *testserver.Agent, _ *EventLoop, updates chan time.Time) {
			<-updates
			time.Sleep(10*time.Second + time.Millisecond)
			a.HoldCalls()
			a.Silence(true, 0)
			time.Sleep(outage)
			a.SetDown(false)
			back := time.Now()
			if took := (<-updates).Sub(back); took > balance.PushedDiscoveryBackoff+20*time.Millisecond {
				t.Errorf("list came %v after an outage of %v", took, outage)
			}
		})
	}
}

// TestListArrivesInTimeAfterAddressSwitch has a file name another address of discovery, whose first calls get no
// response: the list is there less than 4 s after it was read.
func TestListArrivesInTimeAfterAddressSwitch(t *testing.T) {
	for inVain := range 3 {
		runWithAgent(t, func(t *testing.T, a *testserver.Agent, loop *EventLoop, updates chan time.Time) {
			<-updates
			time.Sleep(10 * time.Second)
			a.Silence(false, inVain) // the former address says nothing more
			moved := time.Now()
			loop.Post(func() { loop.subscriptions.SwitchAddress("127.0.0.1:8") })
			if took := (<-updates).Sub(moved); took >= 4*time.Second {
				t.Errorf("list came %v after the move, %d calls in vain", took, inVain)
			}
		})
	}
}

// TestListArrivesInTimeAfterLongOutage has discovery be down for two minutes, in each phase of the sidecar's calls: the
// list is there in time once it is back.
func TestListArrivesInTimeAfterLongOutage(t *testing.T) {
	for phase := time.Duration(0); phase < 3*time.Second; phase += 170 * time.Millisecond {
		runWithAgent(t, func(t *testing.T, a *testserver.Agent, _ *EventLoop, updates chan time.Time) {
			<-updates
			time.Sleep(10 * time.Second)
			a.Silence(true, 0)
			time.Sleep(2*time.Minute + phase)
			a.SetDown(false)
			back := time.Now()
			if took := (<-updates).Sub(back); took > discovery.FirstListTimeout+balance.MaxDiscoveryBackoff {
				t.Errorf("list came %v after an outage of two minutes and %v", took, phase)
			}
		})
	}
}

// TestListArrivesFromSlowOrRefusingDiscovery has the watch fall silent while discovery answers each call only after a
// time, or refuses four calls of five: the next list is there at the latest 6 s later.
func TestListArrivesFromSlowOrRefusingDiscovery(t *testing.T) {
	for _, tt := range []struct {
		name    string
		after   time.Duration
		refuses int // of one more
	}{
		{"after a second", time.Second, 0},
		{"after two seconds", 2 * time.Second, 0},
		{"refuses most", 0, 4},
		{"refuses some, answers late", 700 * time.Millisecond, 1},
	} {
		runWithAgent(t, func(t *testing.T, a *testserver.Agent, loop *EventLoop, updates chan time.Time) {
			<-updates
			var calls atomic.Int64
			a.SetDelay(tt.after)
			a.RefuseWhen(func() bool { return calls.Add(1)%int64(tt.refuses+1) != 0 })
			time.Sleep(20 * time.Second)
			a.Silence(false, 0)
			silent := time.Now()
			select {
			case at := <-updates:
				if took := at.Sub(silent); took > discovery.MaxStaleness {
					t.Errorf("%s: list came after %v", tt.name, took)
				}
			case <-time.After(time.Minute):
				t.Errorf("%s: no list within a minute, %d calls", tt.name, calls.Load())
			}
			loop.Post(func() { loop.subscriptions.SwitchAddress("127.0.0.1:8") })
			moved := time.Now()
			select {
			case at := <-updates:
				if took := at.Sub(moved); took >= 4*time.Second {
					t.Errorf("%s: list came %v after the move", tt.name, took)
				}
			case <-time.After(time.Minute):
				t.Errorf("%s: no list within a minute after the move, %d calls", tt.name, calls.Load())
			}
		})
	}
}
