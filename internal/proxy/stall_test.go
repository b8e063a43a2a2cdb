//go:build go1.25

package proxy

import (
	"context"
	"strings"
	"testing"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestStalledRetryArrivesWithinWindow has a repeat of a request with an idempotency key be checked in the last moment
// for it, and be held up before it is written: it arrives before the time is over for which repeats of the first
// attempt are dropped.
func TestStalledRetryArrivesWithinWindow(t *testing.T) {
	const window = 5 * time.Second
	settings := strings.Replace(testserver.Settings, `"window_s":60.0`, `"window_s":5.0`, 1)
	runSimulation(t, settings, func(sim *simulation) {
		sim.respond = func(int) string { return errorResponse }
		sim.dial = func(ctx context.Context, n int) error {
			if end, bounded := ctx.Deadline(); n > 0 && bounded {
				time.Sleep(time.Until(end) - time.Millisecond)
				sim.writeDelay = balance.SchedulingStall
			}
			return nil
		}
		<-sim.send("book", 50*time.Second, nil)
		if len(sim.arrivals) != 2 {
			sim.t.Fatalf("%d attempts, want two", len(sim.arrivals))
		}
		first, repeat := <-sim.arrivals, <-sim.arrivals
		if took := repeat.at.Sub(first.at); took > window || took < window-200*time.Millisecond {
			sim.t.Errorf("the repeat arrived after %v, want it in the end of %v", took, window)
		}
	})
}

// TestStalledAttemptSendsTimeoutWithinSlack has an attempt be held up after it has read how much time is left: the
// timeout that it sends is at most the slack of the rule more than what is left where it arrives.
func TestStalledAttemptSendsTimeoutWithinSlack(t *testing.T) {
	const slack, way = 150 * time.Millisecond, 2 * time.Millisecond
	for _, wait := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
		runSimulation(t, testserver.Settings, func(sim *simulation) {
			sim.writeDelay = balance.SchedulingStall + way
			began := time.Now()
			sim.send("pay", wait, nil)
			if a := <-sim.arrivals; a.timeout > time.Until(began.Add(wait))+slack {
				sim.t.Errorf("the server is sent %v, %v are left of %v", a.timeout, time.Until(began.Add(wait)), wait)
			}
			time.Sleep(wait)
		})
	}
}

// TestStalledAttemptDoesNotReachDrainedServer has servers be listed as draining while an attempt's connection comes up.
// The list is taken in late, as the process is held up, and each write is held up too: nothing reaches them after their
// grace.
func TestStalledAttemptDoesNotReachDrainedServer(t *testing.T) {
	const grace = time.Second
	for _, up := range []time.Duration{0, balance.SchedulingStall - 1, balance.SchedulingStall, grace - 1} {
		runSimulation(t, testserver.Settings, func(sim *simulation) {
			sim.writeDelay = balance.SchedulingStall
			var notified time.Time
			sim.dial = func(_ context.Context, n int) error {
				if n > 0 {
					return nil
				}
				notified = time.Now()
				time.AfterFunc(balance.SchedulingStall, func() {
					sim.loop.Post(func() {
						sim.loop.OnUpdate(balance.ListChanges, parseList(t, testserver.ListText(2, false,
							testserver.EndpointEntry("s-0", "127.0.0.1:1", "DRAINING", 0),
							testserver.EndpointEntry("s-1", "127.0.0.1:2", "DRAINING", 0))))
					})
				})
				time.Sleep(up)
				return nil
			}
			sim.send("read", 50*time.Second, nil)
			time.Sleep(5 * time.Second)
			for len(sim.arrivals) > 0 {
				if late := (<-sim.arrivals).at.Sub(notified); late > grace {
					sim.t.Errorf("connected after %v: an attempt reached a draining server after %v", up, late)
				}
			}
			if up == 0 && notified.IsZero() {
				sim.t.Error("no attempt was made")
			}
			time.Sleep(time.Minute)
		})
	}
}
