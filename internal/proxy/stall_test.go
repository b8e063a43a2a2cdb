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

// TestStalledRetryArrivesWithinWindow checks that a retry of a request with an idempotency key reaches the server
// within the dedupe window of the first attempt. The process checks the retry at the last possible moment and stalls
// before the write.
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
			sim.t.Fatalf("%d attempts, want 2", len(sim.arrivals))
		}
		first, retry := <-sim.arrivals, <-sim.arrivals
		if took := retry.at.Sub(first.at); took > window || took < window-200*time.Millisecond {
			sim.t.Errorf("the retry arrived after %v, want it in the last 200 ms of %v", took, window)
		}
	})
}

// TestStalledAttemptSendsTimeoutWithinSlack checks the timeout that a server receives if the process stalls after it
// has read the remaining time. The timeout exceeds the time that remains on arrival by at most the slack that the rules
// allow.
func TestStalledAttemptSendsTimeoutWithinSlack(t *testing.T) {
	const slack, networkDelay = 150 * time.Millisecond, 2 * time.Millisecond
	for _, wait := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
		runSimulation(t, testserver.Settings, func(sim *simulation) {
			sim.writeDelay = balance.SchedulingStall + networkDelay
			began := time.Now()
			sim.send("pay", wait, nil)
			if a := <-sim.arrivals; a.timeout > time.Until(began.Add(wait))+slack {
				sim.t.Errorf("timeout of %v at the server, but %v remain of %v", a.timeout, time.Until(began.Add(wait)), wait)
			}
			time.Sleep(wait)
		})
	}
}

// TestStalledAttemptDoesNotReachDrainedServer checks that no attempt reaches a draining server after its grace period.
// The servers are listed as draining while the connection of an attempt is being established. The process stalls before
// it applies the list, and again before each write.
func TestStalledAttemptDoesNotReachDrainedServer(t *testing.T) {
	const grace = time.Second
	for _, connectTime := range []time.Duration{0, balance.SchedulingStall - 1, balance.SchedulingStall, grace - 1} {
		runSimulation(t, testserver.Settings, func(sim *simulation) {
			sim.writeDelay = balance.SchedulingStall
			var drainedAt time.Time
			sim.dial = func(_ context.Context, n int) error {
				if n > 0 {
					return nil
				}
				drainedAt = time.Now()
				time.AfterFunc(balance.SchedulingStall, func() {
					sim.loop.Post(func() {
						sim.loop.OnUpdate(balance.ListChanges, parseList(t, testserver.ListText(2, false,
							testserver.EndpointEntry("s-0", "127.0.0.1:1", "DRAINING", 0),
							testserver.EndpointEntry("s-1", "127.0.0.1:2", "DRAINING", 0))))
					})
				})
				time.Sleep(connectTime)
				return nil
			}
			sim.send("read", 50*time.Second, nil)
			time.Sleep(5 * time.Second)
			for len(sim.arrivals) > 0 {
				if late := (<-sim.arrivals).at.Sub(drainedAt); late > grace {
					sim.t.Errorf("connected after %v: an attempt reached a draining server after %v", connectTime, late)
				}
			}
			if connectTime == 0 && drainedAt.IsZero() {
				sim.t.Error("no attempt was made")
			}
			time.Sleep(time.Minute)
		})
	}
}
