//go:build go1.25

package discovery

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"milletramp.example/milletramp/balance"
)

// clockSteps are the wall-clock steps under test.
var clockSteps = []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour}

// TestStartsUnderClockSteps steps wall clocks and then lists a server that started half a second before. If all clocks
// step alike, the age of the server must be exact. If only one clock steps, the age must be between 0 and the time
// since the last list or heartbeat.
func TestStartsUnderClockSteps(t *testing.T) {
	const age, pause = 500 * time.Millisecond, 1500 * time.Millisecond
	for _, step := range clockSteps {
		for _, tt := range []struct {
			name                     string
			localStep, discoveryStep time.Duration
			heartbeat                bool // discovery sends a heartbeat 0.1 s before the list
			wantAge                  time.Duration
		}{
			{"all clocks", step, step, false, age},
			{"discovery's clock", 0, step, false, max(0, min(pause, age-step))},
			{"local clock", step, 0, false, max(0, min(pause, age+step))},
			{"discovery's clock, after a heartbeat", 0, step, true, max(0, min(100*time.Millisecond, age-step))},
		} {
			t.Run(fmt.Sprintf("%s by %v", tt.name, step), func(t *testing.T) {
				withTestEventLoop(t, func(t *testing.T, loop *testEventLoop, update updateFunc) {
					warmServer := endpointStartedAt("s-0", time.Now().Add(-5*time.Second).Round(0))
					update(true, warmServer, endpointStartedAt("s-1", time.Time{}))
					if got := loop.clock() - loop.starts.StartOf(warmServer); got != 5*time.Second {
						t.Fatalf("age of a server in the first list: %v, want 5s", got)
					}
					time.Sleep(pause - 100*time.Millisecond)
					if tt.heartbeat {
						loop.subscriptions.onUnchanged(loop.subscriptions.current)
					}
					time.Sleep(100 * time.Millisecond)
					loop.starts.wallClock = func() time.Time { return time.Now().Add(tt.localStep).Round(0) }
					newServer := endpointStartedAt("s-2", time.Now().Add(tt.discoveryStep-age).Round(0))
					update(false, newServer)
					if got := loop.clock() - loop.starts.StartOf(newServer); got != tt.wantAge {
						t.Errorf("age of the new server: %v, want %v", got, tt.wantAge)
					}
					restartedServer := endpointStartedAt("s-0", newServer.StartedAt)
					update(false, restartedServer)
					if got := loop.clock() - loop.starts.StartOf(restartedServer); got != 0 {
						t.Errorf("age of a server restarted since the previous list, with the same reported start: %v, want 0", got)
					}
					update(true, newServer, warmServer)
					startOfUnchanged := loop.starts.StartOf(endpointStartedAt("s-1", time.Time{}))
					if startOfUnchanged != 0 || loop.clock()-loop.starts.StartOf(newServer) != tt.wantAge {
						t.Error("a list without changes altered a start time")
					}
				})
			})
		}
	}
}

// TestStartIsKeptWhileServerIsDelisted delists a server and lists it again with the same reported start. Its start time
// must not change. After a change of the discovery address, a server that the previous address did not list must count
// as started after the last list of that address.
func TestStartIsKeptWhileServerIsDelisted(t *testing.T) {
	withTestEventLoop(t, func(t *testing.T, loop *testEventLoop, update updateFunc) {
		warmServer := endpointStartedAt("s-0", time.Now().Add(-time.Minute).Round(0))
		otherServer := endpointStartedAt("s-1", time.Time{})
		update(true, warmServer, otherServer)
		firstStart := loop.starts.StartOf(warmServer)
		update(true, otherServer)
		time.Sleep(2 * time.Second)
		update(true, otherServer, warmServer)
		if got := loop.starts.StartOf(warmServer); got != firstStart {
			t.Errorf("start of a server that is listed again moved by %v", got-firstStart)
		}
		time.Sleep(3 * time.Second)
		loop.subscriptions.onWatchEnded(loop.subscriptions.current, errors.New("ended"))
		next := &subscription{func() {}}
		loop.subscriptions.next = next
		loop.subscriptions.onUnchanged(next) // the new watch has not delivered a list yet
		newServer := endpointStartedAt("s-2", time.Now().Add(-time.Hour).Round(0))
		endpoints := []Endpoint{warmServer, otherServer, newServer}
		loop.subscriptions.onUpdate(next, List{Revision: 1, Complete: true, Endpoints: endpoints})
		if got := loop.clock() - loop.starts.StartOf(newServer); got != 3*time.Second {
			t.Errorf("age of a server that the previous address did not list: %v, want 3s", got)
		}
	})
}

// TestDelistedStartsAreBounded lists and delists more servers than maxDelisted. Only the start times of the servers
// that were delisted last and of the listed servers must be kept.
func TestDelistedStartsAreBounded(t *testing.T) {
	starts := NewStartTimes(func() balance.Time { return 24 * time.Hour })
	update := func(endpoint Endpoint) {
		starts.StartOf(endpoint)
		starts.Update(24*time.Hour, balance.ListChanges, List{Endpoints: []Endpoint{endpoint}})
	}
	listed := endpointStartedAt("s-0", time.Now())
	update(listed)
	var last Endpoint
	for i := range 2 * maxDelisted {
		last = endpointStartedAt(fmt.Sprintf("p-%d", i), time.Now())
		update(last)
		removed := last
		removed.State = balance.Removed
		update(removed)
	}
	got := len(starts.starts)
	if got != maxDelisted+1 || starts.starts[listed.ID] == nil || starts.starts[last.ID] == nil {
		t.Errorf("%d start times are kept, want %d", got, maxDelisted+1)
	}
}
