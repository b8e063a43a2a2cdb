//go:build go1.25

package proxy

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/lab/testserver"
)

// listedEndpoint returns a server as discovery lists it. start is when it says that it started; 0: unknown.
func listedEndpoint(id string, start time.Time) discovery.Endpoint {
	return discovery.Endpoint{ID: id, Address: silentAddress, Zone: "a", Kind: "m", Weight: 1, StartedAt: start}
}

// TestBootTimeSetsStartOfServer has a sidecar start beside a server of each age: a start is known only for one that has
// just started.
func TestBootTimeSetsStartOfServer(t *testing.T) {
	c := loadConfig(t, "", testserver.Settings)
	c.Settings.PollDiscovery = true // and so no watch in this test
	booted := time.Now().Add(-3 * time.Second)
	for _, tt := range []struct {
		name string
		boot time.Time
		cold bool
	}{
		{"just started", booted, true},
		{"unknown start", time.Time{}, false},
		{"started long ago", booted.Add(-2 * originAge), false},
	} {
		server := listedEndpoint("s-0", tt.boot)
		c.Known = discovery.List{Revision: 1, Complete: true, Endpoints: []discovery.Endpoint{server}}
		loop := newEventLoop(context.Background(), t, c, nil)
		started := loop.starts.StartOf(server)
		age := loop.clock() - started
		inTime := started > 0 && age >= 3*time.Second && age <= 3*time.Second+testserver.Timeout
		if tt.cold && !inTime || !tt.cold && started > 0 {
			t.Errorf("%s: boot %v: started %v, age %v", tt.name, tt.boot, started, age)
		}
	}
}

// TestCancelledRequestKeepsResponseThatCameFirst has a request get its response between the moment that its client is
// seen to leave and the moment that the event loop knows of it: the response is there for its handler, which would wait
// for ever without it.
func TestCancelledRequestKeepsResponseThatCameFirst(t *testing.T) {
	c := loadConfig(t, testserver.ServingList(1, &testserver.Backend{Address: silentAddress}), testserver.Settings)
	ctx, cancel := context.WithCancel(context.Background())
	loop := newEventLoop(ctx, t, c, nil)
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		loop.Run(ctx)
	}()
	defer running.Wait()
	defer cancel()
	request := &inflightRequest{response: make(chan finalResponse, 1)}
	request.peerClosed = func() bool {
		if err := loop.Do(ctx, func() { loop.respond(request, finalResponse{kind: rejected}) }); err != nil {
			t.Error(err)
		}
		return true
	}
	if !loop.isCancelled(request) {
		t.Error("a request whose client has left is not cancelled")
	}
	if err := loop.Do(ctx, func() {}); err != nil { // what was posted before is done
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
		c := loadConfig(t, "", testserver.Settings)
		c.Settings.PollDiscovery = true // and so no watch but that of this test
		loop := newEventLoop(context.Background(), t, c, nil)
		remembered := listedEndpoint("s-0", time.Time{})
		loop.OnUpdate(balance.ListCached, discovery.List{Endpoints: []discovery.Endpoint{remembered}})
		time.Sleep(time.Second)
		warm := listedEndpoint("s-1", time.Now().Add(-time.Hour).Round(0))
		loop.now = loop.clock()
		list := discovery.List{Revision: 1, Complete: true, Endpoints: []discovery.Endpoint{remembered, warm}}
		loop.OnUpdate(balance.ListFull, list)
		if got := loop.clock() - loop.starts.StartOf(warm); got != time.Hour {
			t.Errorf("it is %v old, want 1h", got)
		}
	})
}
