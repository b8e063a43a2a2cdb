package sim

import (
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
)

// recordedStates are the recorded events' words for the states of an endpoint.
var recordedStates = map[balance.State]record.State{
	balance.Ready:    record.Serving,
	balance.Draining: record.Draining,
	balance.Removed:  record.Gone,
}

// notification is a change of the endpoint list on its way to a sidecar.
type notification struct {
	arrivesAt time.Duration
	server    *server
	endpoint  balance.Endpoint
}

// endpoint returns the server as discovery has it.
func (srv *server) endpoint() balance.Endpoint {
	endpoint := balance.Endpoint{
		ID:       srv.ID,
		Zone:     srv.simulation.plan.Scenario.Fleet.Zones[srv.Zone],
		Kind:     srv.Kind,
		PodGroup: srv.PodGroup,
		State:    srv.listedState,
		Weight:   srv.Weight,
	}
	if srv.startedAt > 0 {
		endpoint.Started = srv.startedAt + epoch
	}
	return endpoint
}

// notifyAll has discovery notify each sidecar of a server's new state, after a delay of its own and in order.
func (s *simulation) notifyAll(srv *server, state balance.State) {
	srv.listedState = state
	delays := s.plan.Scenario.DiscoveryDelay
	listDelay := s.options.Defects.ListDelay
	for _, sc := range s.sidecars {
		spread := time.Duration(s.network.random.Float64() * float64(delays.To-delays.From))
		arrivesAt := max(sc.lastNotification, s.now+delays.From.Std()+spread)
		sc.lastNotification = arrivesAt
		sc.notifications = append(sc.notifications, notification{arrivesAt, srv, srv.endpoint()})
		s.scheduleAt(arrivesAt+listDelay, notificationsDue{sc})
		if listDelay > 0 { // the sidecar has been notified even if its policy gets the list later
			s.scheduleAt(arrivesAt, notificationDelayed{sc, srv, state})
		}
	}
}

// pauseDiscovery stops discovery's notifications, or delivers those that were stopped.
func (s *simulation) pauseDiscovery(paused bool) {
	s.discoveryPaused = paused
	if paused {
		return
	}
	for _, sc := range s.sidecars {
		s.scheduleAfter(s.plan.Scenario.DiscoveryDelay.From.Std(), notificationsDue{sc})
	}
}

// notificationsDue is a time at which notifications reach a sidecar's policy.
type notificationsDue struct{ sidecar *sidecar }

func (e notificationsDue) handle(s *simulation) {
	sc := e.sidecar
	if s.discoveryPaused || sc.down {
		return
	}
	var changes []balance.Endpoint
	for len(sc.notifications) > 0 && sc.notifications[0].arrivesAt <= s.now {
		changes = append(changes, sc.notifications[0].endpoint)
		sc.applyNotification(sc.notifications[0])
		sc.notifications = sc.notifications[1:]
	}
	if len(changes) > 0 {
		sc.policy.Endpoints(s.policyNow(), balance.ListChanges, changes)
	}
}

// applyNotification changes the sidecar's list of endpoints.
func (sc *sidecar) applyNotification(n notification) {
	if n.endpoint.State == balance.Removed {
		delete(sc.endpoints, n.server)
		sc.closeIdle(n.server)
	} else {
		sc.endpoints[n.server] = n.endpoint
	}
	if sc.simulation.options.Defects.ListDelay == 0 {
		sc.recordNotified(n.server, n.endpoint.State)
	}
}

func (sc *sidecar) recordNotified(srv *server, state balance.State) {
	sc.simulation.record(record.Event{Kind: record.Notified, Sidecar: sc.index, Node: srv.index,
		State: recordedStates[state]})
}

// notificationDelayed is a notification of a sidecar whose policy gets it later, as a defect has it.
type notificationDelayed struct {
	sidecar *sidecar
	server  *server
	state   balance.State
}

func (e notificationDelayed) handle(*simulation) { e.sidecar.recordNotified(e.server, e.state) }
