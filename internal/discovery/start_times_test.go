//go:build go1.25

package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// clockSteps are the steps of a clock of day that these tests try.
var clockSteps = []time.Duration{-time.Hour, -3 * time.Second, 3 * time.Second, time.Hour}

// testLoop is an event loop that gives each list to a StartTimes, as the process does.
type testLoop struct {
	mu            sync.Mutex
	clock         func() balance.Time
	starts        *StartTimes
	subscriptions *Subscriptions
	updated       chan time.Time // gets the times of lists
	resubscribes  bool           // opens a watch in place of one that has ended
}

// newTestLoop returns a loop whose watches are opened over dial and end with ctx.
func newTestLoop(ctx context.Context, dial DialFunc) *testLoop {
	origin := time.Now().Add(-24 * time.Hour)
	l := &testLoop{clock: func() balance.Time { return time.Since(origin) }, updated: make(chan time.Time, 1000)}
	l.starts = NewStartTimes(l.clock)
	l.subscriptions = NewSubscriptions(ctx, l, Options{Address: "127.0.0.1:9", Revision: -1, Dial: dial,
		Log: slog.New(slog.DiscardHandler)})
	return l
}

// Post implements Subscriber.
func (l *testLoop) Post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// OnUpdate implements Subscriber.
func (l *testLoop) OnUpdate(kind balance.ListKind, list List) {
	for _, endpoint := range list.Endpoints {
		l.starts.StartOf(endpoint)
	}
	l.starts.Update(l.clock(), kind, list)
	l.updated <- time.Now()
}

// OnUnchanged implements Subscriber.
func (l *testLoop) OnUnchanged() { l.starts.Confirm(l.clock()) }

// OnWatchEnded implements Subscriber.
func (l *testLoop) OnWatchEnded() {
	if l.resubscribes {
		time.AfterFunc(balance.FirstDiscoveryBackoff, func() { l.Post(l.subscriptions.Subscribe) })
	}
}

// withTestLoop runs play in a bubble with a loop that gets the lists that play says, as from its watch.
func withTestLoop(t *testing.T, play func(t *testing.T, l *testLoop, says func(complete bool, endpoints ...Endpoint))) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestLoop(context.Background(), nil)
		l.subscriptions.current = &subscription{func() {}}
		play(t, l, func(complete bool, endpoints ...Endpoint) {
			l.subscriptions.onUpdate(l.subscriptions.current, List{Revision: 1, Complete: complete, Endpoints: endpoints})
		})
	})
}

// endpointStartedAt is a server that discovery claims to have started at a time; zero: long ago.
func endpointStartedAt(id string, boot time.Time) Endpoint {
	return Endpoint{ID: id, Address: "127.0.0.1:9", Zone: "a", Kind: "m", Weight: 1, StartedAt: boot}
}

// TestStartsUnderClockSteps has the clocks of day step and then a server start, half a second before it is listed.
// Where all clocks step alike its age is what it is. Where discovery's alone does, it is between none and the time
// since the last list.
func TestStartsUnderClockSteps(t *testing.T) {
	const age, pause = 500 * time.Millisecond, 1500 * time.Millisecond
	for _, step := range clockSteps {
		for _, tt := range []struct {
			name         string
			here, abroad time.Duration
			beat         bool // discovery has said that nothing changed, 0.1 s before
			want         time.Duration
		}{
			{"all clocks", step, step, false, age},
			{"discovery's clock", 0, step, false, max(0, min(pause, age-step))},
			{"this clock", step, 0, false, max(0, min(pause, age+step))},
			{"discovery's clock, behind a heartbeat", 0, step, true, max(0, min(100*time.Millisecond, age-step))},
		} {
			t.Run(fmt.Sprintf("%s by %v", tt.name, step), func(t *testing.T) {
				withTestLoop(t, func(t *testing.T, l *testLoop, says func(bool, ...Endpoint)) {
					old := endpointStartedAt("s-0", time.Now().Add(-5*time.Second).Round(0))
					says(true, old, endpointStartedAt("s-1", time.Time{}))
					if got := l.clock() - l.starts.StartOf(old); got != 5*time.Second {
						t.Fatalf("in the first list a server is %v old, want 5s", got)
					}
					time.Sleep(pause - 100*time.Millisecond)
					if tt.beat {
						l.subscriptions.onUnchanged(l.subscriptions.current)
					}
					time.Sleep(100 * time.Millisecond)
					l.starts.wallClock = func() time.Time { return time.Now().Add(tt.here).Round(0) }
					fresh := endpointStartedAt("s-2", time.Now().Add(tt.abroad-age).Round(0))
					says(false, fresh)
					if got := l.clock() - l.starts.StartOf(fresh); got != tt.want {
						t.Errorf("it is %v old, want %v", got, tt.want)
					}
					again := endpointStartedAt("s-0", fresh.StartedAt)
					says(false, again)
					if got := l.clock() - l.starts.StartOf(again); got != 0 {
						t.Errorf("one that has started since the list before, at the same time, is %v old", got)
					}
					says(true, fresh, old)
					if l.starts.StartOf(endpointStartedAt("s-1", time.Time{})) != 0 || l.clock()-l.starts.StartOf(fresh) != tt.want {
						t.Error("a list that tells nothing new changes a start")
					}
				})
			})
		}
	}
}

