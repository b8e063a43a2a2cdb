package sim

import (
	"time"

	"milletramp.example/milletramp/balance"
	"milletramp.example/milletramp/internal/lab/record"
)

// recordedStates maps endpoint states to the states used in recorded events.
var recordedStates = map[balance.State]record.State{
	balance.Ready:    record.Serving,
	balance.Draining: record.Draining,
	balance.Removed:  record.Gone,
}

// notification is an endpoint list change in transit to a sidecar.
type notification struct {
	arrivesAt time.Duration
	server    *server
	endpoint  balance.Endpoint
}

// endpoint returns the server's entry in discovery's endpoint list.
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

// notifyAll schedules discovery's notifications of a server's new state. Each sidecar has its own random delay and
// receives its notifications in order.
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
		if listDelay > 0 { // records the notification when it arrives; the policy receives the list later
			s.scheduleAt(arrivesAt, notificationDelayed{sc, srv, state})
		}
	}
}

// pauseDiscovery pauses discovery's notifications, or resumes them and delivers those that were held up.
func (s *simulation) pauseDiscovery(paused bool) {
	s.discoveryPaused = paused
	if paused {
		return
	}
	for _, sc := range s.sidecars {
		s.scheduleAfter(s.plan.Scenario.DiscoveryDelay.From.Std(), notificationsDue{sc})
	}
}

// notificationsDue is the event that notifications reach a sidecar's policy.
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

// applyNotification applies a notification to the sidecar's endpoint list.
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

// notificationDelayed is the event that a notification reaches a sidecar whose policy receives it later because of
// the defect ListDelay.
type notificationDelayed struct {
	sidecar *sidecar
	server  *server
	state   balance.State
}

func (e notificationDelayed) handle(*simulation) { e.sidecar.recordNotified(e.server, e.state) }
