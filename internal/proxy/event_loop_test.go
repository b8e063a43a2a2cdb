//go:build go1.25

package proxy

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/lab/testserver"
)

func TestBootTimeSetsStartOfServer(t *testing.T) {
	c, err := loadConfig(t, testserver.ConfigText("127.0.0.1:9", "", testserver.Settings))
	if err != nil {
		t.Fatal(err)
	}
	c.Settings.PollDiscovery = true // and so no watch in this test
	booted := time.Now().Add(-3 * time.Second)
	for _, tt := range []struct {
		boot time.Time
		cold bool
	}{{booted, true}, {time.Time{}, false}, {booted.Add(-2 * originAge), false}} {
		c.Known = discovery.List{Revision: 1, Complete: true, Endpoints: []discovery.Endpoint{{ID: "s-0", Address: "127.0.0.1:9", Zone: "a", Kind: "m", Weight: 1, StartedAt: tt.boot}}}
		h, err := NewEventLoop(context.Background(), c, 1000, slog.New(slog.DiscardHandler), nil)
		if err != nil {
			t.Fatal(err)
		}
		started := h.starts.StartOf(c.Known.Endpoints[0])
		if age := h.clock() - started; tt.cold && (started <= 0 || age < 3*time.Second || age > 3*time.Second+testserver.Timeout) || !tt.cold && started > 0 {
			t.Errorf("boot %v: started %v, age %v", tt.boot, started, age)
		}
	}
}

// TestCancelledRequestKeepsResponseThatCameFirst has a request get its response between the moment that its client is
// seen to leave and the moment that the event loop knows of it: the response is there for its handler, which would wait
// for ever without it.
func TestCancelledRequestKeepsResponseThatCameFirst(t *testing.T) {
	c, err := loadConfig(t, testserver.ConfigText("127.0.0.1:9", testserver.ServingList(1, &testserver.Backend{Address: "127.0.0.1:9"}), testserver.Settings))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h, err := NewEventLoop(ctx, c, 1000, slog.New(slog.DiscardHandler), nil)
	if err != nil {
		t.Fatal(err)
	}
	var loop sync.WaitGroup
	loop.Add(1)
	go func() {
		defer loop.Done()
		h.Run(ctx)
	}()
	defer loop.Wait()
	defer cancel()
	request := &inflightRequest{response: make(chan finalResponse, 1)}
	request.peerClosed = func() bool {
		if err := h.Do(ctx, func() { h.respond(request, finalResponse{kind: rejected}) }); err != nil {
			t.Error(err)
		}
		return true
	}
	if !h.isCancelled(request) {
		t.Error("a request whose client has left is not withdrawn")
	}
	if err := h.Do(ctx, func() {}); err != nil { // what was posted before is done
		t.Fatal(err)
	}
	if len(request.response) != 1 {
		t.Error("its handler has no response to take")
	}
}

// TestFirstListKeepsAgeOfServers has a process begin with a list that the platform wrote down: what the first list of
// discovery has beyond that may have started long before.
func TestFirstListKeepsAgeOfServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := loadConfig(t, testserver.ConfigText("127.0.0.1:9", "", testserver.Settings))
		if err != nil {
			t.Fatal(err)
		}
		c.Settings.PollDiscovery = true // and so no watch but that of this test
		h, err := NewEventLoop(context.Background(), c, 1000, slog.New(slog.DiscardHandler), nil)
		if err != nil {
			t.Fatal(err)
		}
		endpoint := func(id string, start time.Time) discovery.Endpoint {
			return discovery.Endpoint{ID: id, Address: "127.0.0.1:9", Zone: "a", Kind: "m", Weight: 1, StartedAt: start}
		}
		h.OnUpdate(balance.ListRemembered, discovery.List{Endpoints: []discovery.Endpoint{endpoint("s-0", time.Time{})}})
		time.Sleep(time.Second)
		warm := endpoint("s-1", time.Now().Add(-time.Hour).Round(0))
		h.now = h.clock()
		h.OnUpdate(balance.ListFull, discovery.List{Revision: 1, Complete: true, Endpoints: []discovery.Endpoint{endpoint("s-0", time.Time{}), warm}})
		if got := h.clock() - h.starts.StartOf(warm); got != time.Hour {
			t.Errorf("it is %v old, want 1h", got)
		}
	})
}