// TestStartIsKeptWhileServerIsDelisted has a server be on no list for a while and come back with the start that it had: it is as warm
// as it was. One that a new discovery lists and the former did not is at most as old as the former one's last list.
func TestStartIsKeptWhileServerIsDelisted(t *testing.T) {
	withTestLoop(t, func(t *testing.T, l *testLoop, says func(bool, ...Endpoint)) {
		warm, other := endpointStartedAt("s-0", time.Now().Add(-time.Minute).Round(0)), endpointStartedAt("s-1", time.Time{})
		says(true, warm, other)
		was := l.starts.StartOf(warm)
		says(true, other)
		time.Sleep(2 * time.Second)
		says(true, other, warm)
		if got := l.starts.StartOf(warm); got != was {
			t.Errorf("back on the list it started %v later", got-was)
		}
		time.Sleep(3 * time.Second)
		l.subscriptions.onWatchEnded(l.subscriptions.current, errors.New("ended"))
		next := &subscription{func() {}}
		l.subscriptions.next = next
		l.subscriptions.onUnchanged(next) // which has told nothing yet
		unheard := endpointStartedAt("s-2", time.Now().Add(-time.Hour).Round(0))
		l.subscriptions.onUpdate(next, List{Revision: 1, Complete: true, Endpoints: []Endpoint{warm, other, unheard}})
		if got := l.clock() - l.starts.StartOf(unheard); got != 3*time.Second {
			t.Errorf("a server that the former discovery did not list is %v old, want 3s", got)
		}
	})
}

// TestDelistedStartsAreBounded has many servers pass by: the starts of the last ones are kept, and those of servers that are
// listed.
func TestDelistedStartsAreBounded(t *testing.T) {
	s := NewStartTimes(func() balance.Time { return 24 * time.Hour })
	says := func(target Endpoint) {
		s.StartOf(target)
		s.Update(24*time.Hour, balance.ListChanges, List{Endpoints: []Endpoint{target}})
	}
	stays, last := endpointStartedAt("s-0", time.Now()), Endpoint{}
	says(stays)
	for i := range 2 * maxDelisted {
		last = endpointStartedAt(fmt.Sprintf("p-%d", i), time.Now())
		says(last)
		gone := last
		gone.State = balance.Removed
		says(gone)
	}
	if got := len(s.starts); got != maxDelisted+1 || s.starts[stays.ID] == nil || s.starts[last.ID] == nil {
		t.Errorf("%d starts are kept, want %d", got, maxDelisted+1)
	}
}

// TestWatchReportsHeartbeats counts what is a heartbeat: white space alone, outside a list and behind one or a version to begin
// with.
func TestWatchReportsHeartbeats(t *testing.T) {
	first, half, rest := testserver.ListText(2, true), `{"rev":3,"targets":`, "[]}\n"
	for _, tt := range []struct {
		name   string
		from   int64
		pieces []string
		want   int
	}{
		{"behind a version", 1, []string{"\n", "\n"}, 2},
		{"before the first list", -1, []string{"\n", first, "\n"}, 1},
		{"with a list", 1, []string{"\n" + first + "\n"}, 0},
		{"within a list", 1, []string{half, "\n", rest, "\n"}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pieces := append([]string{"HTTP/1.1 200 OK\r\n\r\n"}, tt.pieces...)
				d := NewClient("127.0.0.1:9", 0, dialScripted(time.Millisecond, pieces...))
				got := 0
				err := d.Watch(context.Background(), tt.from, func(List) {}, func() { got++ })
				if got != tt.want || !errors.Is(err, errWatchTimeout) && !errors.Is(err, io.EOF) {
					t.Errorf("%d heartbeats, want %d, error %v", got, tt.want, err)
				}
			})
		})
	}
}
