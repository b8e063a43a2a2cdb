//go:build go1.25

package discovery

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"milletramp.example/milletramp/balance"
)

// testEventLoop is a Subscriber that passes each list to a StartTimes, as the event loop of the process does.
type testEventLoop struct {
	mu            sync.Mutex
	clock         func() balance.Time
	starts        *StartTimes
	subscriptions *Subscriptions
	updated       chan time.Time // receives the time of each list
	resubscribes  bool           // opens another watch when a watch has ended
}

// newTestEventLoop returns an event loop whose watches are opened with dial and end when ctx is done.
func newTestEventLoop(ctx context.Context, dial DialFunc) *testEventLoop {
	origin := time.Now().Add(-24 * time.Hour)
	l := &testEventLoop{
		clock:   func() balance.Time { return time.Since(origin) },
		updated: make(chan time.Time, 1000),
	}
	l.starts = NewStartTimes(l.clock)
	l.subscriptions = NewSubscriptions(ctx, l, Options{
		Address:  "127.0.0.1:9",
		Revision: completeListRevision,
		Dial:     dial,
		Log:      slog.New(slog.DiscardHandler),
	})
	return l
}

// Post implements Subscriber.
func (l *testEventLoop) Post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// OnUpdate implements Subscriber.
func (l *testEventLoop) OnUpdate(kind balance.ListKind, list List) {
	for _, endpoint := range list.Endpoints {
		l.starts.StartOf(endpoint)
	}
	l.starts.Update(l.clock(), kind, list)
	l.updated <- time.Now()
}

// OnUnchanged implements Subscriber.
func (l *testEventLoop) OnUnchanged() { l.starts.Confirm(l.clock()) }

// OnWatchEnded implements Subscriber.
func (l *testEventLoop) OnWatchEnded() {
	if l.resubscribes {
		time.AfterFunc(balance.FirstDiscoveryBackoff, func() { l.Post(l.subscriptions.Subscribe) })
	}
}

// updateFunc delivers a list to an event loop as its current watch does.
type updateFunc func(complete bool, endpoints ...Endpoint)

// withTestEventLoop calls run on a simulated clock, with an event loop that has an open watch.
func withTestEventLoop(t *testing.T, run func(t *testing.T, loop *testEventLoop, update updateFunc)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		loop := newTestEventLoop(context.Background(), nil)
		loop.subscriptions.current = &subscription{func() {}}
		run(t, loop, func(complete bool, endpoints ...Endpoint) {
			list := List{Revision: 1, Complete: complete, Endpoints: endpoints}
			loop.subscriptions.onUpdate(loop.subscriptions.current, list)
		})
	})
}

// endpointStartedAt returns an endpoint with a start time as reported by discovery; zero: long ago.
func endpointStartedAt(id string, startedAt time.Time) Endpoint {
	return Endpoint{ID: id, Address: "127.0.0.1:9", Zone: "a", Kind: "m", Weight: 1, StartedAt: startedAt}
}

// dialScripted opens connections on which discovery sends the given pieces, with a pause after each, and then nothing.
func dialScripted(pause time.Duration, pieces ...string) DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()
		go func() {
			defer serverEnd.Close()
			if _, err := http.ReadRequest(bufio.NewReader(serverEnd)); err != nil {
				return
			}
			clientClosed := make(chan struct{})
			go func() {
				_, _ = io.Copy(io.Discard, serverEnd)
				close(clientClosed)
			}()
			for _, piece := range pieces {
				if _, err := io.WriteString(serverEnd, piece); err != nil {
					return
				}
				select {
				case <-time.After(pause):
				case <-clientClosed:
					return
				}
			}
			<-clientClosed
		}()
		return clientEnd, nil
	}
}
