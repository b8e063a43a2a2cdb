//go:build go1.25

package proxy

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// followed runs play in a bubble, with an agent, a host that follows it, and the times at which that gets a list.
func followed(t *testing.T, play func(t *testing.T, a *testserver.Agent, h *EventLoop, told chan time.Time)) {
	synctest.Test(t, func(t *testing.T) {
		a := &testserver.Agent{}
		c, err := load(t, testserver.ConfigText("127.0.0.1:9", testserver.ServingList(1, &testserver.Backend{Address: "127.0.0.1:9"}), testserver.Settings))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		h, err := NewEventLoop(ctx, c, 1000, slog.New(slog.DiscardHandler), a.Dial)
		if err != nil {
			t.Fatal(err)
		}
		told := make(chan time.Time, 1000)
		h.onList = func([]discovery.Endpoint) { told <- time.Now() }
		var over sync.WaitGroup
		over.Go(func() { h.Run(ctx) })
		play(t, a, h, told)
		cancel()
		over.Wait()
	})
}

// TestToldInTime has the watch fall silent in each phase of its heartbeat, with none or one more call that gets no
// answer, and has discovery be down for any time: the next list is there less than 6 s after the silence began, or
// discovery was back.
func TestToldInTime(t *testing.T) {
	if discovery.MaxUpdateDelay >= discovery.MaxStaleness {
		t.Errorf("a list may take %v, want less than %v", discovery.MaxUpdateDelay, discovery.MaxStaleness)
	}
	for inVain := range 2 {
		for phase := time.Millisecond; phase < 2*time.Second; phase += 130 * time.Millisecond {
			followed(t, func(t *testing.T, a *testserver.Agent, _ *EventLoop, told chan time.Time) {
				<-told // the first list
				time.Sleep(20*time.Second + phase)
				a.Silence(false, inVain)
				silent := time.Now()
				if took := (<-told).Sub(silent); took > discovery.MaxUpdateDelay {
					t.Errorf("told %v after the watch fell silent at %v of a heartbeat, %d calls in vain", took, phase, inVain)
				}
			})
		}
	}
	const longest = discovery.FirstListTimeout + balance.MaxDiscoveryBackoff // a call begun just before the return, and the wait behind it
	for outage := 100 * time.Millisecond; outage < 30*time.Second; outage += 370 * time.Millisecond {
		followed(t, func(t *testing.T, a *testserver.Agent, _ *EventLoop, told chan time.Time) {
			<-told
			time.Sleep(10*time.Second + time.Millisecond)
			a.Silence(true, 0)
			silent := time.Now()
			time.Sleep(outage)
			a.SetDown(false)
			back := time.Now()
			if at := <-told; at.Sub(back) > longest && at.Sub(silent) > discovery.MaxUpdateDelay {
				t.Errorf("told %v after an outage of %v", at.Sub(back), outage)
			}
		})
	}
}

// TestToldAtTheReturn has an agent that answers, as soon as it is up again, what was asked while it was down: what it
// has counts as told then, and a call is open nearly all the time.
func TestToldAtTheReturn(t *testing.T) {
	for outage := 3500 * time.Millisecond; outage < 20*time.Second; outage += 110 * time.Millisecond {
		followed(t, func(t *testing.T, a *testserver.Agent, _ *EventLoop, told chan time.Time) {
			<-told
			time.Sleep(10*time.Second + time.Millisecond)
			a.HoldCalls()
			a.Silence(true, 0)
			time.Sleep(outage)
			a.SetDown(false)
			back := time.Now()
			if took := (<-told).Sub(back); took > balance.PushedDiscoveryBackoff+20*time.Millisecond {
				t.Errorf("told %v after an outage of %v", took, outage)
			}
		})
	}
}

// TestMoveToASilentAddress has a file name another address of discovery, whose first calls get no answer: the list is
// there less than 4 s after it was read.
func TestMoveToASilentAddress(t *testing.T) {
	for inVain := range 3 {
		followed(t, func(t *testing.T, a *testserver.Agent, h *EventLoop, told chan time.Time) {
			<-told
			time.Sleep(10 * time.Second)
			a.Silence(false, inVain) // the former address says nothing more
			moved := time.Now()
			h.Post(func() { h.subscriptions.SwitchAddress("127.0.0.1:8") })
			if took := (<-told).Sub(moved); took >= 4*time.Second {
				t.Errorf("told %v after the move, %d calls in vain", took, inVain)
			}
		})
	}
}

// TestDiscoveryOutForMinutes has discovery be down for two minutes, in each phase of the sidecar's calls: the list is
// there in time once it is back.
func TestDiscoveryOutForMinutes(t *testing.T) {
	for phase := time.Duration(0); phase < 3*time.Second; phase += 170 * time.Millisecond {
		followed(t, func(t *testing.T, a *testserver.Agent, _ *EventLoop, told chan time.Time) {
			<-told
			time.Sleep(10 * time.Second)
			a.Silence(true, 0)
			time.Sleep(2*time.Minute + phase)
			a.SetDown(false)
			back := time.Now()
			if took := (<-told).Sub(back); took > discovery.FirstListTimeout+balance.MaxDiscoveryBackoff {
				t.Errorf("told %v after an outage of two minutes and %v", took, phase)
			}
		})
	}
}

// TestSlowOrCrowdedDiscovery has the watch fall silent while discovery answers each call only after a time, or refuses
// four calls of five: the next list is there at the latest 6 s later.
func TestSlowOrCrowdedDiscovery(t *testing.T) {
	for _, tt := range []struct {
		name    string
		after   time.Duration
		refuses int // of one more
	}{{"after a second", time.Second, 0}, {"after two seconds", 2 * time.Second, 0}, {"refuses most", 0, 4},
		{"refuses some, answers late", 700 * time.Millisecond, 1}} {
		followed(t, func(t *testing.T, a *testserver.Agent, h *EventLoop, told chan time.Time) {
			<-told
			var calls atomic.Int64
			a.SetDelay(tt.after)
			a.RefuseWhen(func() bool { return calls.Add(1)%int64(tt.refuses+1) != 0 })
			time.Sleep(20 * time.Second)
			a.Silence(false, 0)
			silent := time.Now()
			select {
			case at := <-told:
				if took := at.Sub(silent); took > discovery.MaxStaleness {
					t.Errorf("%s: told after %v", tt.name, took)
				}
			case <-time.After(time.Minute):
				t.Errorf("%s: not told within a minute, %d calls", tt.name, calls.Load())
			}
			h.Post(func() { h.subscriptions.SwitchAddress("127.0.0.1:8") })
			moved := time.Now()
			select {
			case at := <-told:
				if took := at.Sub(moved); took >= 4*time.Second {
					t.Errorf("%s: told %v after the move", tt.name, took)
				}
			case <-time.After(time.Minute):
				t.Errorf("%s: not told within a minute after the move, %d calls", tt.name, calls.Load())
			}
		})
	}
}
