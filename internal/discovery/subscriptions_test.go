//go:build go1.25

package discovery

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"milletramp.example/milletramp/internal/lab/testserver"
)

// TestFormerWatchIsIgnored has a former watch say a line and end after the new one has answered: neither is news.
func TestFormerWatchIsIgnored(t *testing.T) {
	l := newTestLoop(context.Background(), nil)
	w := l.subscriptions
	over := make(chan string, 2)
	old, next := &subscription{func() { over <- "old" }}, &subscription{func() { over <- "next" }}
	w.current, w.next = old, next
	w.onWatchEnded(old, errors.New("ended"))
	if w.next != next {
		t.Fatal("the end of the old watch cost the new one")
	}
	w.current = old
	w.onUpdate(next, List{Revision: 9, Complete: true, Endpoints: []Endpoint{endpointStartedAt("s-0", time.Time{})}})
	if who := testserver.Receive(t, over, "end of the old watch"); who != "old" {
		t.Errorf("the %s watch was ended", who)
	}
	w.onUpdate(old, List{Revision: 5, Complete: true})
	w.onWatchEnded(old, errors.New("ended"))
	if w.current != next || w.revision != 9 || len(l.updated) != 1 {
		t.Errorf("watches %+v, version %d, %d lists after the old watch's end", w, w.revision, len(l.updated))
	}
}

// TestSlowWatchOfFormerAddressIsIgnored has discovery move while a late call goes on next to another: the call ends, and what it
// still tells is dropped.
func TestSlowWatchOfFormerAddressIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		a := &testserver.Agent{}
		l := newTestLoop(ctx, a.Dial)
		l.resubscribes = true
		w := l.subscriptions
		l.Post(w.Subscribe)
		<-l.updated
		var late *subscription
		a.SetDelay(2 * time.Second)
		time.Sleep(20 * time.Second)
		a.Silence(false, 0)
		for late == nil {
			time.Sleep(10 * time.Millisecond)
			l.Post(func() { late = w.slow })
			synctest.Wait()
		}
		ended := false
		l.Post(func() {
			end := late.cancel
			late.cancel = func() { ended = true; end() }
			w.SwitchAddress("127.0.0.1:8")
			w.onUpdate(late, List{Revision: 99})
			if !ended || w.revision == 99 || w.slow != nil {
				t.Errorf("ended %v, version %d, late call %v after the move", ended, w.revision, w.slow)
			}
		})
		<-l.updated
		cancel()
		synctest.Wait()
	})
}
