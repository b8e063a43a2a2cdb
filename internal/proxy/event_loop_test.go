//go:build go1.25

package proxy

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/discovery"
	"milletramp.example/milletramp/internal/lab/testserver"
	"milletramp.example/milletramp/internal/upstream"
)

// listedEndpoint returns an endpoint as listed by discovery. start is its reported start time; zero means unknown.
func listedEndpoint(id string, start time.Time) discovery.Endpoint {
	return discovery.Endpoint{ID: id, Address: silentAddress, Zone: "a", Kind: "m", Weight: 1, StartedAt: start}
}

// TestBootTimeSetsStartOfServer checks that a starting sidecar uses the boot time of a server as its start time only if
// it is recent. A server with an unknown or old boot time counts as warmed up.
func TestBootTimeSetsStartOfServer(t *testing.T) {
	c := loadConfig(t, "", testserver.Settings)
	c.Settings.PollDiscovery = true // no watch in this test
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
		c.InitialList = discovery.List{Revision: 1, Complete: true, Endpoints: []discovery.Endpoint{server}}
		loop := newEventLoop(context.Background(), t, c, nil)
		started := loop.starts.StartOf(server)
		age := loop.clock() - started
		inTime := started > 0 && age >= 3*time.Second && age <= 3*time.Second+testserver.Timeout
		if tt.cold && !inTime || !tt.cold && started > 0 {
			t.Errorf("%s: boot time %v: start %v, age %v, want a recent start: %v", tt.name, tt.boot, started, age, tt.cold)
		}
	}
}

// TestCancelledRequestKeepsEarlierResponse checks that a response is not discarded if it arrives after a disconnect was
// detected and before the event loop processes the cancellation. Without the response, the handler would wait forever.
func TestCancelledRequestKeepsEarlierResponse(t *testing.T) {
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
		t.Error("a request is not cancelled after its client has disconnected")
	}
	if err := loop.Do(ctx, func() {}); err != nil { // all events posted before have been handled
		t.Fatal(err)
	}
	if len(request.response) != 1 {
		t.Error("the response for the handler was discarded")
	}
}

// TestFirstListKeepsAgeOfServers checks that a server which first appears in the first list from discovery keeps the
// start time reported there, although the process started with a remembered list without that server.
func TestFirstListKeepsAgeOfServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := loadConfig(t, "", testserver.Settings)
		c.Settings.PollDiscovery = true // the only updates are those of this test
		loop := newEventLoop(context.Background(), t, c, nil)
		remembered := listedEndpoint("s-0", time.Time{})
		loop.OnUpdate(balance.ListCached, discovery.List{Endpoints: []discovery.Endpoint{remembered}})
		time.Sleep(time.Second)
		warm := listedEndpoint("s-1", time.Now().Add(-time.Hour).Round(0))
		loop.now = loop.clock()
		list := discovery.List{Revision: 1, Complete: true, Endpoints: []discovery.Endpoint{remembered, warm}}
		loop.OnUpdate(balance.ListFull, list)
		if got := loop.clock() - loop.starts.StartOf(warm); got != time.Hour {
			t.Errorf("server age %v, want 1h", got)
		}
	})
}

// TestRunWaitsForAttempts guards against a process that exits while an attempt still has its connection: the system
// would then send the rest of a request that was given up.
func TestRunWaitsForAttempts(t *testing.T) {
	c := loadConfig(t, testserver.ServingList(1, &testserver.Backend{Address: silentAddress}), testserver.Settings)
	c.Settings.PollDiscovery = true // no watch
	ctx, cancel := context.WithCancel(context.Background())
	loop := newEventLoop(ctx, t, c, nil)
	dialling := make(chan struct{}, 1)
	loop.upstream.SetDial(func(ctx context.Context, _, _ string) (net.Conn, error) {
		dialling <- struct{}{}
		<-ctx.Done()
		time.Sleep(50 * time.Millisecond) // the end of the attempt takes its time
		return nil, ctx.Err()
	})
	request := &inflightRequest{
		Message:       upstream.Message{Method: http.MethodGet, URL: &url.URL{Path: "/api"}, ID: "id-1"},
		classSettings: loop.settings.Load().classes["read"],
		tenant:        -1,
		deadline:      time.Now().Add(testserver.Timeout),
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		loop.Run(ctx)
	}()
	requestCtx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	go loop.serve(requestCtx, request) // returns when the test ends
	testserver.Receive(t, dialling, "attempt")
	cancel()
	testserver.Receive(t, ended, "end of the loop")
	if open, _ := loop.upstream.ConnCounts(); open != 0 {
		t.Errorf("%d connections are open after the end of the loop, want none", open)
	}
}
