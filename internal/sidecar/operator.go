package sidecar

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"

	"milletramp.example/milletramp/internal/admin"
	"milletramp.example/milletramp/internal/downstream"
	"milletramp.example/milletramp/internal/hotrestart"
	"milletramp.example/milletramp/internal/metrics"
	"milletramp.example/milletramp/internal/proxy"
)

// operator carries out operators' calls to the admin server, and applies the servers that the fleet and other processes
// report as administratively down. It implements admin.Sidecar.
type operator struct {
	loop             *proxy.EventLoop
	metrics          *metrics.Counters
	group            *processGroup
	server           atomic.Pointer[clientServer] // nil until the process serves clients
	readyAnnounced   atomic.Bool                  // the ready phase is published to the process group
	participant      atomic.Pointer[Participant]  // nil: not a member of a fleet
	gate             *proxy.PolicyGate            // set before clients are served; nil: the fleet has no policy
	adminDownChanged chan struct{}                // receives a value when the fleet changes the list of down servers

	publishMu sync.Mutex // held by publishAdminDown while it reads and writes the state

	fleetAdminDown map[string]bool // last list of the fleet; accessed only on the event loop
}

// clientServer holds the components that serve clients.
type clientServer struct {
	handler *proxy.Handler
	conns   *downstream.Listener
}

// newOperator returns an operator for a process that does not serve clients yet and is not a member of a fleet.
func newOperator(loop *proxy.EventLoop, group *processGroup) *operator {
	return &operator{loop: loop, metrics: loop.Metrics(), group: group}
}

// Ready implements admin.Sidecar.
func (o *operator) Ready() (ready bool, reason string) {
	server := o.server.Load()
	switch {
	case server == nil:
		return false, "not listening yet"
	case server.handler.IsDraining():
		return false, "told to stop"
	}
	select {
	case <-o.loop.Ready():
	default:
		return false, "no list of servers yet"
	}
	if !o.readyAnnounced.Load() {
		return false, "starting"
	}
	return o.fleetReady()
}

// Metrics implements admin.Sidecar.
func (o *operator) Metrics(ctx context.Context) ([]byte, error) {
	var gauges metrics.Gauges
	err := o.loop.Do(ctx, func() { gauges.ListedServers, gauges.AvoidedServers = o.loop.CountEndpoints() })
	if err != nil {
		return nil, err
	}
	if server := o.server.Load(); server != nil {
		gauges.InFlight = server.handler.InFlight()
	}
	var text bytes.Buffer
	if err := o.metrics.Write(&text, gauges); err != nil {
		return nil, err
	}
	err = o.writeFleetMetrics(ctx, &text)
	return text.Bytes(), err
}

// PolicyHandler implements admin.Sidecar.
func (o *operator) PolicyHandler() http.Handler {
	if o.fleetParticipant() == nil || o.gate == nil {
		return nil
	}
	return o.gate.Policy().Handler()
}

// FleetStatus implements admin.Sidecar.
func (o *operator) FleetStatus(ctx context.Context) ([]byte, error) {
	participant := o.fleetParticipant()
	if participant == nil {
		return nil, admin.ErrNoFleet
	}
	return participant.Status(ctx)
}

// SetAdminDown implements admin.Sidecar. During a hot restart it takes effect in both processes before it returns. A
// successor that is still starting reads the published state, and one that has started receives the forwarded call.
// The call is published before it is forwarded, because a successor that starts in between must not miss it.
func (o *operator) SetAdminDown(ctx context.Context, id string, down, forwarded bool) (note string, err error) {
	known := false
	if err := o.loop.Do(ctx, func() { known = o.loop.SetAdminDown(id, down) }); err != nil {
		return "", err
	}
	if known {
		if err := o.publishAdminDown(ctx); err != nil {
			return "", err
		}
	}
	knownElsewhere := forwarded // the other process may list the server before this one does
	if !forwarded {
		knownElsewhere, err = o.group.forwardAdminDown(ctx, id, down)
		if err != nil {
			return "", err
		}
	}
	if knownElsewhere && !known && down {
		if err := o.adoptAdminDown(ctx, []string{id}); err != nil {
			return "", err
		}
		known = true
	}
	return o.publishToFleet(ctx, id, down, known || knownElsewhere && !forwarded, forwarded)
}

// inheritAdminDown sets the servers that are administratively down in other processes administratively down here.
func (o *operator) inheritAdminDown(ctx context.Context) error {
	ids := o.group.adminDown()
	if len(ids) == 0 {
		return nil
	}
	return o.adoptAdminDown(ctx, ids)
}

// adoptAdminDown sets servers administratively down, whether or not they are on the endpoint list.
func (o *operator) adoptAdminDown(ctx context.Context, ids []string) error {
	err := o.loop.Do(ctx, func() { o.loop.AdoptAdminDown(ids) })
	return errors.Join(err, o.publishAdminDown(ctx))
}

// publishAdminDown publishes the servers that are administratively down to the process group. It serializes calls.
// Otherwise a call that read an older list could overwrite the newer list of a concurrent call without an error.
func (o *operator) publishAdminDown(ctx context.Context) error {
	o.publishMu.Lock()
	defer o.publishMu.Unlock()
	var ids []string
	if err := o.loop.Do(ctx, func() { ids = o.loop.AdminDown() }); err != nil {
		return err
	}
	return o.group.member.Update(func(s *hotrestart.State) { s.AdminDown = ids })
}
