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

// TestNoAttemptBeginsAfterClientDisconnect has a client leave, which only a look at its connection shows, while its
// request has one attempt to come for each reason that there is: that attempt is not made. With a client that stays it
// is.
func TestNoAttemptBeginsAfterClientDisconnect(t *testing.T) {
	later := func(text string) func(int) string {
		return func(int) string { time.Sleep(time.Second); return text }
	}
	lost := func(int) string { return "" }
	slow := func(context.Context, int) error { time.Sleep(time.Second); return nil }
	refused := func(_ context.Context, n int) error {
		if time.Sleep(time.Second); n == 0 {
			return syscall.ECONNREFUSED
		}
		return nil
	}
	shut := "HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
	timed := strings.ReplaceAll(testserver.Settings, `"aim_s":20.0`, `"aim_s":0.4`)
	hedged := strings.Replace(timed, `"cancelling":true`, `"cancelling":true,"second_copies":true`, 1)
	for _, tt := range []struct {
		name, settings string
		leaves         time.Duration // after the request
		dials          func(context.Context, int) error
		respond        func(int) string
		stays, gone    int // attempts that reach a server
	}{
		{"before its turn", testserver.Settings, 0, nil, later(errorResponse), 2, 0},
		{"while a connection comes up", testserver.Settings, time.Second / 2, slow, later(errorResponse), 2, 0},
		{"no connection", testserver.Settings, time.Second / 2, refused, later(errorResponse), 1, 0},
		{"an error", testserver.Settings, time.Second / 2, nil, later(errorResponse), 2, 1},
		{"rejected", testserver.Settings, time.Second / 2, nil, later(shut), 2, 1},
		{"a retry's connection comes up", testserver.Settings, 5 * time.Second / 2, slow, later(errorResponse), 2, 1},
		{"given up by a timer", timed, time.Millisecond, nil, lost, 2, 1},
		{"hedged by a timer", hedged, time.Millisecond, nil, lost, 2, 1},
	} {
		for _, leaves := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, leaves %v", tt.name, leaves), func(t *testing.T) {
				runSimulation(t, tt.settings, func(sim *simulation) {
					if tt.settings != testserver.Settings {
						sim.warmUp(1000) // from these it knows when a response is late
					}
					sim.dial, sim.respond = tt.dials, tt.respond
					end := time.Now().Add(tt.leaves)
					peerClosed := func() bool { return leaves && !time.Now().Before(end) }
					answered := sim.send("read", 50*time.Second, peerClosed)
					time.Sleep(55 * time.Second)
					want := tt.stays
					if leaves {
						want = tt.gone
					}
					if len(sim.arrivals) != want || len(answered) != 1 {
						sim.t.Errorf("%d attempts, want %d; %d responses", len(sim.arrivals), want, len(answered))
					}
				})
			})
		}
	}
}
