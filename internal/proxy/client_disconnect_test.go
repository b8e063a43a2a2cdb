//go:build go1.25

package proxy

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestNoAttemptBeginsAfterClientDisconnect checks that no attempt begins after the client has disconnected. Only
// peerClosed reports the disconnect. The cases differ in the cause of the next attempt. If the client stays connected,
// the attempt is made.
func TestNoAttemptBeginsAfterClientDisconnect(t *testing.T) {
	respondAfter1s := func(text string) func(int) string {
		return func(int) string { time.Sleep(time.Second); return text }
	}
	neverRespond := func(int) string { return "" }
	slowDial := func(context.Context, int) error { time.Sleep(time.Second); return nil }
	refuseFirstDial := func(_ context.Context, n int) error {
		if time.Sleep(time.Second); n == 0 {
			return syscall.ECONNREFUSED
		}
		return nil
	}
	notProcessed := "HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	shortObjective := strings.ReplaceAll(testserver.Settings, `"aim_s":20.0`, `"aim_s":0.4`)
	hedging := strings.Replace(shortObjective, `"cancelling":true`, `"cancelling":true,"second_copies":true`, 1)
	for _, tt := range []struct {
		name, settings   string
		disconnectAfter  time.Duration // time between the request and the disconnect
		dial             func(context.Context, int) error
		respond          func(int) string
		wantConnected    int // attempts that reach a server if the client stays connected
		wantDisconnected int // attempts that reach a server if the client disconnects
	}{
		{"before the first attempt", testserver.Settings, 0, nil, respondAfter1s(errorResponse), 2, 0},
		{"while connecting", testserver.Settings, time.Second / 2, slowDial, respondAfter1s(errorResponse), 2, 0},
		{"refused connection", testserver.Settings, time.Second / 2, refuseFirstDial, respondAfter1s(errorResponse), 1, 0},
		{"error response", testserver.Settings, time.Second / 2, nil, respondAfter1s(errorResponse), 2, 1},
		{"request not processed", testserver.Settings, time.Second / 2, nil, respondAfter1s(notProcessed), 2, 1},
		{"while connecting for a retry", testserver.Settings, 5 * time.Second / 2, slowDial, respondAfter1s(errorResponse),
			2, 1},
		{"attempt abandoned by a timer", shortObjective, time.Millisecond, nil, neverRespond, 2, 1},
		{"hedged request started by a timer", hedging, time.Millisecond, nil, neverRespond, 2, 1},
	} {
		for _, disconnects := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, disconnects %v", tt.name, disconnects), func(t *testing.T) {
				runSimulation(t, tt.settings, func(sim *simulation) {
					if tt.settings != testserver.Settings {
						sim.warmUp(1000) // gives the Balancer a distribution of response times
					}
					sim.dial, sim.respond = tt.dial, tt.respond
					disconnectAt := time.Now().Add(tt.disconnectAfter)
					peerClosed := func() bool { return disconnects && !time.Now().Before(disconnectAt) }
					responses := sim.send("read", 50*time.Second, peerClosed)
					time.Sleep(55 * time.Second)
					want := tt.wantConnected
					if disconnects {
						want = tt.wantDisconnected
					}
					if len(sim.arrivals) != want || len(responses) != 1 {
						sim.t.Errorf("%d attempts, want %d; %d responses, want 1", len(sim.arrivals), want, len(responses))
					}
				})
			})
		}
	}
}
