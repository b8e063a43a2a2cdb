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

// TestFormerWatchIsIgnored checks that a list from a replaced watch, and its end, are ignored after the new watch has
// delivered its first list.
func TestFormerWatchIsIgnored(t *testing.T) {
	loop := newTestEventLoop(context.Background(), nil)
	subscriptions := loop.subscriptions
	cancelled := make(chan string, 2)
	replaced := &subscription{func() { cancelled <- "replaced" }}
	next := &subscription{func() { cancelled <- "next" }}
	subscriptions.current = replaced
	subscriptions.next = next
	subscriptions.onWatchEnded(replaced, errors.New("ended"))
	if subscriptions.next != next {
		t.Fatal("the end of the replaced watch ended the new one")
	}
	subscriptions.current = replaced
	endpoints := []Endpoint{endpointStartedAt("s-0", time.Time{})}
	subscriptions.onUpdate(next, List{Revision: 9, Complete: true, Endpoints: endpoints})
	if name := testserver.Receive(t, cancelled, "end of the replaced watch"); name != "replaced" {
		t.Errorf("the %s watch was cancelled, want the replaced one", name)
	}
	subscriptions.onUpdate(replaced, List{Revision: 5, Complete: true})
	subscriptions.onWatchEnded(replaced, errors.New("ended"))
	if subscriptions.current != next || subscriptions.revision != 9 || len(loop.updated) != 1 {
		t.Errorf("watches %+v, revision %d, %d lists after the end of the replaced watch",
			subscriptions, subscriptions.revision, len(loop.updated))
	}
}

// TestSlowWatchOfFormerAddressIsIgnored switches the discovery address while a slow watch is open in addition to
// another one. The slow watch must end, and a list that it still delivers must be dropped.
func TestSlowWatchOfFormerAddressIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		agent := &testserver.Agent{}
		loop := newTestEventLoop(ctx, agent.Dial)
		loop.resubscribes = true
		subscriptions := loop.subscriptions
		loop.Post(subscriptions.Subscribe)
		<-loop.updated
		var slow *subscription
		agent.SetDelay(2 * time.Second)
		time.Sleep(20 * time.Second)
		agent.Silence(false, 0)
		for slow == nil {
			time.Sleep(10 * time.Millisecond)
			loop.Post(func() { slow = subscriptions.slow })
			synctest.Wait()
		}
		ended := false
		loop.Post(func() {
			cancelSlow := slow.cancel
			slow.cancel = func() {
				ended = true
				cancelSlow()
			}
			subscriptions.SwitchAddress("127.0.0.1:8")
			subscriptions.onUpdate(slow, List{Revision: 99})
			if !ended || subscriptions.revision == 99 || subscriptions.slow != nil {
				t.Errorf("slow watch cancelled %v, revision %d, slow watch %v after the switch",
					ended, subscriptions.revision, subscriptions.slow)
			}
		})
		<-loop.updated
		cancel()
		synctest.Wait()
	})
}
