package sidecar

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"

	"milletramp.example/milletramp/internal/downstream"
	"milletramp.example/milletramp/internal/metrics"
	"milletramp.example/milletramp/internal/proxy"
)

// operator is what the console asks of the sidecar.
type operator struct {
	loop             *proxy.EventLoop
	metrics          *metrics.Counters
	group            *processGroup
	server           atomic.Pointer[clientServer] // nil: does not listen yet
	announced        atomic.Bool                  // other processes can see that this one is ready
	participant      atomic.Pointer[Participant]  // in the fleet; nil: there is none
	gate             *proxy.PolicyGate            // set before it listens; nil: the fleet has no policy, or there is none
	adminDownChanged chan struct{}                // has one if what is out by hand has changed by word of the fleet

	publishing sync.Mutex // held by publish

	// Of the loop.
	fleetAdminDown map[string]bool // servers that the fleet last had out
}

// clientServer is what answers clients once a process listens.
type clientServer struct {
	handler *proxy.Handler
	conns   *downstream.Listener
}

// Ready implements console.Sidecar.
func (o *operator) Ready() (bool, string) {
	s := o.server.Load()
	switch {
	case s == nil:
		return false, "not listening yet"
	case s.handler.IsDraining():
		return false, "told to stop"
	}
	select {
	case <-o.loop.Ready():
	default:
		return false, "no list of servers yet"
	}
	if !o.announced.Load() {
		return false, "starting"
	}
	return o.fleetReady()
}

// Metrics implements console.Sidecar.
func (o *operator) Metrics(ctx context.Context) ([]byte, error) {
	var g metrics.Gauges
	err := o.loop.Do(ctx, func() { g.ListedServers, g.AvoidedServers = o.loop.CountEndpoints() })
	if err != nil {
		return nil, err
	}
	if s := o.server.Load(); s != nil {
		g.InFlight = s.handler.InFlight()
	}
	var text bytes.Buffer
	if err := o.metrics.Write(&text, g); err != nil {
		return nil, err
	}
	err = o.writeFleetMetrics(ctx, &text)
	return text.Bytes(), err
}

// SetAdminDown implements console.Sidecar. In an upgrade it binds both processes before it returns. One that is just
// starting looks at what is written down, and one that has started is told; what is written first and told then misses
// neither.
func (o *operator) SetAdminDown(ctx context.Context, id string, out, passed bool) (note string, err error) {
	known := false
	if err := o.loop.Do(ctx, func() { known = o.loop.SetAdminDown(id, out) }); err != nil {
		return "", err
	}
	elsewhere := passed // the other process has it, and the list here is about to
	if known {
		if err := o.publishAdminDown(ctx); err != nil {
			return "", err
		}
	}
	if !passed {
		if elsewhere, err = o.group.forwardAdminDown(ctx, id, out); err != nil {
			return "", err
		}
	}
	if elsewhere && !known && out {
		if err := o.adoptAdminDown(ctx, map[string]bool{id: true}); err != nil {
			return "", err
		}
		known = true
	}
	return o.publishToFleet(ctx, id, out, known || elsewhere && !passed, passed)
}
